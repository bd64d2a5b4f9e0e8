from __future__ import annotations

import asyncio

import msgspec
import pytest
from entry_world import hang_up, reply, running, shed
from fleet_world import Hosts, make_report, make_status
from steering_world import make_route
from test_platform import SETTINGS

from radishbridge.entry.messages import FleetReport, FleetSummary
from radishbridge.entry.usage import UsageExchange
from radishbridge.platform.settings import read_settings
from radishbridge.records import Failure
from radishbridge.steering import WorkspaceRule
from radishbridge.steering.usage import UsageDuty
from radishbridge.steering.usage_counts import (
    AttemptEnding,
    FleetTime,
    UsageCounter,
    UsageGathering,
    UsageHolding,
    UsageReport,
)
from radishbridge.steering.usage_rules import UsageRules

WINDOW_S = 5.0
CLOUD = """
[cloud]
address = "10.9.0.1:8100"
ratePerS = 50.0
duties = ["usage_reporting"]
dutiesPerS = 20.0
"""


def make_counter(offset_s: float = 0.0) -> UsageCounter:
    return UsageCounter(WINDOW_S, 20.0, FleetTime(offset_s))


def run_once(counter: UsageCounter, sent_at: float, run_s: float, occupancy: float = 0.5) -> None:
    attempt = object()
    counter.begin(attempt, "school", "catalogue", occupancy, 0.0, sent_at)
    counter.finish(attempt, AttemptEnding.ANSWERED, sent_at + run_s)


class TestWindows:
    """An attempt that is counted in another window than the one in which its server began it."""

    def test_an_attempt_belongs_to_the_window_in_which_it_was_sent(self):
        counter = make_counter()
        run_once(counter, 4.9, 3.4)
        run_once(counter, 5.1, 0.1)
        assert counter.snapshot(9.0) == {0: {"school": 1}, 1: {"school": 1}}

    def test_it_began_when_the_request_arrived(self):
        counter = make_counter()
        counter.begin("a", "school", "catalogue", 0.5, 0.04, 4.99)
        assert counter.snapshot(6.0) == {1: {"school": 1}}
        counter.finish("a", AttemptEnding.ANSWERED, 6.0)
        assert counter.snapshot(6.0) == {1: {"school": 1}}

    def test_one_that_waited_at_a_full_server_began_one_run_time_before_the_response(self):
        counter = make_counter()
        run_once(counter, 1.0, 1.0)
        run_once(counter, 4.0, 2.5, occupancy=2.5)
        assert counter.snapshot(9.0) == {0: {"school": 1}, 1: {"school": 1}}

    def test_a_running_attempt_is_counted_before_its_response(self):
        counter = make_counter()
        counter.begin("a", "school", "catalogue", 0.5, 0.0, 4.9)
        assert counter.snapshot(5.6) == {0: {"school": 1}}
        counter.finish("a", AttemptEnding.NOT_RUN, 5.7)
        assert counter.snapshot(5.8) == {}

    def test_a_queued_attempt_is_counted_from_its_expected_start(self):
        counter = make_counter()
        run_once(counter, 0.0, 1.0)
        counter.begin("a", "school", "catalogue", 2.0, 0.0, 4.5)
        assert counter.snapshot(5.4) == {0: {"school": 1}}
        assert counter.snapshot(5.6) == {0: {"school": 1}, 1: {"school": 1}}

    def test_one_that_was_cancelled_in_the_queue_is_not_counted(self):
        counter = make_counter()
        run_once(counter, 0.0, 1.0)
        counter.begin("a", "school", "catalogue", 3.0, 0.0, 1.0)
        counter.finish("a", AttemptEnding.CANCELLED, 1.5)
        assert counter.snapshot(9.0) == {0: {"school": 1}}

    @pytest.mark.parametrize(("after_s", "count"), [(0.05, 1), (0.3, 2)])
    def test_a_connection_that_breaks_at_once_had_been_closed_before(self, after_s, count):
        counter = make_counter()
        run_once(counter, 0.0, 1.0)
        counter.begin("a", "school", "catalogue", 0.5, 0.0, 2.0)
        counter.finish("a", AttemptEnding.BROKEN, 2.0 + after_s)
        assert counter.snapshot(9.0) == {0: {"school": count}}

    def test_requests_without_a_workspace_are_not_counted(self):
        counter = make_counter()
        counter.begin("a", "", "catalogue", 0.5, 0.0, 1.0)
        counter.finish("a", AttemptEnding.ANSWERED, 2.0)
        assert counter.snapshot(9.0) == {}

    def test_counts_are_dropped_once_final_and_never_counted_again(self):
        counter = make_counter()
        run_once(counter, 1.0, 0.1)
        run_once(counter, 6.0, 0.1)
        counter.settle(0, 8.0)
        run_once(counter, 4.0, 4.5)
        assert counter.snapshot(9.0) == {1: {"school": 1}}
        counter.settle(0, 1_000.0)
        assert counter.snapshot(1_000.0) == {}


