from __future__ import annotations

import random
import typing as t

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishbridge.records import Backend, Drain, Failure, Record, ResultCode, Route, Service
from radishbridge.routing import AttemptOutcome, LocalRouter, Permit, ServiceRoute
from radishbridge.routing.server import EJECTION_MAX_S, FAILURES_TO_EJECT, PROBATION_ANSWERS

GOOD = AttemptOutcome(0.01)
BAD = AttemptOutcome(0.01, failed=True)
SHED = AttemptOutcome(0.01, shed=True)
GONE = AttemptOutcome(0.01, abandoned=True)
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


class Fixture:
    """A router with one service, and the time."""

    def __init__(self, *backends: Backend, seed: int = 1) -> None:
        self.router = LocalRouter("a", "a1", random.Random(seed))
        self.router.update(_service(backends))
        self.now = 0.0

    @property
    def target(self) -> ServiceRoute:
        found = self.router.find("/s")
        assert isinstance(found, ServiceRoute)
        return found

    def take(self, *tried: str) -> Permit:
        permit = self.router.acquire(self.target, tried, self.now)
        assert isinstance(permit, Permit)
        return permit

    def full(self) -> bool:
        permit = self.router.acquire(self.target, (), self.now)
        if isinstance(permit, Permit):
            self.router.release(permit, GONE, self.now)
        return isinstance(permit, Failure)

    def ask(self, outcomes: t.Mapping[str, AttemptOutcome]) -> str:
        permit = self.take()
        outcome = outcomes.get(permit.backend.name, GOOD)
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
        normal = {prefix.strip("/") for prefix in prefixes}
        router = LocalRouter("a", "a1", random.Random(1))
        routes = [Route(prefix=prefix) for prefix in normal if "//" not in prefix]
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


class TestChoose:
    def test_prefers_the_data_center_then_the_region(self) -> None:
        fixture = Fixture(_backend("1", "b1"), _backend("2", "a2"), _backend("3", "a1"))
        names = [fixture.take().backend.name for _ in range(3 * SLOTS)]
        assert names == ["3"] * SLOTS + ["2"] * SLOTS + ["1"] * SLOTS
        assert fixture.full()

    def test_does_not_choose_what_was_tried(self) -> None:
        fixture = Fixture(_backend("1"), _backend("2"))
        assert {fixture.take("1").backend.name for _ in range(SLOTS)} == {"2"}

    def test_only_the_stable_version(self) -> None:
        fixture = Fixture(_backend("1", version="2"), _backend("2"))
        assert {fixture.take().backend.name for _ in range(SLOTS)} == {"2"}
        assert fixture.full()

    @pytest.mark.parametrize(
        "drain",
        [
            Drain(scope="backend", target="1"),
            Drain(scope="backend", target="1", service="s"),
            Drain(scope="data_center", target="a1"),
            Drain(scope="region", target="a"),
        ],
    )
    def test_drained_gets_no_new_work_until_the_drain_ends(self, drain: Drain) -> None:
        fixture = Fixture(_backend("1"), _backend("2", "b1"))
        fixture.router.update(Record(kind="drain", name="d", version=2, body=drain))
        assert fixture.take().backend.name == "2"
        verdicts = {one.backend: one.verdict for one in fixture.router.explain(fixture.target, 0)}
        assert verdicts == {"1": "drained", "2": "eligible"}
        fixture.router.update(Record(kind="drain", name="d", version=3, body=None))
        assert fixture.take().backend.name == "1"

    def test_slots_survive_a_change_of_the_record(self) -> None:
        fixture = Fixture(_backend("1"))
        permits = [fixture.take() for _ in range(SLOTS)]
        fixture.router.update(_service([_backend("1"), _backend("2", "b1")], 2))
        assert fixture.take().backend.name == "2"
        fixture.router.release(permits[0], GOOD, 0.0)
        assert fixture.take().backend.name == "1"

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(st.tuples(st.booleans(), st.sampled_from([GOOD, BAD, SHED, GONE])), max_size=80),
        st.integers(0, 1_000),
    )
    def test_never_exceeds_slots_and_never_refuses_while_one_has_room(
        self, steps: list[tuple[bool, AttemptOutcome]], seed: int
    ) -> None:
        fixture = Fixture(*(_backend(str(n), f"a{n % 2}") for n in range(3)), seed=seed)
        held: list[Permit] = []
        for take, outcome in steps:
            fixture.now += 0.1
            if take or not held:
                states = fixture.router.pools["s"].servers.values()
                room = any(state.has_room for state in states)
                permit = fixture.router.acquire(fixture.target, (), fixture.now)
                assert isinstance(permit, Permit) or not room
                held += [permit] if isinstance(permit, Permit) else []
            else:
                fixture.router.release(held.pop(0), outcome, fixture.now)
            counts = {str(n): sum(one.backend.name == str(n) for one in held) for n in range(3)}
            for state in fixture.router.pools["s"].servers.values():
                assert state.in_flight == counts[state.backend.name] <= SLOTS


