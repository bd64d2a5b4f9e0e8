from __future__ import annotations

from radishbridge.records import ResultCode
from radishbridge.routing import Crash, PoisonList, request_fingerprint
from radishbridge.routing.poison import RESTART_MIN_S

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

    def test_crashes_expire(self) -> None:
        poison = PoisonList(crash_ttl_s=600.0)
        poison.record_crash(FINGERPRINT, Crash("cat-1", 1, 0.0), 0.0)
        poison.record_crash(FINGERPRINT, Crash("cat-2", 1, 100.0), 100.0)
        assert poison.check(FINGERPRINT, 599.0) is not None
        assert poison.check(FINGERPRINT, 601.0) is None
        assert not poison.is_suspect(FINGERPRINT, 701.0)
        assert poison.crashes == {}

    def test_number_of_fingerprints_is_bounded(self) -> None:
        poison = PoisonList()
        for number in range(10_100):
            poison.record_crash(number.to_bytes(4, "big"), Crash("cat-1", 1, 0.0), 0.0)
        assert len(poison.crashes) == 10_000

    def test_other_requests_are_not_rejected(self) -> None:
        poison = PoisonList()
        poison.record_crash(FINGERPRINT, Crash("cat-1", 1, 0.0), 0.0)
        poison.record_crash(FINGERPRINT, Crash("cat-2", 1, 0.0), 0.0)
        assert poison.check(b"other", 0.0) is None


class TestFingerprint:
    def test_boundaries_between_fields_change_the_fingerprint(self) -> None:
        fingerprints = {
            request_fingerprint("w", "GET", "/ab", b"c"),
            request_fingerprint("w", "GET", "/a", b"bc"),
            request_fingerprint("wG", "ET", "/ab", b"c"),
            request_fingerprint("x", "GET", "/ab", b"c"),
        }
        assert len(fingerprints) == 4
