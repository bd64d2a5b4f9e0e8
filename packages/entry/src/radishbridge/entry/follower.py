"""Follows the store's objects: one task for each kind, a listing first, then a chain of watches."""

from __future__ import annotations

import asyncio
import logging
import random
import time
import typing as t

from radishbridge.entry.copy import ObjectCopy
from radishbridge.entry.protocol import FleetStore, Kind, StoredObject
from radishbridge.records import Failure, ResultCode

# What the copy is told of where an object came from.
STORE = "store"
# Longest wait of one watch in seconds, by the host's place among those that follow: a watch that
# went silent is noticed that late. The first host renews its watches within the time in which
# changes bind; the others cost fewer calls and stand in for it.
WATCH_S = (1.2, 2.5, 4.0)
# Kinds whose changes bind within seconds; the others are watched for the longest time.
PROMPT_KINDS = (Kind.CONFIGURATION, Kind.SERVER, Kind.DRAIN)
# Time in seconds for which calls have to fail before the store counts as out of reach, and after
# which a host that makes no calls any more is taken to reach it again.
UNREACHED_S = 1.0
RETRY_AFTER_S = 5.0
# Time in seconds beyond its own waiting time after which a call that failed got no answer at all.
# Then the store is out of reach at once: changes bind within 2.5 s, most of which has passed.
SILENT_S = 0.4
# Pause in seconds after a failed call, doubled up to the second figure.
RETRY_S = 0.1
RETRY_MAX_S = 0.6
# Pauses in seconds after changes of a kind before the next watch, so that one call brings the
# changes of servers that start or leave together, and of hosts that start together; both well
# within the time in which they bind.
GATHER_S = {Kind.SERVER: 0.15, Kind.HOST: 0.3}
# Shortest and longest pause in seconds between the first listing of a kind and the first watch.
# Hosts that start together, within some 0.3 s, register and hear each other in that time, and only
# a few of them have to watch. Hosts themselves are watched at once, since that is how a host
# learns whom to hear.
FORM_S = 0.8
FORM_MAX_S = 2.0
# Pause in seconds between two looks at whether this host has to follow the store.
IDLE_S = 0.1
# Entries of servers lapse while the store is away, and are back within two seconds of its return.
LAPSE_GRACE_S = 2.0
# Silence of the store in seconds after which entries may have lapsed.
LAPSE_AFTER_S = 1.5

logger = logging.getLogger(__name__)


class HeldBack(t.NamedTuple):
    """A removal that may be a lapse, and the monotonic time at which it takes effect."""

    stored: StoredObject
    due: float