class TestHealth:
    def test_consecutive_errors_eject(self) -> None:
        fixture = Fixture(_backend("1"), _backend("2"), _backend("3"))
        names = [fixture.ask({"1": BAD}) for _ in range(200)]
        assert names.count("1") == FAILURES_TO_EJECT
        assert fixture.router.ejections == 1

    def test_single_errors_do_not_eject(self) -> None:
        fixture = Fixture(_backend("1"))
        for _ in range(20):
            fixture.ask({"1": BAD})
            fixture.ask({})
        assert fixture.router.ejections == 0

    def test_never_more_than_half_are_ejected(self) -> None:
        fixture = Fixture(*(_backend(str(n)) for n in range(5)))
        bad = {str(n): BAD for n in range(5)}
        for _ in range(300):
            fixture.ask(bad)
        assert fixture.router.ejections == 2
        assert not fixture.full()

    def test_abandoned_attempts_say_nothing(self) -> None:
        fixture = Fixture(_backend("1"), _backend("2"))
        for _ in range(100):
            fixture.ask({"1": GONE, "2": GONE})
        assert fixture.router.ejections == 0

    def test_returns_by_probation_one_request_at_a_time(self) -> None:
        fixture = Fixture(_backend("1"), _backend("2", "b1"))
        for _ in range(FAILURES_TO_EJECT):
            fixture.ask({"1": BAD})
        assert fixture.ask({}) == "2"
        fixture.now += EJECTION_MAX_S
        first = fixture.take()
        assert (first.backend.name, fixture.take().backend.name) == ("1", "2")
        fixture.router.release(first, GOOD, fixture.now)
        for _ in range(PROBATION_ANSWERS):
            assert fixture.ask({}) == "1"
        assert fixture.router.ejections == 1

    def test_error_in_probation_ejects_for_longer(self) -> None:
        fixture = Fixture(_backend("1"), _backend("2", "b1"))
        pauses = []
        for _ in range(3):
            while fixture.ask({"1": BAD}) == "1":
                pass
            state = fixture.router.pools["s"].servers["1"]
            pauses.append(state.ejected_until - fixture.now)
            fixture.now = state.ejected_until
        assert pauses[0] < pauses[1] < pauses[2]

    def test_new_server_starts_slowly(self) -> None:
        fixture = Fixture(_backend("1"))
        fixture.router.update(_service([_backend("1"), _backend("2")], 2))
        names = [fixture.take("1").backend.name]
        assert names == ["2"]
        refused = fixture.router.acquire(fixture.target, ("1",), 0.0)
        assert isinstance(refused, Failure)

    def test_shed_answers_reduce_use_and_good_ones_restore_it(self) -> None:
        fixture = Fixture(_backend("1"))
        state = fixture.router.pools["s"].servers["1"]
        for _ in range(3):
            fixture.ask({"1": SHED})
        assert state.limit == 1.0
        assert fixture.router.ejections == 0
        for _ in range(20):
            fixture.ask({})
        assert state.limit == SLOTS