class TestSettled:
    """A window that is finalized while its counts may still change, or held up without a reason."""

    def test_a_window_is_settled_soon_after_its_end(self):
        counter = make_counter()
        assert counter.settled_through(10.05) == 0
        assert counter.settled_through(10.15) == 1

    def test_an_attempt_that_may_be_refused_holds_it_up_for_half_a_second(self):
        counter = make_counter()
        counter.begin("a", "school", "catalogue", 0.5, 0.0, 9.9)
        assert counter.settled_through(10.3) == 0
        assert counter.settled_through(10.5) == 1

    def test_a_queued_attempt_holds_it_up_until_its_response(self):
        counter = make_counter()
        counter.begin("a", "school", "catalogue", 1.5, 0.0, 9.9)
        assert counter.settled_through(12.0) == 0
        counter.finish("a", AttemptEnding.ANSWERED, 12.0)
        assert counter.settled_through(12.0) == 1


def make_usage(sequence: int, count: int, incarnation: int = 1, settled: int = 0) -> UsageReport:
    return UsageReport(incarnation, sequence, 0.0, settled, {7: {"school": count}} if count else {})


class TestGathering:
    """Counts that are lost with a host or a message, or counted twice."""

    def test_lost_repeated_and_late_reports_change_nothing(self):
        gathering = UsageGathering(WINDOW_S)
        for sequence, count in [(1, 2), (4, 9), (4, 9), (3, 5)]:
            gathering.record("a", make_usage(sequence, count), False, 36.0)
        assert gathering.totals(7) == {"school": 9}

    def test_an_attempt_that_is_refused_after_a_report_is_not_counted(self):
        counter = make_counter()
        gathering = UsageGathering(WINDOW_S)
        counter.begin("a", "school", "catalogue", 0.5, 0.0, 4.9)
        gathering.record("a", UsageReport(1, 1, 0.0, 0, counter.snapshot(5.1)), False, 5.1)
        counter.finish("a", AttemptEnding.NOT_RUN, 5.2)
        gathering.record("a", UsageReport(1, 2, 0.0, 0, counter.snapshot(5.3)), False, 5.3)
        assert gathering.totals(0) == {}

    def test_counts_of_an_earlier_incarnation_and_of_a_dead_host_are_kept(self):
        gathering = UsageGathering(WINDOW_S)
        gathering.record("a", make_usage(8, 3), False, 36.0)
        gathering.record("a", make_usage(1, 4, incarnation=2), False, 37.0)
        gathering.record("b", make_usage(1, 5), False, 36.0)
        gathering.drop(6, 45.0, 20.0)
        assert gathering.totals(7) == {"school": 12}
        gathering.drop(7, 45.0, 20.0)
        assert gathering.totals(7) == {}

    def test_unsettled_hosts_are_awaited_unless_they_have_ended_long_before(self):
        gathering = UsageGathering(WINDOW_S)
        gathering.record("settled", make_usage(1, 1, settled=7), False, 40.5)
        gathering.record("late", make_usage(1, 1, settled=6), False, 40.5)
        gathering.record("cut", make_usage(1, 1, settled=6), False, 37.0)
        gathering.record("stopped", make_usage(1, 1, settled=6), True, 37.0)
        gathering.record("restarted", make_usage(1, 1, settled=6), False, 37.0)
        gathering.record("restarted", make_usage(1, 1, 2, settled=7), False, 40.5)
        gathering.record("long ago", make_usage(1, 1, settled=4), False, 29.0)
        unsettled = gathering.unsettled(7, ["late", "unheard"], FleetTime(0.0), 41.0)
        assert unsettled.late == ["late"]
        assert unsettled.silent == ["cut", "unheard"]


