from __future__ import annotations

import msgspec
import pytest
from steering_world import T0

from radishbridge.steering import (
    Evidence,
    Move,
    MoveOrder,
    MovePhase,
    decide_phase,
    stable_versions,
)


def make_move(**changes) -> Move:
    fields = {"service": "catalogue", "to_version": "v2", "duration_s": 10.0}
    return Move(MoveOrder(**{**fields, **changes}), exposure=0.1, now=T0)


def make_evidence(new_s: float = 0.1, new_failures: int = 0, warm: bool = True, count: int = 30):
    evidence = Evidence()
    for number in range(count):
        evidence.add("devices", True, new_s, number < new_failures, warm)
        evidence.add("devices", False, 0.1, False, warm)
    return evidence


class TestFaultDetection:
    def test_a_version_like_the_old_one_has_no_fault(self):
        assert make_evidence().find_fault() == ""

    @pytest.mark.parametrize(
        "faulty",
        [make_evidence(new_failures=10), make_evidence(new_s=0.8), make_evidence(new_failures=30)],
    )
    def test_errors_and_slowness_are_faults(self, faulty):
        assert faulty.find_fault()

    def test_slow_runs_on_cold_objects_are_ignored(self):
        assert make_evidence(new_s=0.8, warm=False).find_fault() == ""

    def test_a_fault_on_one_route_is_not_hidden_by_other_routes(self):
        evidence = make_evidence(count=500)
        for _ in range(10):
            evidence.add("images", True, 0.1, True, True)
            evidence.add("images", False, 0.1, False, True)
        assert "images" in evidence.find_fault()

    def test_a_late_fault_is_not_hidden_by_earlier_good_responses(self):
        # The version is good under low load for 8 s, and slow once it gets a fifth of the objects.
        move, evidence = make_move(), Evidence()
        for step in range(40):
            for _ in range(10):
                evidence.add("devices", True, 0.1, False, True)
                evidence.add("devices", False, 0.1, False, True)
            assert (
                move.find_fault(
                    msgspec.convert(msgspec.to_builtins(evidence), Evidence), T0 + step / 5
                )
                == ""
            )
        for step in range(40, 50):
            for _ in range(10):
                evidence.add("devices", True, 0.8, False, True)
                evidence.add("devices", False, 0.1, False, True)
            found = move.find_fault(
                msgspec.convert(msgspec.to_builtins(evidence), Evidence), T0 + step / 5
            )
        assert evidence.find_fault() == ""
        assert "devices" in found

    def test_counts_of_hosts_add_up(self):
        total = Evidence()
        for _ in range(4):
            total.merge(make_evidence(new_failures=1, count=2))
        assert total.new["devices"].failures == 4
        assert total.find_fault()


class TestShare:
    def test_an_unproven_version_gets_less_than_the_operators_limit(self):
        move = make_move()
        assert all(move.share(T0 + step, is_proven=False) < 0.1 for step in range(20))

    def test_a_proven_version_gets_all_objects_before_completion_is_reported(self):
        move = make_move()
        assert move.share(T0 + 8.0, is_proven=True) == 1.0
        assert decide_phase(move, make_evidence(), T0 + 8.0) is MovePhase.RUNNING
        assert decide_phase(move, make_evidence(), T0 + 9.0) is MovePhase.COMPLETED

    @pytest.mark.parametrize(("share", "servers"), [(0.05, 1), (0.2, 3), (0.45, 7), (1.0, 8)])
    def test_few_servers_serve_a_share_so_that_each_gets_the_usual_load(self, share, servers):
        names = [f"new-{number}" for number in range(8)]
        assert len(make_move().choose_servers(names, 16, share)) == servers

    def test_a_faulty_version_gets_nothing(self):
        move = make_move()
        move.fault = "errors"
        assert move.share(T0 + 8.0, is_proven=True) == 0.0
        assert decide_phase(move, Evidence(), T0 + 1.0) is MovePhase.ROLLED_BACK

    def test_a_version_without_responses_is_never_completed(self):
        move = make_move()
        assert decide_phase(move, Evidence(), T0 + 9.5) is MovePhase.RUNNING
        assert decide_phase(move, Evidence(), T0 + 10.5) is MovePhase.ROLLED_BACK

    @pytest.mark.parametrize(
        ("phase", "share"), [(MovePhase.COMPLETED, 1.0), (MovePhase.ROLLED_BACK, 0.0)]
    )
    def test_a_host_that_starts_later_follows_the_recorded_phase(self, phase, share):
        assert make_move(phase=phase).share(T0, is_proven=False) == share

    def test_objects_stay_on_the_new_version_while_the_share_grows(self):
        move = make_move()
        keys = [str(number) for number in range(400)]
        few = {key for key in keys if move.uses_new_version("devices", key, 0.1)}
        many = {key for key in keys if move.uses_new_version("devices", key, 0.5)}
        assert few < many
        assert len(few) < 80


class TestStableVersions:
    @pytest.mark.parametrize(
        ("counts", "without", "versions"),
        [
            ({"v1": 5}, "", None),
            ({"v1": 5, "v2": 2}, "", {"v1"}),
            ({"v1": 2, "v2": 5}, "v2", {"v1"}),
            ({"v2": 5}, "v2", set()),
        ],
    )
    def test_the_version_with_the_most_servers_serves(self, counts, without, versions):
        assert stable_versions(counts, without) == versions
