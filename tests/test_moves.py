from __future__ import annotations

import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishbridge.moves import (
    Fault,
    LatencyBaseline,
    MoveStatus,
    Observations,
    Phase,
    Ramp,
    RequestOutcome,
    StreamKey,
    StreamTest,
    Tally,
    VersionSplit,
    effective_share,
    merge_observations,
    start_move,
    wilson_upper_bound,
)
from radishbridge.records import Move

MOVE = Move(service="s", from_version="1", to_version="2", deadline_s=600.0)
ERRORS = StreamKey(Fault.ERROR, "route /a")
SLOW = StreamKey(Fault.SLOW, "route /a idle")


def outcome(new: bool, failed: bool = False, latency_s: float = 0.1) -> RequestOutcome:
    return RequestOutcome(
        route="/a", workspace="w", new=new, busy=False, failed=failed, latency_s=latency_s
    )


def interval(
    new: int, new_faults: int, old: int, old_faults: int, key: StreamKey = ERRORS
) -> Observations:
    return Observations({key: Tally(new, new_faults, old, old_faults)})


def run(ramp: Ramp, start: int, stop: int, observations: Observations | None) -> MoveStatus:
    for second in range(start, stop):
        if observations is not None:
            ramp.observe(observations, float(second))
        ramp.step(float(second))
    return ramp.status


def new_ramp() -> Ramp:
    return Ramp(MOVE, start_move("m", MOVE, 0.0), 0.0)


class TestVersionSplit:
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.floats(0.0, 1.0), st.integers(0, 200)), max_size=20))
    def test_never_exceeds_the_shares_in_force(self, stages: list[tuple[float, int]]) -> None:
        splits = [VersionSplit() for _ in range(3)]
        sent, allowed = 0, 0.0
        for share, requests in stages:
            for split in splits:
                split.set_share(share)
                for _ in range(requests):
                    allowed += share
                    sent += split.next_is_new()
                    assert sent <= allowed + 1e-6

    @pytest.mark.parametrize("share", [0.0, 0.01, 0.5, 1.0])
    def test_sends_the_share(self, share: float) -> None:
        split = VersionSplit()
        split.set_share(share)
        sent = sum(split.next_is_new() for _ in range(1000))
        assert 1000 * share - 1 <= sent <= 1000 * share

    def test_sends_nothing_while_stopped(self) -> None:
        split = VersionSplit()
        split.set_share(1.0)
        split.stop()
        assert not any(split.next_is_new() for _ in range(10))
        split.resume()
        assert split.next_is_new()

    def test_drops_credit_of_a_larger_share(self) -> None:
        split = VersionSplit()
        split.set_share(0.9)
        split.next_is_new()
        split.set_share(0.01)
        assert not any(split.next_is_new() for _ in range(99))


class TestStreamTest:
    def test_false_alarms_stay_under_the_stated_rate(self) -> None:
        rng = random.Random(20261204)
        alarms = 0
        for _ in range(200):
            test = StreamTest(margin=0.01)
            peak = 0.0
            for _ in range(60):
                new = sum(rng.random() < 0.02 for _ in range(20))
                old = sum(rng.random() < 0.02 for _ in range(200))
                test.update(Tally(20, new, 200, old))
                peak = max(peak, test.log_capital())
            # The logarithm of a capital of 20, which at most one run in 20 exceeds by Ville's
            # inequality.
            alarms += peak >= 3.0
        assert alarms <= 10

    def test_gains_on_more_faults_and_loses_on_fewer(self) -> None:
        worse, better = StreamTest(0.01), StreamTest(0.01)
        for _ in range(10):
            worse.update(Tally(10, 5, 200, 1))
            better.update(Tally(10, 0, 200, 1))
        assert worse.log_capital() > 9.0
        assert better.log_capital() < 0.0

    def test_is_neutral_without_the_old_version(self) -> None:
        test = StreamTest(0.01)
        test.update(Tally(10, 10, 0, 0))
        assert test.log_capital() == 0.0

    @pytest.mark.parametrize(("faults", "total"), [(0, 10), (5, 10), (10, 10), (0, 10_000)])
    def test_upper_bound_is_above_the_rate(self, faults: int, total: int) -> None:
        assert faults / total <= wilson_upper_bound(faults, total) <= 1.0


