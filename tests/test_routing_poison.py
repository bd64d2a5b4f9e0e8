from __future__ import annotations

from radishbridge.records import ResultCode
from radishbridge.routing import Crash, PoisonList, request_fingerprint
from radishbridge.routing.poison import RESTART_MIN_S, TRIAL_PAUSE_S, TRIALS_MAX

FINGERPRINT = b"p"


class TestPoisonList:
    def test_request_is_rejected_after_the_second_crash(self) -> None:
        poison = PoisonList()
        assert poison.check(FINGERPRINT, 0.0) is None
        assert poison.record_crash(FINGERPRINT, Crash("cat-1", 1, 0.0), 0.0)
        assert poison.check(FINGERPRINT, 1.0) is None
        assert poison.is_suspect(FINGERPRINT, 1.0)
        assert poison.record_crash(FINGERPRINT, Crash("cat-2", 1, 2.0), 2.0)
        failure = poison.check(FINGERPRINT, 3.0)
        assert failure is not None
        assert failure.code is ResultCode.POISON_REQUEST

    def test_same_crash_counts_once(self) -> None:
        poison = PoisonList()
        poison.record_crash(FINGERPRINT, Crash("cat-1", 1, 0.0), 0.0)
        assert not poison.record_crash(FINGERPRINT, Crash("cat-1", 1, 1.0), 1.0)
        assert poison.check(FINGERPRINT, 2.0) is None

    def test_crash_of_a_process_that_started_again_counts(self) -> None:
        # The entry of the server still names the earlier process, as while the store is silent.
        poison = PoisonList()
        poison.record_crash(FINGERPRINT, Crash("cat-1", 1, 0.0), 0.0)
        again = Crash("cat-1", 1, RESTART_MIN_S)
        assert poison.record_crash(FINGERPRINT, again, RESTART_MIN_S)
        assert poison.check(FINGERPRINT, RESTART_MIN_S) is not None

    def test_request_is_forgotten_an_hour_after_its_last_crash(self) -> None:
        poison = PoisonList(crash_ttl_s=3600.0)
        poison.record_crash(FINGERPRINT, Crash("cat-1", 1, 0.0), 0.0)
        poison.record_crash(FINGERPRINT, Crash("cat-2", 1, 100.0), 100.0)
        assert poison.is_rejected(FINGERPRINT, 3699.0)
        assert not poison.is_rejected(FINGERPRINT, 3701.0)
        assert not poison.is_suspect(FINGERPRINT, 3701.0)
        assert poison.suspects == poison.rejected == {}

    def test_number_of_fingerprints_is_bounded(self) -> None:
        poison = PoisonList()
        for number in range(10_100):
            poison.record_crash(number.to_bytes(4, "big"), Crash("cat-1", 1, 0.0), 0.0)
        assert len(poison.suspects) == 10_000

    def test_a_flood_of_suspects_does_not_evict_rejected_requests(self) -> None:
        poison = PoisonList()
        for name in ("cat-1", "cat-2"):
            poison.record_crash(FINGERPRINT, Crash(name, 1, 0.0), 0.0)
        for number in range(10_100):
            poison.record_crash(number.to_bytes(4, "big"), Crash("cat-3", 1, 0.0), 0.0)
        assert poison.check(FINGERPRINT, 1.0) is not None

    def test_other_requests_are_not_rejected(self) -> None:
        poison = PoisonList()
        poison.record_crash(FINGERPRINT, Crash("cat-1", 1, 0.0), 0.0)
        poison.record_crash(FINGERPRINT, Crash("cat-2", 1, 0.0), 0.0)
        assert poison.check(b"other", 0.0) is None


def rejected_list(now: float = 0.0) -> PoisonList:
    """Return a list that rejects ``FINGERPRINT`` because of two crashes."""
    poison = PoisonList(crashes_max=2)
    for name in ("cat-1", "cat-2"):
        poison.record_crash(FINGERPRINT, Crash(name, 1, now), now)
    return poison


class TestTrials:
    """Guards against running a request that crashes servers again and again."""

    def test_repeats_for_minutes_are_all_rejected(self) -> None:
        poison = rejected_list()
        repeats = range(1, int(TRIAL_PAUSE_S), 3)
        assert all(poison.check(FINGERPRINT, now) is not None for now in repeats)

    def test_two_trials_are_made_however_often_the_request_comes(self) -> None:
        poison = rejected_list()
        runs = []
        for now in range(0, 3600, 3):
            if poison.check(FINGERPRINT, now) is None:
                runs.append(now)
                crash = Crash(f"cat-{now}", 1, now + 0.02)
                poison.record_crash(FINGERPRINT, crash, now + 0.1)
        assert len(runs) == TRIALS_MAX
        assert runs[1] - runs[0] > runs[0] >= TRIAL_PAUSE_S

    def test_a_trial_without_a_result_does_not_let_others_through(self) -> None:
        poison = rejected_list()
        assert poison.check(FINGERPRINT, 121.0) is None
        assert poison.is_rejected(FINGERPRINT, 121.0)
        assert poison.check(FINGERPRINT, 122.0) is not None

    def test_a_request_in_flight_by_chance_is_accepted_after_its_trial(self) -> None:
        poison = rejected_list()
        assert poison.check(FINGERPRINT, 121.0) is None
        assert poison.clear(FINGERPRINT, 121.3)
        assert poison.check(FINGERPRINT, 121.4) is None
        assert not poison.is_suspect(FINGERPRINT, 121.4)


class TestHostThatMissedTheCrashes:
    """Guards against running such a request at hosts that started after its crashes."""

    def test_learns_what_is_rejected(self) -> None:
        late = PoisonList(crashes_max=2)
        for rejection in rejected_list().rejections(10.0):
            late.learn(rejection, 50.0)
        assert late.check(FINGERPRINT, 50.0) is not None
        assert late.check(FINGERPRINT, 40.0 + TRIAL_PAUSE_S) is None

    def test_does_not_count_the_crashes_that_it_was_told_of_again(self) -> None:
        late = PoisonList(crashes_max=2)
        late.record_crash(FINGERPRINT, Crash("cat-2", 1, 0.0), 0.0)
        for rejection in rejected_list().rejections(0.5) * 2:
            late.learn(rejection, 0.5)
        late.record_crash(FINGERPRINT, Crash("cat-2", 1, 0.4), 0.6)
        assert late.crash_count(FINGERPRINT) == 2

    def test_hosts_do_not_keep_a_rejection_alive_by_telling_each_other(self) -> None:
        hosts = [rejected_list(), PoisonList(crashes_max=2)]
        delay_s = 2.0
        for now in range(0, 4000, 10):
            for sender, receiver in (hosts, hosts[::-1]):
                for rejection in sender.rejections(now):
                    receiver.learn(rejection, now + delay_s)
        assert not any(host.is_rejected(FINGERPRINT, 4000.0) for host in hosts)

    def test_a_request_that_was_run_meanwhile_is_not_learnt(self) -> None:
        poison, other = rejected_list(), rejected_list()
        poison.clear(FINGERPRINT, 5.0)
        for rejection in other.rejections(5.0):
            poison.learn(rejection, 5.5)
        assert not poison.is_suspect(FINGERPRINT, 5.5)


class TestFingerprint:
    def test_boundaries_between_fields_change_the_fingerprint(self) -> None:
        fingerprints = {
            request_fingerprint("w", "GET", "/ab", b"c"),
            request_fingerprint("w", "GET", "/a", b"bc"),
            request_fingerprint("wG", "ET", "/ab", b"c"),
            request_fingerprint("x", "GET", "/ab", b"c"),
        }
        assert len(fingerprints) == 4