class StoreFollower:
    """Keeps the copy up to date while it is this host's turn to follow the store.

    :param place: this host's place among those that read the store; ``None`` if it gets changes
        from others.
    :param knows_fleet: whether this host hears others.
    :param taken: called with changes of a kind, some of them new to the copy, and the two
        revisions between which they are all changes; 0 and 0 where they are not all.
    :param read_to: revision up to which the store was read, by kind; the copy is not whole up to
        there while removals are held back.
    """

    __slots__ = (
        "copy",
        "deferred",
        "failed_at",
        "failing_since",
        "is_silent",
        "knows_fleet",
        "place",
        "read_to",
        "returned_at",
        "rng",
        "store",
        "taken",
    )

    def __init__(
        self,
        store: FleetStore,
        copy: ObjectCopy,
        place: t.Callable[[], int | None],
        knows_fleet: t.Callable[[], bool],
        taken: t.Callable[[list[StoredObject], int, int], None],
        rng: random.Random,
    ) -> None:
        self.store = store
        self.copy = copy
        self.place = place
        self.knows_fleet = knows_fleet
        self.taken = taken
        self.rng = rng
        self.returned_at = float("-inf")
        self.failing_since: float | None = None
        self.is_silent = False
        self.failed_at = float("-inf")
        self.deferred: dict[str, HeldBack] = {}
        self.read_to: dict[Kind, int] = dict.fromkeys(Kind, 0)

    def reaches_store(self, now: float) -> bool:
        """Whether the store answers this host, as far as it has asked lately."""
        if self.failing_since is None:
            return True
        if now - self.failing_since < UNREACHED_S and not self.is_silent:
            return True
        return now - self.failed_at > RETRY_AFTER_S

    async def run(self) -> None:
        """Follow all kinds until cancelled."""
        async with asyncio.TaskGroup() as group:
            for kind in Kind:
                group.create_task(self._follow(kind))
            group.create_task(self._settle_in_time())

    async def load(self, kind: Kind, may_be_stale: bool = False) -> Failure | None:
        """Take over a listing of a kind; the watch after a stale one brings what it lacks."""
        due = time.monotonic()
        listing = await self.store.list(kind, may_be_stale)
        if isinstance(listing, Failure):
            self._note_failure(listing, kind, due)
            return listing
        self._note_answer()
        logger.info(
            "listed",
            extra={
                "kind": kind.value,
                "may_be_stale": may_be_stale,
                "objects": len(listing.objects),
                "revision": listing.revision,
                "newest_object": max((stored.version for stored in listing.objects), default=0),
                "held_before": self.copy.revisions[kind],
            },
        )
        # What a host reads as it starts is news to itself alone.
        is_first = kind not in self.copy.loaded_kinds
        after = self.copy.revisions[kind]
        objects = [*listing.objects, *self.copy.find_deleted(kind, listing)]
        self._take(objects, after, listing.revision, passes_on=not is_first)
        self._advance(kind, listing.revision)
        if is_first and kind is not Kind.HOST:
            await self._await_fleet()
        return None

    async def _await_fleet(self) -> None:
        until = time.monotonic() + FORM_MAX_S
        await asyncio.sleep(FORM_S)
        while time.monotonic() < until and not self.knows_fleet():
            await asyncio.sleep(IDLE_S)

    async def _follow(self, kind: Kind) -> None:
        pause_s = RETRY_S
        must_load = True
        while True:
            is_first = kind not in self.copy.loaded_kinds
            place = self.place()
            if place is None and not is_first:
                await asyncio.sleep(IDLE_S)
                must_load = True
                continue
            if must_load:
                failure = await self.load(kind, may_be_stale=is_first)
            else:
                failure = await self._watch(kind, place or 0)
            must_load = failure is not None
            if failure is None:
                pause_s = RETRY_S
                continue
            await asyncio.sleep(pause_s * self.rng.uniform(0.7, 1.3))
            pause_s = min(RETRY_MAX_S, 2.0 * pause_s)

    async def _watch(self, kind: Kind, place: int) -> Failure | None:
        wait_s = WATCH_S[place] if kind in PROMPT_KINDS else WATCH_S[-1]
        after = max(self.copy.revisions[kind], self.read_to[kind])
        due = time.monotonic() + wait_s
        changes = await self.store.watch(kind, after, wait_s)
        if isinstance(changes, Failure):
            self._note_failure(changes, kind, due)
            return changes
        self._note_answer()
        self._take(changes.objects, after, changes.revision)
        if changes.objects:
            # An empty answer may come while the store tells watches nothing. The next watch begins
            # where the last change was seen, and finds what was missed, or that it is forgotten.
            self._advance(kind, changes.revision)
            await asyncio.sleep(GATHER_S.get(kind, 0.0))
        return None

    def _take(
        self,
        objects: t.Collection[StoredObject],
        after: int = 0,
        revision: int = 0,
        passes_on: bool = True,
    ) -> None:
        now = time.monotonic()
        taken = [stored for stored in objects if not self._holds_back(stored, now)]
        if len(taken) < len(objects):
            after = revision = 0
        self._apply(taken, after, revision, passes_on)

    def _holds_back(self, stored: StoredObject, now: float) -> bool:
        if stored.kind is not Kind.SERVER:
            return False
        if stored.value is None and now - self.returned_at < LAPSE_GRACE_S:
            held = HeldBack(stored, self.returned_at + LAPSE_GRACE_S)
            self.deferred.setdefault(stored.name, held)
            return True
        self.deferred.pop(stored.name, None)
        return False

    def _apply(
        self,
        objects: t.Collection[StoredObject],
        after: int = 0,
        revision: int = 0,
        passes_on: bool = True,
    ) -> None:
        fresh = [stored for stored in objects if self.copy.apply(stored, STORE)]
        # In a fleet that is starting every host reads for itself.
        if not (fresh and passes_on and self.knows_fleet()):
            return
        if not revision:
            self.taken(fresh, 0, 0)
        else:
            self.taken([stored for stored in objects if stored.version > after], after, revision)

    def _advance(self, kind: Kind, revision: int) -> None:
        self.read_to[kind] = max(self.read_to[kind], revision)
        if kind is Kind.SERVER and self.deferred:
            # Other hosts take a copy at its word, and would not learn of the removals.
            return
        self.copy.advance(kind, self.read_to[kind])

    async def _settle_in_time(self) -> None:
        # Whether or not this host still follows the store by then.
        while True:
            await asyncio.sleep(IDLE_S)
            self._settle()

    def _settle(self) -> None:
        now = time.monotonic()
        gone = [held.stored for held in self.deferred.values() if held.due <= now]
        if not gone:
            return
        for stored in gone:
            del self.deferred[stored.name]
        logger.info("entries stay away", extra={"servers": [stored.name for stored in gone]})
        self._apply(gone)
        if not self.deferred:
            self.copy.advance(Kind.SERVER, self.read_to[Kind.SERVER])

    def _note_answer(self) -> None:
        now = time.monotonic()
        if self.failing_since is not None:
            away_s = now - self.failing_since
            logger.info("store answers", extra={"away_s": round(away_s, 2)})
            if away_s > LAPSE_AFTER_S:
                self.returned_at = now
        self.failing_since = None
        self.is_silent = False

    def _note_failure(self, failure: Failure, kind: Kind, due: float) -> None:
        now = time.monotonic()
        expired = failure.code is ResultCode.WATCH_EXPIRED
        silent = not expired and now - due > SILENT_S
        if not expired:
            self.failed_at = now
            self.is_silent = self.is_silent or silent
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
