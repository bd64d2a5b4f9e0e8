from __future__ import annotations

import asyncio
import random
import time

import pytest

from radishbridge.entry import Kind, Listing, ObjectCopy, StoredObject, StoreFollower
from radishbridge.records import Failure, ResultCode

STORE_UNAVAILABLE = Failure(ResultCode.STORE_UNAVAILABLE, "no answer")


def server(name: str, version: int, value: bytes | None = b"x") -> StoredObject:
    return StoredObject(kind=Kind.SERVER, name=name, version=version, value=value)


def listing(revision: int, *objects: StoredObject) -> Listing:
    return Listing(revision=revision, objects=list(objects))


class TestCopy:
    def test_an_older_version_is_ignored(self):
        copy = ObjectCopy()
        assert copy.apply(server("a", 5), "store")
        assert not copy.apply(server("a", 4), "store")
        assert not copy.apply(server("a", 5, None), "store")
        assert copy.apply(server("a", 6, None), "store")
        assert not copy.apply(server("a", 5), "store")
        assert copy.listing(Kind.SERVER).objects == []

    def test_copies_with_the_same_objects_have_the_same_digest(self):
        one, other = ObjectCopy(), ObjectCopy()
        for stored in (server("a", 1), server("b", 2), server("b", 3, None)):
            one.apply(stored, "store")
        other.apply(server("a", 1), "store")
        assert one.digests == other.digests
        other.apply(server("a", 4), "store")
        assert one.digests != other.digests

    @pytest.mark.parametrize("seed", range(200))
    def test_a_copy_that_lacks_the_last_updates_has_another_digest(self, seed):
        # Guards against updates that cancel out: servers register, and leave, one after another.
        rng = random.Random(seed)
        first, count = rng.randrange(1, 1_000), rng.randrange(2, 6)
        pause = rng.randrange(1, 40)
        behind, ahead = ObjectCopy(), ObjectCopy()
        for number in range(count):
            for copy in (behind, ahead):
                copy.apply(server(f"i-{number}", first + number), "store")
        updated = rng.randrange(1, count + 1)
        for number in range(updated):
            value = None if rng.random() < 0.2 else b"y"
            ahead.apply(server(f"i-{number}", first + count + pause + number, value), "store")
        assert behind.digests != ahead.digests

    def test_a_listing_reveals_deletions(self):
        copy = ObjectCopy()
        for stored in (server("a", 1), server("b", 2), server("c", 9)):
            copy.apply(stored, "store")
        deleted = copy.find_deleted(Kind.SERVER, listing(5, server("a", 1)))
        assert [(stored.name, stored.version, stored.value) for stored in deleted] == [
            ("b", 5, None)
        ]


class ScriptedStore:
    """Answers listings and watches of servers from scripts, then doesn't answer any more."""

    def __init__(self, listings, watches) -> None:
        self.listings = list(listings)
        self.watches = list(watches)
        self.stale_flags = []

    async def list(self, kind, may_be_stale=False):
        self.stale_flags.append(may_be_stale)
        if kind is not Kind.SERVER:
            return listing(1)
        return await self._next(self.listings)

    async def watch(self, kind, after, wait_s):
        return await (self._next(self.watches) if kind is Kind.SERVER else asyncio.sleep(3600))

    async def _next(self, script):
        if not script:
            await asyncio.sleep(3600)
        return script.pop(0)


async def follow(store, until, rank=lambda: 0) -> ObjectCopy:
    copy = ObjectCopy()
    follower = StoreFollower(store, copy, rank, lambda: True, lambda *_: None, random.Random(1))
    task = asyncio.create_task(follower.run())
    async with asyncio.timeout(20.0):
        while not until(copy):
            await asyncio.sleep(0.005)
    task.cancel()
    return copy


def names(copy: ObjectCopy) -> set[str]:
    return {stored.name for stored in copy.listing(Kind.SERVER).objects}


def make_removals_due(follower: StoreFollower, seconds: float) -> None:
    """Make deferred removals due earlier."""
    follower.store_returned_at -= seconds
    follower.deferred_removals = {
        name: removal._replace(due_at=removal.due_at - seconds)
        for name, removal in follower.deferred_removals.items()
    }


