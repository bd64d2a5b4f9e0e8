from __future__ import annotations

from radishbridge.records import ResultCode
from radishbridge.routing import PoisonList, request_fingerprint

POISON = b"p"


class TestPoisonList:
    def test_a_request_is_refused_after_the_second_crash(self) -> None:
        poison = PoisonList()
        assert poison.check(POISON, 0.0) is None
        assert poison.record_crash(POISON, "cat-1", 0.0)
        assert poison.check(POISON, 1.0) is None
        assert poison.is_suspect(POISON, 1.0)
        assert poison.record_crash(POISON, "cat-2", 2.0)
        refusal = poison.check(POISON, 3.0)
        assert refusal is not None
        assert refusal.code is ResultCode.POISON_REQUEST

    def test_the_same_crash_counts_once(self) -> None:
        poison = PoisonList()
        poison.record_crash(POISON, "cat-1", 0.0)
        assert not poison.record_crash(POISON, "cat-1", 1.0)
        assert poison.check(POISON, 2.0) is None

    def test_suspicion_ends(self) -> None:
        poison = PoisonList(suspicion_s=600.0)
        poison.record_crash(POISON, "cat-1", 0.0)
        poison.record_crash(POISON, "cat-2", 100.0)
        assert poison.check(POISON, 599.0) is not None
        assert poison.check(POISON, 601.0) is None
        assert not poison.is_suspect(POISON, 701.0)
        assert poison.crashes == {}

    def test_memory_is_bounded(self) -> None:
        poison = PoisonList()
        for number in range(10_100):
            poison.record_crash(number.to_bytes(4, "big"), "cat-1", 0.0)
        assert len(poison.crashes) == 10_000

    def test_others_are_not_refused(self) -> None:
        poison = PoisonList()
        poison.record_crash(POISON, "cat-1", 0.0)
        poison.record_crash(POISON, "cat-2", 0.0)
        assert poison.check(b"other", 0.0) is None


class TestFingerprint:
    def test_parts_do_not_run_together(self) -> None:
        prints = {
            request_fingerprint("w", "GET", "/ab", b"c"),
            request_fingerprint("w", "GET", "/a", b"bc"),
            request_fingerprint("wG", "ET", "/ab", b"c"),
            request_fingerprint("x", "GET", "/ab", b"c"),
        }
        assert len(prints) == 4
