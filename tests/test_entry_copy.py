from __future__ import annotations

import asyncio
import random
import time

import pytest

from radishbridge.entry import Kind, Listing, ObjectCopy, StoredObject, StoreFollower
from radishbridge.records import Failure, ResultCode

AWAY = Failure(ResultCode.STORE_UNAVAILABLE, "no answer")


def server(name: str, version: int, value: bytes | None = b"x") -> StoredObject:
    return StoredObject(kind=Kind.SERVER, name=name, version=version, value=value)


def listing(revision: int, *objects: StoredObject) -> Listing:
    return Listing(revision=revision, objects=list(objects))


class TestCopy:
    def test_it_never_goes_back(self):
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

    def test_a_listing_shows_what_is_gone(self):
        copy = ObjectCopy()
        for stored in (server("a", 1), server("b", 2), server("c", 9)):
            copy.apply(stored, "store")
        gone = copy.find_deleted(Kind.SERVER, listing(5, server("a", 1)))
        assert [(stored.name, stored.version, stored.value) for stored in gone] == [("b", 5, None)]


class ScriptedStore:
    """Answers listings and watches of servers from scripts, then waits."""

    def __init__(self, listings, watches) -> None:
        self.listings = list(listings)
        self.watches = list(watches)
        self.stale = []

    async def list(self, kind, may_be_stale=False):
        self.stale.append(may_be_stale)
        if kind is not Kind.SERVER:
            return listing(1)
        return await self._next(self.listings)

    async def watch(self, kind, after, wait_s):
        return await (self._next(self.watches) if kind is Kind.SERVER else asyncio.sleep(3600))

    async def _next(self, script):
        if not script:
            await asyncio.sleep(3600)
        return script.pop(0)


async def follow(store, until, place=lambda: 0) -> ObjectCopy:
    copy = ObjectCopy()
    follower = StoreFollower(store, copy, place, lambda: True, lambda *_: None, random.Random(1))
    task = asyncio.create_task(follower.run())
    async with asyncio.timeout(20.0):
        while not until(copy):
            await asyncio.sleep(0.005)
    task.cancel()
    return copy


def names(copy: ObjectCopy) -> set[str]:
    return {stored.name for stored in copy.listing(Kind.SERVER).objects}


