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

    def test_failing_listener_does_not_stop_the_others(self) -> None:
        notified: list[int] = []

        def fail(record: Record) -> None:
            raise RuntimeError

        replica = Replica()
        replica.listeners += [fail, lambda record: notified.append(record.version)]
        replica.apply(stored(1))
        assert notified == [1]

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
        assert len(replica.digest.differing(other.digest.buckets)) == 1

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

    def test_object_missing_from_a_listing_is_reported_and_kept(self) -> None:
        replica = Replica()
        replica.apply(stored(3))
        replica.apply(stored(4, name="b"))
        replica.compare_listing(
            Listing(revision=9, objects=[stored(2)]), {("key", "a"): 3, ("key", "b"): 4}
        )
        shown = {
            key[1]: divergence.store_version for key, divergence in replica.divergences.items()
        }
        assert shown == {"a": 2, "b": 0}
        assert (in_force(replica), in_force(replica, "b")) == (3, 4)
        replica.apply(stored(10))
        assert list(replica.divergences) == [("key", "b")]

    def test_keeps_no_reference_to_the_response_body(self) -> None:
        response = msgspec.json.encode(
            Listing(revision=1, objects=[stored(1), stored(1, name="b")])
        )
        replica = Replica()
        for decoded in msgspec.json.decode(response, type=Listing).objects:
            replica.apply(decoded)
        kept = replica.objects["key", "a"].value
        assert memoryview(kept).obj is not response
        assert bytes(kept) == key()


class FeedWorld:
    """A feed over a fake store, in virtual time."""

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
async def running_feed() -> t.AsyncIterator[FeedWorld]:
    world = FeedWorld()
    task = asyncio.create_task(world.feed.run())
    try:
        yield world
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


class TestReplicaFeed:
    async def test_applies_changes_and_is_fresh(self) -> None:
        async with running_feed() as world:
            world.put("a")
            await world.run(2)
            assert (world.replica.complete, in_force(world.replica)) == (True, 1)
            world.put("a")
            await world.run(2)
            assert (in_force(world.replica), world.replica.revision) == (2, 2)
            assert world.clock.now - world.replica.fresh_at <= 2

    @pytest.mark.parametrize("cause", ["outage", "cut", "compact"])
    async def test_misses_no_change_during_an_interruption(self, cause: str) -> None:
        async with running_feed() as world:
            world.put("a")
            await world.run(2)
            world.table.faults.down = True
            await world.run(3)
            assert world.clock.now - world.replica.fresh_at >= 3
            for name in "abc":
                world.put(name)
            if cause == "compact":
                world.table.compact()
            if cause == "cut":
                world.table.cut_watches()
            world.table.faults.down = False
            await world.run(15)
            assert [in_force(world.replica, name) for name in "abc"] == [2, 3, 4]
            assert world.clock.now - world.replica.fresh_at <= 2

    async def test_reordered_and_doubled_events_do_not_skip_changes_after_an_interruption(
        self,
    ) -> None:
        async with running_feed() as world:
            await world.run(2)
            world.table.faults.reorder = world.table.faults.double = True
            for name in "abc":
                world.put(name)
            watch = world.store.watch(["key"], 0)
            event = await anext(watch)
            await watch.aclose()
            assert event.object is not None
            world.replica.apply(event.object)
            world.table.cut_watches()
            await world.run(5)
            assert [in_force(world.replica, name) for name in "abc"] == [1, 2, 3]

    async def test_heartbeat_that_waited_in_a_buffer_proves_nothing(self) -> None:
        async with running_feed() as world:
            await world.run(2)
            fresh_at = world.replica.fresh_at
            world.clock.now += 60.0
            world.replica.advance(world.table.revision)
            assert world.replica.fresh_at == fresh_at

    async def test_regression_of_the_store_is_reported_and_reverts_nothing(self) -> None:
        async with running_feed() as world:
            world.put("a")
            backup = world.table.backup()
            world.put("a", key(withdrawn=True))
            world.put("b")
            await world.run(2)
            world.table.restore(backup)
            await world.run(20)
            body = world.replica.body("key", "a")
            assert isinstance(body, Key)
            assert body.withdrawn
            assert world.replica.regression is not None
            assert {key[1] for key in world.replica.divergences} == {"a", "b"}
            assert world.clock.now - world.replica.fresh_at > 5
            world.table.revision = 100
            world.put("a", key(withdrawn=True))
            await world.run(20)
            assert world.replica.regression is None
            assert {key[1] for key in world.replica.divergences} == {"b"}
            assert in_force(world.replica) == 101
            assert world.clock.now - world.replica.fresh_at <= 2

    async def test_interrupted_feed_backs_off(self) -> None:
        async with running_feed() as world:
            world.table.faults.down = True
            await world.run(60)
            assert world.table.calls["revision"] <= 60 / 0.9
            assert world.table.calls["list"] + world.table.calls["watch"] <= 3
