from __future__ import annotations

import asyncio
import contextlib
import typing as t

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishbridge.records import Key, Record, ResultCode, encode_record
from radishbridge.store import Listing, Replica, ReplicaFeed, StoredObject
from radishbridge_standin.fake import FakeStore
from radishbridge_standin.replicas import SETTLE_ROUNDS, VirtualClock
from radishbridge_standin.table import ObjectTable, Write

TOO_NEW = b'{"schema": 99, "spec": {}}'


def key(withdrawn: bool = False) -> bytes:
    return encode_record("key", Key(workspace="school-17", digest="0" * 64, withdrawn=withdrawn))


def stored(version: int, value: bytes | None = None, name: str = "a") -> StoredObject:
    raw = msgspec.Raw(key() if value is None else value)
    return StoredObject(kind="key", name=name, version=version, value=raw)


def in_force(replica: Replica, name: str = "a") -> int:
    record = replica.records.get(("key", name))
    return 0 if record is None else record.version


class TestReplica:
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from("ab"), st.integers(1, 9), st.booleans())))
    def test_version_in_force_never_goes_back(self, events: list[tuple[str, int, bool]]) -> None:
        replica = Replica()
        seen = {"a": 0, "b": 0}
        good = {"a": 0, "b": 0}
        for name, version, valid in events:
            replica.apply(stored(version, key() if valid else TOO_NEW, name))
            if version > seen[name]:
                seen[name] = version
                good[name] = version if valid else good[name]
            assert in_force(replica, name) == good[name]
            assert replica.version("key", name) == seen[name]

    def test_rejected_version_leaves_the_last_good_one_in_force(self) -> None:
        replica = Replica()
        replica.apply(stored(5))
        assert replica.apply(stored(9, TOO_NEW))
        assert not replica.apply(stored(7))
        assert in_force(replica) == 5
        assert replica.rejected["key", "a"].code is ResultCode.SCHEMA_TOO_NEW
        assert replica.apply(stored(10))
        assert (in_force(replica), replica.rejected) == (10, {})

    def test_listener_that_fails_keeps_no_other_from_the_change(self) -> None:
        heard: list[int] = []

        def fail(record: Record) -> None:
            raise RuntimeError

        replica = Replica()
        replica.listeners += [fail, lambda record: heard.append(record.version)]
        replica.apply(stored(1))
        assert heard == [1]

    @given(st.permutations([(name, version) for name in "abcd" for version in (1, 2)]))
    @settings(derandomize=True, deadline=None)
    def test_digest_depends_on_the_copy_alone(self, order: list[tuple[str, int]]) -> None:
        replica, other = Replica(), Replica()
        for name, version in order:
            replica.apply(stored(version, name=name))
        for name in "abcd":
            other.apply(stored(2, name=name))
        assert replica.digest.buckets == other.digest.buckets
        other.apply(stored(3))
        assert len(replica.digest.differing_buckets(other.digest.buckets)) == 1

    def test_read_proves_nothing_before_its_revision_is_reached(self) -> None:
        replica = Replica()
        replica.record_store_read(5, sent_at=10.0, known_revision=0)
        assert replica.fresh_at == float("-inf")
        replica.advance(5)
        assert replica.fresh_at == 10.0

    def test_peer_proof_counts_only_for_the_same_copy(self) -> None:
        replica, other = Replica(), Replica()
        other.apply(stored(1))
        assert not replica.accept_peer_proof(1, other.digest.root(), 10.0)
        replica.apply(stored(1))
        assert replica.accept_peer_proof(1, other.digest.root(), 10.0)
        assert (replica.revision, replica.fresh_at) == (1, 10.0)

    def test_two_values_of_one_version_are_reported(self) -> None:
        replica = Replica()
        replica.apply(stored(1))
        replica.apply(stored(1, key(withdrawn=True)))
        assert replica.divergences["key", "a"].store_version == 1

    def test_listing_that_lacks_an_object_is_reported_and_takes_nothing_away(self) -> None:
        replica = Replica()
        replica.apply(stored(3))
        replica.apply(stored(4, name="b"))
        replica.compare_listing(
            Listing(revision=9, objects=[stored(2)]), {("key", "a"): 3, ("key", "b"): 4}
        )
        shown = {at[1]: one.store_version for at, one in replica.divergences.items()}
        assert shown == {"a": 2, "b": 0}
        assert (in_force(replica), in_force(replica, "b")) == (3, 4)
        replica.apply(stored(10))
        assert list(replica.divergences) == [("key", "b")]

    def test_keeps_no_reference_to_the_answer_an_object_came_in(self) -> None:
        answer = msgspec.json.encode(Listing(revision=1, objects=[stored(1), stored(1, name="b")]))
        replica = Replica()
        for one in msgspec.json.decode(answer, type=Listing).objects:
            replica.apply(one)
        kept = replica.objects["key", "a"].value
        assert memoryview(kept).obj is not answer
        assert bytes(kept) == key()