class TestTime:
    """Windows that follow the clock of a host whose time of day is wrong or jumps."""

    def test_a_wrong_clock_gives_way_to_the_median(self):
        gathering = UsageGathering(WINDOW_S)
        for number, offset_s in enumerate([100.0, 100.02, 99.99, 3700.0, 100.01]):
            report = UsageReport(1, 1, 50.0 + offset_s, 0, {})
            gathering.record(f"host-{number}", report, False, 50.0)
        assert gathering.time_offset(50.5) == pytest.approx(100.01)
        time = FleetTime(3700.0)
        time.fleet_offset_s = 100.01
        assert time.at(50.0) == pytest.approx(150.01)

    def test_the_own_clock_is_used_while_it_agrees(self):
        time = FleetTime(100.03)
        time.fleet_offset_s = 100.0
        assert time.at(50.0) == pytest.approx(150.03)


class TestAttempts:
    """Attempts that a server did not begin are counted, or ones that it began are not."""

    @pytest.mark.parametrize(
        ("responders", "expected"),
        [
            ([reply()], 1),
            ([reply(500), reply(500)], 2),
            ([shed()], 0),
            ([reply(421, Instance_Id="i-other")], 0),
            ([reply(421)], 1),
            ([hang_up, hang_up], 2),
            ([shed(), shed(), reply()], 1),
        ],
    )
    async def test_counts_by_outcome(self, responders, expected):
        route = make_route(attempts=3)
        school = WorkspaceRule(name="school")
        async with running(
            *responders, route=route, workspaces=[school], keys={"k1": "school"}
        ) as (world, backends):
            counter = world.steering_state.usage = make_counter()
            await world.request(Authorization="Bearer k1")
            counts = counter.snapshot(asyncio.get_running_loop().time() + 1.0)
            total = sum(by_workspace["school"] for by_workspace in counts.values())
            assert total == expected
            assert sum(len(backend.requests) for backend in backends) > 0
            assert not counter.running


def make_exchange(name: str) -> UsageExchange:
    rules = UsageRules()
    duty = UsageDuty(rules, name, name, 1, None)
    return UsageExchange(name, rules, duty, 0.0, wall_clock=lambda: 1_000.0)


