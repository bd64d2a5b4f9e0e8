from __future__ import annotations

import asyncio
import pathlib
import signal

import pytest
from soak.__main__ import run
from soak.callers import Key
from soak.checks import Drain, check
from soak.history import Arrival, Execution, ExecutionEnd, History, Notice, Outcome, Span
from soak.world import World

KEYS = {"good": Key("good", "school"), "old": Key("old", "school", revoked_at=10.0)}
RATES = {"school": (10.0, 10.0)}
# Seeds whose runs failed once, with the cause.
FAILED_ONCE = {
    200: "MIXED: the check kept one response per request; a retry at a second server overwrote it",
    808: "LATE: the check polled the host's next process, not the one told to stop",
    301: "REFUSED, TWICE: a server's status alone, or a late copy of a refusal, counted as proof",
}


def outcome(tag: str = "r", **changes) -> Outcome:
    fields = {
        "host": "host-0",
        "unsafe": True,
        "tenant": "school",
        "key": "good",
        "path": "/orders/1",
        "sent_at": 50.0,
        "ended_at": 50.1,
        "status": 200,
        "is_intact": True,
    }
    return Outcome(tag, **{**fields, **changes})


def execution(tag: str = "r", at: float = 50.0, **changes) -> Execution:
    return Execution(tag, "i-2", "orders", "school", at)._replace(**changes)


class TestChecks:
    """Each check finds the broken promise that it is for."""

    @pytest.mark.parametrize(
        ("runs", "outcomes", "found"),
        [
            ([execution()], [outcome()], []),
            ([execution(), execution()], [outcome()], ["TWICE"]),
            ([execution(), execution()], [outcome(unsafe=False)], []),
            ([execution()], [outcome(status=503)], ["REFUSED"]),
            ([execution()], [outcome(status=408, unsafe=False)], ["REFUSED"]),
            ([execution(at=55.0)], [outcome(status=429)], ["REFUSED"]),
            ([execution(at=45.0)], [outcome(status=421)], ["REFUSED"]),
            (
                [execution()],
                [outcome(request_id="x"), outcome("s", status=503, request_id="x")],
                [],
            ),
            ([execution()], [outcome(status=502)], []),
            ([execution("s")], [outcome()], ["UNASKED"]),
            ([execution()], [outcome(is_intact=False)], ["MIXED"]),
            ([execution(tenant="salon")], [outcome()], ["UNASKED"]),
            ([execution(at=30.0)], [outcome(key="old", sent_at=30.0)], ["CONFIG"]),
            ([execution(at=14.0)], [outcome(key="old", sent_at=14.0)], []),
            (
                [execution(str(n)) for n in range(120)],
                [outcome(str(n)) for n in range(120)],
                ["QUOTA"],
            ),
            ([execution(at=45.0, server="i-1")], [outcome(sent_at=44.9)], ["DRAIN"]),
            ([execution(at=42.0, server="i-1")], [outcome(sent_at=41.9)], []),
            ([], [outcome(str(n), status=401) for n in range(7)], ["DENIED"]),
        ],
    )
    def test_finds_broken_promises(self, runs, outcomes, found):
        history = History()
        history.executions = runs
        history.outcomes = [*outcomes, outcome("last", sent_at=90.0)]
        violations = check(history, KEYS, RATES, [Drain("i-1", 40.0)], 80.0)
        assert [text.split()[0] for text in violations] == found

    def test_time_bounds_do_not_apply_to_a_disturbed_host(self):
        history = History()
        history.executions = [execution(at=45.0, server="i-1")]
        history.outcomes = [outcome(sent_at=44.9), outcome("last", sent_at=90.0)]
        history.disturbances["host-0"] = []
        history.record_disturbance("host-0", 0.0)
        history.disturbances["host-0"] = [
            history.disturbances["host-0"][0]._replace(start=41.0, end=44.0)
        ]
        assert check(history, KEYS, RATES, [Drain("i-1", 40.0)], 80.0) == []

    @pytest.mark.parametrize(
        ("late_s", "count", "link_disturbed", "found"),
        [
            (0.6, 4, False, ["GONE"]),
            (0.6, 3, False, []),
            (0.4, 4, False, []),
            (0.6, 4, True, []),
        ],
    )
    @pytest.mark.parametrize("starts", [True, False])
    def test_execution_after_the_caller_disconnected(
        self, late_s, count, link_disturbed, found, starts
    ):
        history = History()
        tags = [str(number) for number in range(count)]
        history.outcomes = [outcome(tag, caller_disconnected=True, status=0) for tag in tags]
        history.outcomes.append(outcome("last", sent_at=90.0))
        at = 50.1 + late_s
        if starts:
            history.executions = [execution(tag, at=at) for tag in tags]
        else:
            history.execution_ends = [ExecutionEnd(tag, "i-2", at) for tag in tags]
        if link_disturbed:
            history.disturbances["link to i-2"] = [Span(48.0, 49.0)]
        violations = check(history, KEYS, RATES, [], 80.0)
        assert [text.split()[0] for text in violations] == found

    @pytest.mark.parametrize(
        ("pause_s", "after_s", "count", "interrupted", "incarnation", "found"),
        [
            (0.0, 2.7, 1, False, 7, ["DRAIN"]),
            (0.0, 2.3, 1, False, 7, []),
            (0.0, 2.7, 1, True, 7, []),
            (0.0, 2.7, 1, False, 8, []),
            (4.0, 0.6, 3, False, 7, ["BUDGET"]),
            (4.0, 0.6, 2, False, 7, []),
            (4.0, 0.4, 3, False, 7, []),
            (4.0, 4.1, 3, False, 7, []),
            (4.0, 0.6, 3, True, 7, []),
            (4.0, 0.6, 3, False, 8, []),
        ],
    )
    def test_requests_after_a_notice_of_a_server(
        self, pause_s, after_s, count, interrupted, incarnation, found
    ):
        history = History()
        history.notices = [Notice("first", "i-2", 7, 50.1, pause_s)]
        at = 50.1 + after_s
        ids = [str(number) for number in range(count)]
        history.outcomes = [outcome("first"), outcome("last", sent_at=90.0)]
        history.outcomes += [outcome(one, sent_at=at, ended_at=at + 0.1) for one in ids]
        history.arrivals = [Arrival(one, "i-2", incarnation, at) for one in ids]
        if interrupted:
            history.disturbances["process of host-0"] = [Span(50.2, 50.3)]
        violations = check(history, KEYS, RATES, [], 80.0)
        assert [text.split()[0] for text in violations] == found

    def test_time_bounds_are_not_checked_in_ci(self):
        history = History()
        history.executions = [execution(at=45.0, server="i-1")]
        history.outcomes = [outcome(sent_at=44.9)]
        drains = [Drain("i-1", 40.0)]
        assert check(history, KEYS, RATES, drains, 80.0, check_timing=False) == []
        history.executions = [execution(), execution()]
        violations = check(history, KEYS, RATES, drains, 80.0, check_timing=False)
        assert [text.split()[0] for text in violations] == ["TWICE"]

    def test_finds_that_nothing_is_served_at_the_end(self):
        violations = check(History(), KEYS, RATES, [], 80.0)
        assert [text.split()[0] for text in violations] == ["RECOVER"]


