"""Follows the store: one task for each kind of object makes a listing, then a chain of watches."""

from __future__ import annotations

import asyncio
import functools
import logging
import random
import typing as t

from radishbridge.entry import uptime
from radishbridge.entry.copy import ObjectCopy
from radishbridge.entry.protocol import FleetStore, Kind, StoredObject
from radishbridge.records import Failure, ResultCode

# Source that the copy's listeners get for objects read from the store.
STORE_SOURCE = "store"
# Longest wait of one watch in seconds, by the host's rank among the store followers. A watch that
# gets no answer is noticed after this time. The first host renews its watches within the time in
# which changes have to take effect; the others make fewer calls and replace it if it fails.
WATCH_WAITS_S = (1.2, 2.5, 4.0)
# Kinds whose changes take effect within seconds; the others are watched for the longest time.
PROMPT_KINDS = (Kind.CONFIGURATION, Kind.SERVER, Kind.DRAIN)
# Time in seconds for which calls have to fail before the store counts as unreachable, and time
# since the last failure after which a host that makes no calls counts as reaching it again.
UNREACHABLE_AFTER_S = 1.0
ASSUME_REACHABLE_AFTER_S = 5.0
# A call that fails this long after its answer was due, in seconds, got no answer at all. The store
# then counts as unreachable at once: changes have to take effect within 2.5 s, most of which has
# passed.
OVERDUE_S = 0.4
# Pause in seconds after a failed call, doubled up to the maximum.
RETRY_PAUSE_S = 0.1
RETRY_PAUSE_MAX_S = 0.6
# Pauses in seconds between changes of a kind and its next watch, so that one call returns the
# changes of servers that start or leave together, and of hosts that start together. Both are well
# within the time in which changes have to take effect.
BATCH_PAUSE_S = {Kind.SERVER: 0.15, Kind.HOST: 0.3}
# Shortest and longest pause in seconds between the first listing of a kind and its first watch.
# Hosts that start together, within some 0.3 s, register and get each other's messages in that time,
# and only a few of them have to watch. Hosts themselves are watched at once, since that is how a
# host learns of the others.
FIRST_WATCH_DELAY_S = 0.8
FIRST_WATCH_DELAY_MAX_S = 2.0
# Pause in seconds between checks of this host's rank and of deferred removals.
POLL_INTERVAL_S = 0.1
# Entries of servers expire while the store is unavailable, and are written again within this time
# in seconds after it is back.
REMOVAL_GRACE_S = 2.0
# Outage of the store in seconds after which entries may have expired.
ENTRIES_EXPIRE_AFTER_S = 1.5

logger = logging.getLogger(__name__)


class DeferredRemoval(t.NamedTuple):
    """A removal that may only be an expired entry, and the monotonic time when it takes effect."""

    stored: StoredObject
    due_at: float


