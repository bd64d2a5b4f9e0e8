"""Keeps a replica up to date from the store: a listing, a watch and regular proofs."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import typing as t

import msgspec

from radishbridge.records import KINDS, Failure, ResultCode
from radishbridge.store.backoff import Backoff
from radishbridge.store.protocol import ObjectStore, StoredObject
from radishbridge.store.replica import Replica

PROOF_INTERVAL_S = 1.0
PROOFS_AT_ONCE = 5
REGRESSION_PAUSE_S = 5.0
EXPIRED_SPREAD_S = 4.0
APPLIED_AT_ONCE = 100

logger = logging.getLogger(__name__)

Sleep = t.Callable[[float], t.Awaitable[object]]


class StoreContact(msgspec.Struct, kw_only=True):
    """What this host last heard of the store.

    :param answers: ``False`` where a read of the revision failed and no watch delivered anything
        since it was sent; ``None`` before the first call.
    :param at: monotonic time at which that was known, in seconds.
    """

    answers: bool | None = None
    at: float = float("-inf")


class ReplicaFeed:
    """Follows the store as long as it runs: one listing, then a watch, again and again.

    :param taken: called with each object that was new to the replica.
    :param failed: awaited after each proof that the store did not answer.
    """

    __slots__ = (
        "backoff",
        "contact",
        "failed",
        "must_load",
        "proving",
        "randomness",
        "replica",
        "sleep",
        "store",
        "taken",
    )

    def __init__(
        self,
        store: ObjectStore,
        replica: Replica,
        randomness: random.Random | None = None,
        taken: t.Callable[[StoredObject], None] | None = None,
        failed: t.Callable[[], t.Awaitable[None]] | None = None,
        backoff: Backoff = Backoff(initial_s=0.2, max_s=2.0),
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        self.store = store
        self.replica = replica
        self.randomness = randomness or random.Random()
        self.taken = taken
        self.failed = failed
        self.backoff = backoff
        self.sleep = sleep
        self.contact = StoreContact()
        self.must_load = False
        self.proving = 0

    async def run(self) -> None:
        """Run until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_forever())
            group.create_task(self._prove_forever())

    async def _follow_forever(self) -> None:
        attempt = 0
        while True:
            revision = self.replica.revision
            failure = await self.follow()
            logger.info("configuration feed interrupted: %s", failure.reason)
            if failure.code is ResultCode.WATCH_EXPIRED:
                await self._wait_for_peers()
            if self.replica.regression:
                self.must_load = True
                await self.sleep(REGRESSION_PAUSE_S)
            attempt = 0 if self.replica.revision > revision else attempt + 1
            await self.sleep(self.backoff.delay_s(attempt, self.randomness))
            # The regular proofs find out when the store answers again.
            while self.contact.answers is False:
                await self.sleep(self.backoff.initial_s)

    async def _wait_for_peers(self) -> None:
        # After a long outage every relay's watch has expired at once. One that gets its copy from
        # another host in the meantime needs no listing.
        revision = self.replica.revision
        await self.sleep(EXPIRED_SPREAD_S * self.randomness.random())
        self.must_load = self.replica.revision == revision

    async def _prove_forever(self) -> None:
        # A first listing is a proof by itself.
        if self.replica.complete:
            await self.prove()
        async with asyncio.TaskGroup() as group:
            while True:
                await self.sleep(PROOF_INTERVAL_S * self.randomness.uniform(0.9, 1.1))
                # Reads overlap, so that a slow store still proves the copy fresh.
                if self.proving < PROOFS_AT_ONCE:
                    group.create_task(self.prove())

    async def follow(self) -> Failure:
        """Load the copy if need be, then apply the watch until it fails."""
        if self.must_load or not self.replica.complete:
            failure = await self.load()
            if failure is not None:
                return failure
        watch = self.store.watch(list(KINDS), self.replica.revision)
        async with contextlib.aclosing(t.cast(t.AsyncGenerator[t.Any, None], watch)):
            async for event in watch:
                if isinstance(event, Failure):
                    return event
                self._note_contact(True)
                if event.object is not None:
                    self._apply(event.object)
                else:
                    self.replica.advance(event.revision)
                regressed = self.replica.regressed()
                if regressed is not None:
                    return regressed
        return Failure(ResultCode.STORE_UNAVAILABLE, "the watch ended")

    async def load(self) -> Failure | None:
        """Read and apply all objects; report what the store shows older than it is held."""
        replica = self.replica
        known_revision = replica.revision
        known = {at: one.version for at, one in replica.objects.items() if at[0] in KINDS}
        sent_at = replica.clock()
        listing = await self.store.list(list(KINDS))
        if isinstance(listing, Failure):
            return listing
        self._note_contact(True)
        # A first copy is not passed on: the others have theirs, or digests show what they miss.
        changes = replica.complete
        for number, stored in enumerate(listing.objects):
            if changes:
                self._apply(stored)
            else:
                replica.apply(stored)
            if number % APPLIED_AT_ONCE == 0:
                await asyncio.sleep(0)
        replica.compare(listing, known)
        replica.record_store_read(listing.revision, sent_at, known_revision)
        regressed = replica.regressed()
        if regressed is not None:
            return regressed
        replica.advance(listing.revision)
        replica.complete = True
        self.must_load = False
        return None

    async def prove(self) -> None:
        """Read the store's revision, which proves the copy fresh once it is reached."""
        known_revision = self.replica.revision
        sent_at = self.replica.clock()
        self.proving += 1
        try:
            listing = await self.store.list([])
        finally:
            self.proving -= 1
        if not isinstance(listing, Failure):
            self._note_contact(True)
            self.replica.record_store_read(listing.revision, sent_at, known_revision)
        elif self.contact.answers is not True or self.contact.at <= sent_at:
            # Nothing came on the watch either: the store is not just slow.
            self._note_contact(False)
            if self.failed is not None:
                await self.failed()

    def _apply(self, stored: StoredObject) -> None:
        if self.replica.apply(stored) and self.taken is not None:
            self.taken(stored)

    def _note_contact(self, answers: bool) -> None:
        self.contact = StoreContact(answers=answers, at=self.replica.clock())
