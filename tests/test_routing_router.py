from __future__ import annotations

import random
import typing as t

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishbridge.records import Backend, Drain, Failure, Record, ResultCode, Route, Service
from radishbridge.routing import AttemptOutcome, LocalRouter, Permit, ServiceRoute
from radishbridge.routing.server import EJECTION_MAX_S, FAILURES_TO_EJECT, PROBATION_SUCCESSES

SUCCESS = AttemptOutcome(0.01)
FAILED = AttemptOutcome(0.01, failed=True)
SHED = AttemptOutcome(0.01, shed=True)
ABANDONED = AttemptOutcome(0.01, abandoned=True)
SLOTS = 4


def _backend(name: str, data_center: str = "a1", version: str = "1") -> Backend:
    return Backend(
        name=name,
        address=f"127.0.0.1:{1000 + int(name)}",
        region=data_center[0],
        data_center=data_center,
        version=version,
        slots=SLOTS,
    )


def _service(backends: t.Iterable[Backend], version: int = 1, **fields: t.Any) -> Record:
    body = Service(path_prefix=fields.pop("path_prefix", "/s"), backends=list(backends), **fields)
    return Record(kind="service", name="s", version=version, body=body)


class RouterFixture:
    """A router with one service, and a clock."""

    def __init__(self, *backends: Backend, seed: int = 1) -> None:
        self.router = LocalRouter("a", "a1", random.Random(seed))
        self.router.update(_service(backends))
        self.now = 0.0

    @property
    def target(self) -> ServiceRoute:
        found = self.router.find("/s")
        assert isinstance(found, ServiceRoute)
        return found

    def acquire(self, *tried: str) -> Permit:
        permit = self.router.acquire(self.target, tried, self.now)
        assert isinstance(permit, Permit)
        return permit

    def is_full(self) -> bool:
        permit = self.router.acquire(self.target, (), self.now)
        if isinstance(permit, Permit):
            self.router.release(permit, ABANDONED, self.now)
        return isinstance(permit, Failure)

    def send_request(self, outcomes: t.Mapping[str, AttemptOutcome]) -> str:
        permit = self.acquire()
        outcome = outcomes.get(permit.backend.name, SUCCESS)
        self.router.release(permit, outcome, self.now)
        return permit.backend.name


class TestFind:
    routes = [Route(prefix="/p"), Route(prefix="/p/q/"), Route(prefix="r")]

    @pytest.mark.parametrize(
        ("path", "prefix"),
        [
            ("/s", ""),
            ("/s/", ""),
            ("/s/x", ""),
            ("/s/p", "/p"),
            ("/s/p/", "/p"),
            ("/s/p/x/y", "/p"),
            ("/s/px", ""),
            ("/s/p/q", "/p/q/"),
            ("/s/p/q/x", "/p/q/"),
            ("/s/p/qx", "/p"),
            ("/s/r/x", "r"),
        ],
    )
    @pytest.mark.parametrize("path_prefix", ["/s", "/s/"])
    def test_longest_prefix_of_whole_segments(
        self, path: str, prefix: str, path_prefix: str
    ) -> None:
        router = LocalRouter("a", "a1", random.Random(1))
        router.update(_service([], path_prefix=path_prefix, routes=self.routes))
        found = router.find(path)
        assert isinstance(found, ServiceRoute)
        assert found.route.prefix == prefix

    @pytest.mark.parametrize("path", ["/", "/sx", "/t/s"])
    def test_unknown(self, path: str) -> None:
        router = LocalRouter("a", "a1", random.Random(1))
        router.update(_service([]))
        failure = router.find(path)
        assert isinstance(failure, Failure)
        assert failure.code is ResultCode.SERVICE_UNKNOWN

    @settings(derandomize=True, deadline=None)
    @given(
        prefixes=st.lists(st.text("ab/", max_size=6), max_size=6),
        path=st.text("ab/", max_size=8),
    )
    def test_agrees_with_a_naive_search(self, prefixes: list[str], path: str) -> None:
        stripped = {prefix.strip("/") for prefix in prefixes}
        router = LocalRouter("a", "a1", random.Random(1))
        routes = [Route(prefix=prefix) for prefix in stripped if "//" not in prefix]
        router.update(_service([], routes=routes))
        path = "/s/" + path
        matching = [
            route.prefix
            for route in routes
            if not route.prefix or f"{path}/".startswith(f"/s/{route.prefix}/")
        ]
        found = router.find(path)
        assert isinstance(found, ServiceRoute)
        assert found.route.prefix == max(matching, key=len, default="")