class FakeProcess:
    """A process that ends after a number of polls."""

    def __init__(self, polls: int) -> None:
        self.polls = polls

    def poll(self) -> int | None:
        self.polls -= 1
        return None if self.polls >= 0 else 0


class FakeHost:
    """A host whose process the test replaces, as another fault does."""

    name = "host-0"

    def __init__(self, polls: int) -> None:
        self.process = FakeProcess(polls)
        self.kills = 0

    @property
    def is_running(self) -> bool:
        return self.process.poll() is None

    def signal(self, signal_number: int, disturbance_s: float) -> None:
        pass

    def kill(self) -> None:
        self.kills += 1

    def start(self) -> None:
        pass


class TestStop:
    """A restart may replace the process of a host while another fault waits for it to stop."""

    @pytest.mark.parametrize(("polls", "replaced", "late"), [(3, True, 0), (10**6, False, 1)])
    async def test_only_the_process_told_to_stop_can_be_late(
        self, polls, replaced, late, tmp_path, monkeypatch
    ):
        monkeypatch.setattr("soak.world.SHUTDOWN_GRACE_S", 0.0)
        world = World(1, 0, tmp_path, True)
        host = FakeHost(polls)
        stop = asyncio.create_task(world._restart(host, signal.SIGTERM))
        await asyncio.sleep(0)
        if replaced:
            host.process = FakeProcess(10**6)
        await stop
        assert len([note for note in world.history.notes if "LATE" in note]) == host.kills == late


class TestSoak:
    """Real entry host processes under injected faults; see docs/operators/soak.md."""

    @pytest.mark.parametrize("seed", [1, *FAILED_ONCE])
    def test_no_promise_is_broken(self, seed: int, tmp_path: pathlib.Path):
        assert asyncio.run(run(seed, 8.0, 4, tmp_path, check_timing=False)) == []