class TestMessages:
    """Bytes where usage is not reported; counts that do not reach the aggregators where it is."""

    def test_messages_are_unchanged_without_the_duty(self):
        report = msgspec.msgpack.encode(make_report())
        summary = FleetSummary(
            hosts=[], demands={}, home_bound={}, evidence={}, crashes=[], copy_state=None
        )
        assert b"usage" not in report
        assert b"usage" not in msgspec.msgpack.encode(summary)
        hosts = Hosts(3)
        hosts.step()
        assert all(fleet.summary.usage is msgspec.UNSET for fleet in hosts.fleets if fleet.summary)

    def test_all_hosts_learn_of_the_holder_and_the_candidate_gets_all_counts(self):
        hosts = Hosts(6)
        exchanges = {}
        for fleet in hosts.fleets:
            fleet.usage = exchanges[fleet.own.peer_address] = make_exchange(fleet.own.peer_address)
            fleet.usage.counter.counts[200] = {"school": 2}
        hosts.run(2.0)
        candidates = {fleet.usage_candidate(hosts.now) for fleet in hosts.fleets}
        assert len(candidates) == 1
        candidate = exchanges[candidates.pop()]
        assert candidate.gathering.totals(200) == {"school": 12}
        candidate.gathering.hold(UsageHolding("host-1", "10.0.0.1:7000", 3, 40, 200))
        hosts.run(0.6)
        assert {one.holding.token for one in exchanges.values()} == {3}

    def test_a_holder_that_is_an_aggregator_remains_the_candidate(self):
        hosts = Hosts(6)
        for fleet in hosts.fleets:
            fleet.usage = make_exchange(fleet.own.peer_address)
        hosts.run(2.0)
        ranked = hosts.fleets[0].rank_for("sum", hosts.entries)
        for revision, name, expected in [(40, ranked[1], ranked[1]), (41, ranked[2], ranked[0])]:
            for fleet in hosts.fleets:
                fleet.usage.gathering.hold(UsageHolding("host", name, 3, revision, 200))
                assert fleet.usage_candidate(hosts.now) == expected

    def test_a_candidate_whose_calls_fail_hands_over_only_this_duty(self):
        # A status that does not reach the store starts status checks of backend servers.
        hosts = Hosts(6)
        for fleet in hosts.fleets:
            fleet.usage = make_exchange(fleet.own.peer_address)
        hosts.run(2.0)
        failing = hosts.fleets[0].usage_candidate(hosts.now)
        duty = next(one.usage.duty for one in hosts.fleets if one.own.peer_address == failing)
        duty.failing_since, duty.failed_at = hosts.now - 1.5, hosts.now
        hosts.run(1.0)
        candidates = {fleet.usage_candidate(hosts.now) for fleet in hosts.fleets}
        assert len(candidates) == 1
        assert failing not in candidates
        for fleet in hosts.fleets:
            live = fleet.live_hosts(hosts.now).values()
            assert len(live) == 6
            assert all(status.reaches_store for status in live)
        hosts.run(6.0)
        assert {fleet.usage_candidate(hosts.now) for fleet in hosts.fleets} == {failing}

    def test_a_candidate_that_is_no_aggregator_gets_the_reports_too(self):
        hosts = Hosts(6)
        for fleet in hosts.fleets:
            fleet.usage = make_exchange(fleet.own.peer_address)
        hosts.run(2.0)
        aggregators = hosts.fleets[0]._aggregators(hosts.now)
        for fleet in hosts.fleets:
            if fleet.own.peer_address in aggregators:
                name = fleet.own.peer_address
                fleet.make_status = lambda name=name: make_status(name, reaches_store=False)
                fleet.make_report = lambda name=name: make_report(
                    name, status=make_status(name, reaches_store=False)
                )
        hosts.run(1.0)
        candidate = hosts.fleets[0].usage_candidate(hosts.now)
        assert candidate not in aggregators
        receiver = next(one for one in hosts.fleets if one.own.peer_address == candidate)
        assert len(receiver.usage.gathering.hosts) == 6

    @pytest.mark.parametrize("hosts", [84, 195, 1_100])
    def test_size_of_a_report(self, hosts):
        # 13 requests a second at a host, of 30 workspaces, over two open windows.
        per_window = {f"ws{number:04d}": 2 for number in range(30)}
        usage = UsageReport(2**51, 99, 1.7e9, 3 * 10**8, dict.fromkeys((1, 2), per_window))
        without = make_report("10.0.0.1:7000")
        with_usage = msgspec.structs.replace(without, usage=usage)
        size = len(msgspec.msgpack.encode(with_usage)) - len(msgspec.msgpack.encode(without))
        assert size < 600
        assert msgspec.msgpack.decode(msgspec.msgpack.encode(with_usage), type=FleetReport)


class TestSettings:
    """The duty begins where the settings do not name it, or with numbers it can't work with."""

    def read(self, tmp_path, text: str):
        path = tmp_path / "boot.toml"
        path.write_text(
            SETTINGS.replace('ttl_max = "5s"', 'ttl_max = "5s"\nusageDelay = "9s"') + text
        )
        return read_settings(path)

    @pytest.mark.parametrize("text", ["", CLOUD.replace("usage_reporting", "other")])
    def test_nothing_without_the_duty(self, tmp_path, text):
        assert self.read(tmp_path, text).usage is None

    def test_a_rate_of_zero_without_the_duty_does_not_prevent_the_start(self, tmp_path):
        text = CLOUD.replace("usage_reporting", "other").replace("20.0", "0.0")
        assert self.read(tmp_path, text).usage is None

    def test_the_duty_is_read(self, tmp_path):
        usage = self.read(tmp_path, CLOUD).usage
        assert usage.address == "10.9.0.1:8100"
        rules = usage.rules
        assert (rules.window_s, rules.delay_s, rules.lease_time_s) == (5.0, 9.0, 3.0)
        assert rules.calls_per_s == 20.0

    @pytest.mark.parametrize(
        ("old", "new"), [("10.9.0.1:8100", "nowhere"), ("20.0", "0.0"), ("20.0", "-1.0")]
    )
    def test_invalid_settings_are_refused(self, tmp_path, old, new):
        assert isinstance(self.read(tmp_path, CLOUD.replace(old, new)), Failure)

    def test_a_lease_too_short_for_a_call_is_refused(self, tmp_path):
        # Writes would follow each other without a pause, and none would permit a call.
        text = SETTINGS.replace('ttl_max = "5s"', 'ttl_max = "5s"\nlease_time = "80ms"') + CLOUD
        path = tmp_path / "boot.toml"
        path.write_text(text)
        assert isinstance(read_settings(path), Failure)