class TestAcquire:
    def test_prefers_the_data_center_then_the_region(self) -> None:
        fixture = RouterFixture(_backend("1", "b1"), _backend("2", "a2"), _backend("3", "a1"))
        names = [fixture.acquire().backend.name for _ in range(3 * SLOTS)]
        assert names == ["3"] * SLOTS + ["2"] * SLOTS + ["1"] * SLOTS
        assert fixture.is_full()

    def test_skips_servers_already_tried(self) -> None:
        fixture = RouterFixture(_backend("1"), _backend("2"))
        assert {fixture.acquire("1").backend.name for _ in range(SLOTS)} == {"2"}

    def test_only_the_stable_version(self) -> None:
        fixture = RouterFixture(_backend("1", version="2"), _backend("2"))
        assert {fixture.acquire().backend.name for _ in range(SLOTS)} == {"2"}
        assert fixture.is_full()

    @pytest.mark.parametrize(
        "drain",
        [
            Drain(scope="backend", target="1"),
            Drain(scope="backend", target="1", service="s"),
            Drain(scope="data_center", target="a1"),
            Drain(scope="region", target="a"),
        ],
    )
    def test_drained_server_gets_no_requests_until_the_drain_ends(self, drain: Drain) -> None:
        fixture = RouterFixture(_backend("1"), _backend("2", "b1"))
        fixture.router.update(Record(kind="drain", name="d", version=2, body=drain))
        assert fixture.acquire().backend.name == "2"
        verdicts = {
            candidate.backend: candidate.verdict
            for candidate in fixture.router.explain(fixture.target, 0)
        }
        assert verdicts == {"1": "drained", "2": "eligible"}
        fixture.router.update(Record(kind="drain", name="d", version=3, body=None))
        assert fixture.acquire().backend.name == "1"

    def test_slots_in_use_are_kept_when_the_record_changes(self) -> None:
        fixture = RouterFixture(_backend("1"))
        permits = [fixture.acquire() for _ in range(SLOTS)]
        fixture.router.update(_service([_backend("1"), _backend("2", "b1")], 2))
        assert fixture.acquire().backend.name == "2"
        fixture.router.release(permits[0], SUCCESS, 0.0)
        assert fixture.acquire().backend.name == "1"

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(st.booleans(), st.sampled_from([SUCCESS, FAILED, SHED, ABANDONED])),
            max_size=80,
        ),
        st.integers(0, 1_000),
    )
    def test_never_exceeds_slots_and_never_refuses_while_a_server_has_capacity(
        self, steps: list[tuple[bool, AttemptOutcome]], seed: int
    ) -> None:
        fixture = RouterFixture(*(_backend(str(n), f"a{n % 2}") for n in range(3)), seed=seed)
        held: list[Permit] = []
        for acquire, outcome in steps:
            fixture.now += 0.1
            if acquire or not held:
                states = fixture.router.pools["s"].servers.values()
                capacity = any(state.has_capacity for state in states)
                permit = fixture.router.acquire(fixture.target, (), fixture.now)
                assert isinstance(permit, Permit) or not capacity
                held += [permit] if isinstance(permit, Permit) else []
            else:
                fixture.router.release(held.pop(0), outcome, fixture.now)
            counts = {
                str(n): sum(permit.backend.name == str(n) for permit in held) for n in range(3)
            }
            for state in fixture.router.pools["s"].servers.values():
                assert state.in_flight == counts[state.backend.name] <= SLOTS


class TestHealth:
    def test_consecutive_failures_eject(self) -> None:
        fixture = RouterFixture(_backend("1"), _backend("2"), _backend("3"))
        names = [fixture.send_request({"1": FAILED}) for _ in range(200)]
        assert names.count("1") == FAILURES_TO_EJECT
        assert fixture.router.ejections == 1

    def test_isolated_failures_do_not_eject(self) -> None:
        fixture = RouterFixture(_backend("1"))
        for _ in range(20):
            fixture.send_request({"1": FAILED})
            fixture.send_request({})
        assert fixture.router.ejections == 0

    def test_never_more_than_half_are_ejected(self) -> None:
        fixture = RouterFixture(*(_backend(str(n)) for n in range(5)))
        bad = {str(n): FAILED for n in range(5)}
        for _ in range(300):
            fixture.send_request(bad)
        assert fixture.router.ejections == 2
        assert not fixture.is_full()

    def test_abandoned_attempts_do_not_eject(self) -> None:
        fixture = RouterFixture(_backend("1"), _backend("2"))
        for _ in range(100):
            fixture.send_request({"1": ABANDONED, "2": ABANDONED})
        assert fixture.router.ejections == 0

    def test_probation_admits_one_request_at_a_time(self) -> None:
        fixture = RouterFixture(_backend("1"), _backend("2", "b1"))
        for _ in range(FAILURES_TO_EJECT):
            fixture.send_request({"1": FAILED})
        assert fixture.send_request({}) == "2"
        fixture.now += EJECTION_MAX_S
        first = fixture.acquire()
        assert (first.backend.name, fixture.acquire().backend.name) == ("1", "2")
        fixture.router.release(first, SUCCESS, fixture.now)
        for _ in range(PROBATION_SUCCESSES):
            assert fixture.send_request({}) == "1"
        assert fixture.router.ejections == 1

    def test_failure_in_probation_ejects_for_longer(self) -> None:
        fixture = RouterFixture(_backend("1"), _backend("2", "b1"))
        periods = []
        for _ in range(3):
            while fixture.send_request({"1": FAILED}) == "1":
                pass
            state = fixture.router.pools["s"].servers["1"]
            periods.append(state.ejected_until - fixture.now)
            fixture.now = state.ejected_until
        assert periods[0] < periods[1] < periods[2]

    def test_new_server_starts_with_one_request(self) -> None:
        fixture = RouterFixture(_backend("1"))
        fixture.router.update(_service([_backend("1"), _backend("2")], 2))
        names = [fixture.acquire("1").backend.name]
        assert names == ["2"]
        refused = fixture.router.acquire(fixture.target, ("1",), 0.0)
        assert isinstance(refused, Failure)

    def test_shed_responses_lower_the_limit_and_successes_restore_it(self) -> None:
        fixture = RouterFixture(_backend("1"))
        state = fixture.router.pools["s"].servers["1"]
        for _ in range(3):
            fixture.send_request({"1": SHED})
        assert state.limit == 1.0
        assert fixture.router.ejections == 0
        for _ in range(20):
            fixture.send_request({})
        assert state.limit == SLOTS