class TestFollower:
    async def test_changes_follow_the_listing(self):
        store = ScriptedStore(
            [listing(3, server("a", 1))],
            [listing(4, server("b", 4)), listing(6, server("a", 6, None))],
        )
        copy = await follow(store, lambda copy: copy.revisions[Kind.SERVER] == 6)
        assert names(copy) == {"b"}

    @pytest.mark.parametrize("reason", [ResultCode.WATCH_EXPIRED, ResultCode.STORE_UNAVAILABLE])
    async def test_a_failed_watch_is_followed_by_a_listing(self, reason):
        store = ScriptedStore(
            [listing(3, server("a", 1)), listing(9, server("b", 8))], [Failure(reason, "gone")]
        )
        copy = await follow(store, lambda copy: copy.revisions[Kind.SERVER] == 9)
        assert names(copy) == {"b"}
        assert store.stale_flags[-1] is False

    async def test_the_first_listing_is_retried(self):
        store = ScriptedStore(
            [STORE_UNAVAILABLE, STORE_UNAVAILABLE, listing(3, server("a", 1))], []
        )
        assert names(await follow(store, lambda copy: Kind.SERVER in copy.loaded_kinds)) == {"a"}

    async def test_the_first_listing_is_not_broadcast(self):
        # When a fleet starts, each host reads all servers; broadcasts would only repeat them.
        store = ScriptedStore([listing(3, server("a", 1))], [listing(4, server("b", 4))])
        broadcast: list[str] = []
        copy = ObjectCopy()
        follower = StoreFollower(
            store,
            copy,
            lambda: 0,
            lambda: True,
            lambda objects, *_: broadcast.extend(stored.name for stored in objects),
            random.Random(1),
        )
        task = asyncio.create_task(follower.run())
        async with asyncio.timeout(5.0):
            while copy.revisions[Kind.SERVER] < 4:
                await asyncio.sleep(0.01)
        task.cancel()
        assert broadcast == ["b"]

    async def test_hosts_that_start_together_first_watch_only_hosts(self):
        store = ScriptedStore([listing(3), listing(3)], [])
        watched: list[Kind] = []
        watch = store.watch

        async def record_watch(kind, after, wait_s):
            watched.append(kind)
            return await watch(kind, after, wait_s)

        store.watch = record_watch
        copy = ObjectCopy()
        follower = StoreFollower(
            store, copy, lambda: True, lambda: False, lambda *_: None, random.Random(1)
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(1.2)
        assert watched == [Kind.HOST]
        follower.follower_rank = lambda: None
        follower.is_fleet_formed = lambda: True
        await asyncio.sleep(0.8)
        assert watched == [Kind.HOST]
        follower.follower_rank = lambda: 0
        await asyncio.sleep(0.3)
        assert set(watched) == set(Kind)
        task.cancel()

    async def test_nothing_is_broadcast_before_the_fleet_is_formed(self):
        broadcast: list[str] = []
        follower = StoreFollower(
            None,
            ObjectCopy(),
            lambda: 0,
            lambda: False,
            lambda objects, *_: broadcast.extend(stored.name for stored in objects),
            random.Random(1),
        )
        follower._apply_read([server("a", 1)])
        assert names(follower.copy) == {"a"}
        assert broadcast == []

    async def test_changes_that_a_watch_missed_are_listed(self):
        # The store sends no changes to watches for a while, and then compacts its history.
        compacted = Failure(ResultCode.WATCH_EXPIRED, "gone")
        store = ScriptedStore(
            [listing(3, server("a", 1)), listing(9, server("a", 1), server("b", 8))],
            [listing(9), compacted],
        )
        watched_after: list[int] = []
        watch = store.watch

        async def record_watch(kind, after, wait_s):
            if kind is Kind.SERVER:
                watched_after.append(after)
            return await watch(kind, after, wait_s)

        store.watch = record_watch
        copy = await follow(store, lambda copy: copy.revisions[Kind.SERVER] == 9)
        assert names(copy) == {"a", "b"}
        assert watched_after[:2] == [3, 3]

    async def test_a_new_store_follower_makes_a_fresh_listing(self):
        follows_from = asyncio.get_running_loop().time() + 1.2
        store = ScriptedStore([listing(3), listing(5, server("b", 5))], [])
        copy = await follow(
            store,
            lambda copy: copy.revisions[Kind.SERVER] == 5,
            lambda: 0 if asyncio.get_running_loop().time() > follows_from else None,
        )
        assert names(copy) == {"b"}
        assert store.stale_flags[-1] is False

    @pytest.mark.parametrize(
        ("failing_for_s", "since_failure_s", "reaches"),
        [(0.5, 0.0, True), (2.0, 0.0, False), (4.0, 2.0, False), (9.0, 6.0, True)],
    )
    def test_a_host_whose_calls_fail_does_not_reach_the_store(
        self, failing_for_s, since_failure_s, reaches
    ):
        follower = StoreFollower(
            None, ObjectCopy(), lambda: 0, lambda: True, lambda *_: None, random.Random(1)
        )
        follower.failing_since = 100.0 - failing_for_s
        follower.failed_at = 100.0 - since_failure_s
        assert follower.reaches_store(100.0) is reaches

    async def test_changes_are_broadcast_with_the_revisions_that_they_span(self):
        store = ScriptedStore(
            [listing(3, server("a", 1)), listing(9, server("b", 4), server("c", 8))],
            [listing(4, server("b", 4)), STORE_UNAVAILABLE],
        )
        spans: list[tuple[set[str], int, int]] = []
        copy = ObjectCopy()
        follower = StoreFollower(
            store,
            copy,
            lambda: 0,
            lambda: True,
            lambda objects, after, to: spans.append(({one.name for one in objects}, after, to)),
            random.Random(1),
        )
        task = asyncio.create_task(follower.run())
        async with asyncio.timeout(5.0):
            while copy.revisions[Kind.SERVER] < 9:
                await asyncio.sleep(0.01)
        task.cancel()
        # The listing after the failure lacks "a", which counts as a change.
        assert spans == [({"b"}, 3, 4), ({"c", "a"}, 4, 9)]

    async def test_deferred_removals_take_effect_after_the_host_stopped_following(self):
        copy = ObjectCopy()
        rank = [0]
        store = ScriptedStore([listing(3, server("a", 1))], [listing(7, server("a", 7, None))])
        follower = StoreFollower(
            store, copy, lambda: rank[0], lambda: True, lambda *_: None, random.Random(1)
        )
        follower.store_returned_at = asyncio.get_running_loop().time()
        task = asyncio.create_task(follower.run())
        async with asyncio.timeout(8.0):
            while not follower.deferred_removals:
                await asyncio.sleep(0.01)
            rank[0] = None
            while names(copy):
                await asyncio.sleep(0.05)
        task.cancel()

    async def test_entries_that_expired_in_an_outage_get_time_to_return(self):
        # The outage of the store was longer than entries live, and all servers are healthy.
        copy = ObjectCopy()
        follower = StoreFollower(
            None, copy, lambda: True, lambda: False, lambda *_: None, random.Random(1)
        )
        follower._apply_read([server("a", 1), server("b", 2)])
        follower.failing_since = 0.0
        follower._record_answer()
        follower._apply_read([server("a", 7, None), server("b", 8, None)])
        follower._apply_read([server("b", 9)])
        assert names(copy) == {"a", "b"}
        make_removals_due(follower, 2.1)
        follower._apply_due_removals()
        assert names(copy) == {"b"}

    async def test_the_revision_does_not_advance_while_a_removal_is_deferred(self):
        # Hosts with an equal copy would take over the revision and never get the removal.
        copy = ObjectCopy()
        store = ScriptedStore([listing(3, server("a", 1)), listing(7)], [])
        follower = StoreFollower(
            store, copy, lambda: True, lambda: True, lambda *_: None, random.Random(1)
        )
        await follower.load(Kind.SERVER)
        follower.store_returned_at = time.monotonic()
        await follower.load(Kind.SERVER)
        assert names(copy) == {"a"}
        assert copy.revisions[Kind.SERVER] == 3
        make_removals_due(follower, 2.1)
        follower._apply_due_removals()
        assert names(copy) == set()
        assert copy.revisions[Kind.SERVER] == 7

    async def test_a_second_outage_does_not_defer_removals_longer(self):
        copy = ObjectCopy()
        follower = StoreFollower(
            None, copy, lambda: True, lambda: False, lambda *_: None, random.Random(1)
        )
        follower._apply_read([server("a", 1)])
        follower.store_returned_at = time.monotonic() - 1.5
        follower._apply_read([server("a", 7, None)])
        follower.failing_since = 0.0
        follower._record_answer()
        follower._apply_read([server("a", 7, None)])
        make_removals_due(follower, 0.6)
        follower._apply_due_removals()
        assert names(copy) == set()