class StoreFollower:
    """Keeps the copy up to date while this host is a store follower.

    :param follower_rank: returns this host's rank among the store followers, or ``None`` if it
        gets changes from other hosts.
    :param is_fleet_formed: whether this host has joined a running fleet.
    :param on_changes: called with changes of a kind, at least one of them new to the copy, and the
        two revisions between which they are all the changes; 0 and 0 if some may be missing.
    :param rng: spreads the retries.
    :param may_start_stale: the first listings may be some seconds old. A host that restarts could
        bring a server that has left, or a withdrawn key, into use again.
    :param store_returned_at: monotonic time at which the store was back after an outage.
    :param failing_since: monotonic time since which calls fail; ``None`` if the last one worked.
    :param deferred_removals: removals of servers that don't take effect yet, by name.
    :param read_revisions: revision by kind up to which the store was read. While removals are
        deferred, the copy is not complete up to there.
    """

    __slots__ = (
        "copy",
        "deferred_removals",
        "failed_at",
        "failing_since",
        "follower_rank",
        "is_fleet_formed",
        "is_store_silent",
        "may_start_stale",
        "on_changes",
        "read_revisions",
        "rng",
        "store",
        "store_returned_at",
    )

    def __init__(
        self,
        store: FleetStore,
        copy: ObjectCopy,
        follower_rank: t.Callable[[], int | None],
        is_fleet_formed: t.Callable[[], bool],
        on_changes: t.Callable[[list[StoredObject], int, int], None],
        rng: random.Random,
        may_start_stale: bool = True,
    ) -> None:
        self.store = store
        self.copy = copy
        self.follower_rank = follower_rank
        self.is_fleet_formed = is_fleet_formed
        self.on_changes = on_changes
        self.rng = rng
        self.may_start_stale = may_start_stale
        self.store_returned_at = float("-inf")
        self.failing_since: float | None = None
        self.is_store_silent = False
        self.failed_at = float("-inf")
        self.deferred_removals: dict[str, DeferredRemoval] = {}
        self.read_revisions: dict[Kind, int] = dict.fromkeys(Kind, 0)

    def reaches_store(self, now: float) -> bool:
        """Return whether the store answered this host's recent calls, if it made any."""
        if self.failing_since is None:
            return True
        if now - self.failing_since < UNREACHABLE_AFTER_S and not self.is_store_silent:
            return True
        return now - self.failed_at > ASSUME_REACHABLE_AFTER_S

    def tasks(self) -> dict[str, t.Callable[[], t.Coroutine[t.Any, t.Any, None]]]:
        """Return the tasks that follow all kinds, by name.

        An error in one of them must not end the others.
        """
        follow = {
            f"follow {kind.value}": functools.partial(self._follow_kind, kind) for kind in Kind
        }
        return {**follow, "deferred removals": self._run_deferred_removals}

    async def run(self) -> None:
        """Run all tasks until cancelled."""
        async with asyncio.TaskGroup() as group:
            for run in self.tasks().values():
                group.create_task(run())

    async def load(self, kind: Kind, may_be_stale: bool = False) -> Failure | None:
        """Apply a listing of a kind.

        :param may_be_stale: the listing may be some seconds old; the next watch returns what
            it lacks.
        """
        answer_due = uptime.now()
        listing = await self.store.list(kind, may_be_stale)
        if isinstance(listing, Failure):
            self._record_failure(listing, kind, answer_due)
            return listing
        self._record_answer()
        logger.info(
            "listing applied",
            extra={
                "kind": kind.value,
                "may_be_stale": may_be_stale,
                "objects": len(listing.objects),
                "revision": listing.revision,
                "newest_object": max((stored.version for stored in listing.objects), default=0),
                "held_before": self.copy.revisions[kind],
            },
        )
        # What a host reads when it starts is new to this host only.
        is_first = kind not in self.copy.loaded_kinds
        after = self.copy.revisions[kind]
        objects = [*listing.objects, *self.copy.find_deleted(kind, listing)]
        self._apply_read(objects, after, listing.revision, broadcasts=not is_first)
        self._advance(kind, listing.revision)
        if is_first and kind is not Kind.HOST:
            await self._wait_for_fleet()
        return None

    async def _wait_for_fleet(self) -> None:
        until = uptime.now() + FIRST_WATCH_DELAY_MAX_S
        await asyncio.sleep(FIRST_WATCH_DELAY_S)
        while uptime.now() < until and not self.is_fleet_formed():
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _follow_kind(self, kind: Kind) -> None:
        pause_s = RETRY_PAUSE_S
        must_load = True
        while True:
            is_first = kind not in self.copy.loaded_kinds
            rank = self.follower_rank()
            if rank is None and not is_first:
                await asyncio.sleep(POLL_INTERVAL_S)
                must_load = True
                continue
            if must_load:
                may_be_stale = self.may_start_stale or kind not in PROMPT_KINDS
                failure = await self.load(kind, may_be_stale=is_first and may_be_stale)
            else:
                failure = await self._watch(kind, rank or 0)
            must_load = failure is not None
            if failure is None:
                pause_s = RETRY_PAUSE_S
                continue
            await asyncio.sleep(pause_s * self.rng.uniform(0.7, 1.3))
            pause_s = min(RETRY_PAUSE_MAX_S, 2.0 * pause_s)

    async def _watch(self, kind: Kind, rank: int) -> Failure | None:
        wait_s = WATCH_WAITS_S[rank] if kind in PROMPT_KINDS else WATCH_WAITS_S[-1]
        after = max(self.copy.revisions[kind], self.read_revisions[kind])
        answer_due = uptime.now() + wait_s
        changes = await self.store.watch(kind, after, wait_s)
        if isinstance(changes, Failure):
            self._record_failure(changes, kind, answer_due)
            return changes
        self._record_answer()
        self._apply_read(changes.objects, after, changes.revision)
        if changes.objects:
            # The store may answer a watch without changes although there are some. The next watch
            # therefore begins at the last change seen: it returns what was missed, or fails because
            # the store no longer keeps that history.
            self._advance(kind, changes.revision)
            await asyncio.sleep(BATCH_PAUSE_S.get(kind, 0.0))
        return None

    def _apply_read(
        self,
        objects: t.Collection[StoredObject],
        after: int = 0,
        revision: int = 0,
        broadcasts: bool = True,
    ) -> None:
        now = uptime.now()
        immediate = [stored for stored in objects if not self._defer_removal(stored, now)]
        if len(immediate) < len(objects):
            after = revision = 0
        self._apply_now(immediate, after, revision, broadcasts)

    def _defer_removal(self, stored: StoredObject, now: float) -> bool:
        if stored.kind is not Kind.SERVER:
            return False
        if stored.value is None and now - self.store_returned_at < REMOVAL_GRACE_S:
            removal = DeferredRemoval(stored, self.store_returned_at + REMOVAL_GRACE_S)
            self.deferred_removals.setdefault(stored.name, removal)
            return True
        self.deferred_removals.pop(stored.name, None)
        return False

    def _apply_now(
        self,
        objects: t.Collection[StoredObject],
        after: int = 0,
        revision: int = 0,
        broadcasts: bool = True,
    ) -> None:
        new = [stored for stored in objects if self.copy.apply(stored, STORE_SOURCE)]
        # In a fleet that is starting, each host reads the store itself.
        if not (new and broadcasts and self.is_fleet_formed()):
            return
        if not revision:
            self.on_changes(new, 0, 0)
        else:
            self.on_changes(
                [stored for stored in objects if stored.version > after], after, revision
            )

    def _advance(self, kind: Kind, revision: int) -> None:
        self.read_revisions[kind] = max(self.read_revisions[kind], revision)
        if kind is Kind.SERVER and self.deferred_removals:
            # Hosts whose copy is equal would take over the revision and never get the removals.
            return
        self.copy.advance(kind, self.read_revisions[kind])

    async def _run_deferred_removals(self) -> None:
        # Runs even if this host stops following the store in the meantime.
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._apply_due_removals()

    def _apply_due_removals(self) -> None:
        now = uptime.now()
        due = [
            removal.stored for removal in self.deferred_removals.values() if removal.due_at <= now
        ]
        if not due:
            return
        for stored in due:
            del self.deferred_removals[stored.name]
        logger.info("deferred removals applied", extra={"servers": [stored.name for stored in due]})
        self._apply_now(due)
        if not self.deferred_removals:
            self.copy.advance(Kind.SERVER, self.read_revisions[Kind.SERVER])

    def _record_answer(self) -> None:
        now = uptime.now()
        if self.failing_since is not None:
            outage_s = now - self.failing_since
            logger.info("store reachable again", extra={"away_s": round(outage_s, 2)})
            if outage_s > ENTRIES_EXPIRE_AFTER_S:
                self.store_returned_at = now
        self.failing_since = None
        self.is_store_silent = False

    def _record_failure(self, failure: Failure, kind: Kind, answer_due: float) -> None:
        now = uptime.now()
        expired = failure.code is ResultCode.WATCH_EXPIRED
        silent = not expired and now - answer_due > OVERDUE_S
        if not expired:
            self.failed_at = now
            self.is_store_silent = self.is_store_silent or silent
        if self.failing_since is None and not expired:
            self.failing_since = now
        logger.info(
            "store call failed",
            extra={
                "kind": kind.value,
                "reason": failure.reason,
                "relist": expired,
                "silent": silent,
            },
        )