class Following:
    """A feed over a fake store, moved on by hand."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self.table = ObjectTable(self.clock)
        self.store = FakeStore(self.table)
        self.replica = Replica(self.clock)
        self.feed = ReplicaFeed(self.store, self.replica, sleep=self.clock.sleep)

    def put(self, name: str, value: bytes | None = None) -> None:
        held = self.table.objects.get(("key", name))
        version = 0 if held is None else held.version
        value = key() if value is None else value
        self.table.write(Write(kind="key", name=name, value=value, expected_version=version))

    async def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.5)):
            self.clock.advance(0.5)
            self.table.notify()
            for _ in range(SETTLE_ROUNDS):
                await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def following() -> t.AsyncIterator[Following]:
    one = Following()
    task = asyncio.create_task(one.feed.run())
    try:
        yield one
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


class TestReplicaFeed:
    async def test_applies_changes_and_is_fresh(self) -> None:
        async with following() as one:
            one.put("a")
            await one.run(2)
            assert (one.replica.complete, in_force(one.replica)) == (True, 1)
            one.put("a")
            await one.run(2)
            assert (in_force(one.replica), one.replica.revision) == (2, 2)
            assert one.clock.now - one.replica.fresh_at <= 2

    @pytest.mark.parametrize("cause", ["outage", "cut", "compact"])
    async def test_misses_nothing_over_an_interruption(self, cause: str) -> None:
        async with following() as one:
            one.put("a")
            await one.run(2)
            one.table.faults.down = True
            await one.run(3)
            assert one.clock.now - one.replica.fresh_at >= 3
            for name in "abc":
                one.put(name)
            if cause == "compact":
                one.table.compact()
            if cause == "cut":
                one.table.cut_watches()
            one.table.faults.down = False
            await one.run(15)
            assert [in_force(one.replica, name) for name in "abc"] == [2, 3, 4]
            assert one.clock.now - one.replica.fresh_at <= 2

    async def test_reordered_and_doubled_events_do_not_skip_what_an_interruption_cut(self) -> None:
        async with following() as one:
            await one.run(2)
            one.table.faults.reorder = one.table.faults.double = True
            for name in "abc":
                one.put(name)
            watch = one.store.watch(["key"], 0)
            event = await anext(watch)
            await watch.aclose()
            assert event.object is not None
            one.replica.apply(event.object)
            one.table.cut_watches()
            await one.run(5)
            assert [in_force(one.replica, name) for name in "abc"] == [1, 2, 3]

    async def test_sign_of_life_that_waited_in_a_buffer_proves_nothing(self) -> None:
        async with following() as one:
            await one.run(2)
            fresh_at = one.replica.fresh_at
            one.clock.now += 60.0
            one.replica.advance(one.table.revision)
            assert one.replica.fresh_at == fresh_at

    async def test_older_state_of_the_store_does_not_revert_and_is_reported(self) -> None:
        async with following() as one:
            one.put("a")
            backup = one.table.backup()
            one.put("a", key(withdrawn=True))
            one.put("b")
            await one.run(2)
            one.table.restore(backup)
            await one.run(20)
            body = one.replica.body("key", "a")
            assert isinstance(body, Key)
            assert body.withdrawn
            assert one.replica.regression is not None
            assert {at[1] for at in one.replica.divergences} == {"a", "b"}
            assert one.clock.now - one.replica.fresh_at > 5
            one.table.revision = 100
            one.put("a", key(withdrawn=True))
            await one.run(20)
            assert one.replica.regression is None
            assert {at[1] for at in one.replica.divergences} == {"b"}
            assert in_force(one.replica) == 101
            assert one.clock.now - one.replica.fresh_at <= 2

    async def test_interrupted_feed_backs_off(self) -> None:
        async with following() as one:
            one.table.faults.down = True
            await one.run(60)
            assert one.table.calls["revision"] <= 60 / 0.9
            assert one.table.calls["list"] + one.table.calls["watch"] <= 3