class TestLatencyBaseline:
    def test_classifies_once_it_has_enough_samples(self) -> None:
        baseline = LatencyBaseline()
        assert baseline.classify(outcome(new=True, latency_s=9.0)) is None
        for number in range(100):
            baseline.classify(outcome(new=False, latency_s=0.1 + 0.0001 * number))
        assert baseline.classify(outcome(new=True, latency_s=0.3)) is True
        assert baseline.classify(outcome(new=True, latency_s=0.1)) is False

    def test_does_not_learn_from_the_new_version(self) -> None:
        baseline = LatencyBaseline()
        for _ in range(200):
            baseline.classify(outcome(new=True, latency_s=5.0))
        assert baseline.thresholds == {}


class TestObservations:
    def test_tallies_of_hosts_add_up(self) -> None:
        by_host = [Observations(), Observations()]
        for observations in by_host:
            observations.add(outcome(new=True, failed=True), slow=None)
            observations.add(outcome(new=False), slow=False)
        total = merge_observations(by_host)
        assert total.tallies[ERRORS] == Tally(2, 2, 2, 0)
        assert total.tallies[StreamKey(Fault.ERROR, "workspace w")] == Tally(2, 2, 2, 0)
        assert total.tallies[SLOW] == Tally(0, 0, 2, 0)


class TestRamp:
    def test_good_version_gets_all_traffic(self) -> None:
        status = run(new_ramp(), 0, 300, interval(20, 0, 200, 0))
        assert status.phase is Phase.DONE
        assert status.share == 1.0

    def test_share_grows_by_at_most_the_step(self) -> None:
        ramp = new_ramp()
        shares = [
            run(ramp, second, second + 1, interval(20, 0, 200, 0)).share for second in range(300)
        ]
        tested = [share for share in shares if share < 1.0]
        assert all(b - a <= MOVE.step + 1e-9 for a, b in itertools.pairwise(tested))
        assert max(tested) <= 0.95

    def test_failing_version_is_rolled_back_with_the_reason(self) -> None:
        status = run(new_ramp(), 0, 30, interval(4, 4, 200, 0))
        assert status.phase is Phase.ROLLED_BACK
        assert status.share == 0.0
        assert status.reason == "error on route /a"

    def test_share_stays_at_the_exposure_while_proving(self) -> None:
        status = run(new_ramp(), 0, 80, interval(100, 0, 200, 0))
        assert status.phase is Phase.PROVING
        assert status.share == MOVE.exposure

    @pytest.mark.parametrize("missing_from", [50, 100])
    def test_share_holds_while_observations_are_missing(self, missing_from: int) -> None:
        ramp = new_ramp()
        run(ramp, 0, missing_from, interval(20, 0, 200, 0))
        before = ramp.status.share
        after = run(ramp, missing_from + 4, missing_from + 40, None)
        assert after.share <= before + MOVE.step
        assert after.phase in (Phase.PROVING, Phase.RAMPING)

    def test_slow_responses_are_ignored_while_caches_are_cold(self) -> None:
        status = run(new_ramp(), 0, 40, interval(20, 20, 200, 2, SLOW))
        assert status.phase is Phase.PROVING

    def test_version_that_stays_slow_is_rolled_back(self) -> None:
        status = run(new_ramp(), 0, 200, interval(20, 20, 200, 2, SLOW))
        assert status.phase is Phase.ROLLED_BACK
        assert status.slow_strikes == 1

    def test_is_rolled_back_at_the_deadline(self) -> None:
        status = run(new_ramp(), 0, 601, None)
        assert status.phase is Phase.DEADLINE_EXCEEDED
        assert status.share == 0.0

    def test_finished_move_does_not_change(self) -> None:
        ramp = new_ramp()
        ended = run(ramp, 0, 30, interval(4, 4, 200, 0))
        assert run(ramp, 30, 700, interval(20, 0, 200, 0)) == ended

    def test_another_host_continues_from_the_recorded_status(self) -> None:
        first = new_ramp()
        run(first, 0, 100, interval(20, 0, 200, 0))
        second = Ramp(MOVE, first.status, taken_over_at=100.0)
        status = run(second, 100, 300, interval(20, 0, 200, 0))
        assert status.phase is Phase.DONE


class TestEffectiveShare:
    @pytest.mark.parametrize(
        ("phase", "now", "share"),
        [
            (Phase.RAMPING, 599.0, 0.5),
            (Phase.RAMPING, 604.0, 0.5),
            (Phase.RAMPING, 605.0, 0.0),
            (Phase.DONE, 9_999.0, 0.5),
        ],
    )
    def test_hosts_end_an_overdue_move_without_a_controller(
        self, phase: Phase, now: float, share: float
    ) -> None:
        status = start_move("m", MOVE, 0.0)
        status.phase, status.share = phase, 0.5
        assert effective_share(status, now) == share