def let_pass(follower: StoreFollower, seconds: float) -> None:
    """Let removals that are held back be due earlier."""
    follower.returned_at -= seconds
    follower.deferred = {
        name: held._replace(due=held.due - seconds) for name, held in follower.deferred.items()
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
    async def test_a_lost_watch_is_followed_by_a_listing(self, reason):
        store = ScriptedStore(
            [listing(3, server("a", 1)), listing(9, server("b", 8))], [Failure(reason, "gone")]
        )
        copy = await follow(store, lambda copy: copy.revisions[Kind.SERVER] == 9)
        assert names(copy) == {"b"}
        assert store.stale[-1] is False

    async def test_a_store_that_is_away_at_first_is_asked_again(self):
        store = ScriptedStore([AWAY, AWAY, listing(3, server("a", 1))], [])
        assert names(await follow(store, lambda copy: Kind.SERVER in copy.loaded_kinds)) == {"a"}

    async def test_what_a_host_reads_as_it_starts_is_not_passed_on(self):
        # Load pattern: a whole fleet starts at once, and each host reads all servers.
        store = ScriptedStore([listing(3, server("a", 1))], [listing(4, server("b", 4))])
        passed: list[str] = []
        copy = ObjectCopy()
        follower = StoreFollower(
            store,
            copy,
            lambda: 0,
            lambda: True,
            lambda objects, *_: passed.extend(stored.name for stored in objects),
            random.Random(1),
        )
        task = asyncio.create_task(follower.run())
        async with asyncio.timeout(5.0):
            while copy.revisions[Kind.SERVER] < 4:
                await asyncio.sleep(0.01)
        task.cancel()
        assert passed == ["b"]

    async def test_hosts_that_start_together_watch_only_each_other_at_first(self):
        store = ScriptedStore([listing(3), listing(3)], [])
        watched: list[Kind] = []
        watch = store.watch

        async def note(kind, after, wait_s):
            watched.append(kind)
            return await watch(kind, after, wait_s)

        store.watch = note
        copy = ObjectCopy()
        follower = StoreFollower(
            store, copy, lambda: True, lambda: False, lambda *_: None, random.Random(1)
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(1.2)
        assert watched == [Kind.HOST]
        follower.place = lambda: None
        follower.knows_fleet = lambda: True
        await asyncio.sleep(0.8)
        assert watched == [Kind.HOST]
        follower.place = lambda: 0
        await asyncio.sleep(0.3)
        assert set(watched) == set(Kind)
        task.cancel()

    async def test_a_host_of_a_fleet_that_is_starting_passes_nothing_on(self):
        passed: list[str] = []
        follower = StoreFollower(
            None,
            ObjectCopy(),
            lambda: 0,
            lambda: False,
            lambda objects, *_: passed.extend(stored.name for stored in objects),
            random.Random(1),
        )
        follower._take([server("a", 1)])
        assert names(follower.copy) == {"a"}
        assert passed == []

    async def test_a_watch_that_was_told_nothing_is_made_up_for(self):
        # Load pattern: the store tells watches nothing for a while, then forgets its history.
        forgotten = Failure(ResultCode.WATCH_EXPIRED, "gone")
        store = ScriptedStore(
            [listing(3, server("a", 1)), listing(9, server("a", 1), server("b", 8))],
            [listing(9), forgotten],
        )
        asked: list[int] = []
        watch = store.watch

        async def note(kind, after, wait_s):
            if kind is Kind.SERVER:
                asked.append(after)
            return await watch(kind, after, wait_s)

        store.watch = note
        copy = await follow(store, lambda copy: copy.revisions[Kind.SERVER] == 9)
        assert names(copy) == {"a", "b"}
        assert asked[:2] == [3, 3]

    async def test_a_host_that_takes_over_reads_afresh(self):
        turn_at = asyncio.get_running_loop().time() + 1.2
        store = ScriptedStore([listing(3), listing(5, server("b", 5))], [])
        copy = await follow(
            store,
            lambda copy: copy.revisions[Kind.SERVER] == 5,
            lambda: 0 if asyncio.get_running_loop().time() > turn_at else None,
        )
        assert names(copy) == {"b"}
        assert store.stale[-1] is False

    @pytest.mark.parametrize(
        ("failed_s", "silent_s", "reaches"),
        [(0.5, 0.0, True), (2.0, 0.0, False), (4.0, 2.0, False), (9.0, 6.0, True)],
    )
    def test_a_host_whose_calls_fail_does_not_reach_the_store(self, failed_s, silent_s, reaches):
        follower = StoreFollower(
            None, ObjectCopy(), lambda: 0, lambda: True, lambda *_: None, random.Random(1)
        )
        follower.failing_since = 100.0 - failed_s
        follower.failed_at = 100.0 - silent_s
        assert follower.reaches_store(100.0) is reaches

    async def test_changes_are_passed_on_with_the_revisions_that_they_span(self):
        store = ScriptedStore(
            [listing(3, server("a", 1)), listing(9, server("b", 4), server("c", 8))],
            [listing(4, server("b", 4)), AWAY],
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
        # The listing after the failure lacks "a", which is a change as well.
        assert spans == [({"b"}, 3, 4), ({"c", "a"}, 4, 9)]

    async def test_removals_held_back_take_effect_at_a_host_that_follows_no_more(self):
        copy = ObjectCopy()
        place = [0]
        store = ScriptedStore([listing(3, server("a", 1))], [listing(7, server("a", 7, None))])
        follower = StoreFollower(
            store, copy, lambda: place[0], lambda: True, lambda *_: None, random.Random(1)
        )
        follower.returned_at = asyncio.get_running_loop().time()
        task = asyncio.create_task(follower.run())
        async with asyncio.timeout(8.0):
            while not follower.deferred:
                await asyncio.sleep(0.01)
            place[0] = None
            while names(copy):
                await asyncio.sleep(0.05)
        task.cancel()

    async def test_entries_that_lapsed_with_the_store_get_time_to_return(self):
        # Load pattern: the store was away for longer than entries live, all servers are well.
        copy = ObjectCopy()
        follower = StoreFollower(
            None, copy, lambda: True, lambda: False, lambda *_: None, random.Random(1)
        )
        follower._take([server("a", 1), server("b", 2)])
        follower.failing_since = 0.0
        follower._note_answer()
        follower._take([server("a", 7, None), server("b", 8, None)])
        follower._take([server("b", 9)])
        assert names(copy) == {"a", "b"}
        let_pass(follower, 2.1)
        follower._settle()
        assert names(copy) == {"b"}

    async def test_a_copy_is_not_whole_while_a_removal_is_held_back(self):
        # Others that hold the same would take the revision over, and never learn of the removal.
        copy = ObjectCopy()
        store = ScriptedStore([listing(3, server("a", 1)), listing(7)], [])
        follower = StoreFollower(
            store, copy, lambda: True, lambda: True, lambda *_: None, random.Random(1)
        )
        await follower.load(Kind.SERVER)
        follower.returned_at = time.monotonic()
        await follower.load(Kind.SERVER)
        assert names(copy) == {"a"}
        assert copy.revisions[Kind.SERVER] == 3
        let_pass(follower, 2.1)
        follower._settle()
        assert names(copy) == set()
        assert copy.revisions[Kind.SERVER] == 7

    async def test_a_store_that_is_lost_again_holds_removals_back_no_longer(self):
        copy = ObjectCopy()
        follower = StoreFollower(
            None, copy, lambda: True, lambda: False, lambda *_: None, random.Random(1)
        )
        follower._take([server("a", 1)])
        follower.returned_at = time.monotonic() - 1.5
        follower._take([server("a", 7, None)])
        follower.failing_since = 0.0
        follower._note_answer()
        follower._take([server("a", 7, None)])
        let_pass(follower, 0.6)
        follower._settle()
        assert names(copy) == set()
