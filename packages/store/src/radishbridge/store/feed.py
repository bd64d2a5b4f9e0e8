"""Keeps a replica up to date from the store: a listing, a watch and regular revision reads."""

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

REVISION_READ_INTERVAL_S = 1.0
MAX_CONCURRENT_REVISION_READS = 5
REGRESSION_PAUSE_S = 5.0
EXPIRED_WATCH_MAX_DELAY_S = 4.0
OBJECTS_BEFORE_YIELD = 100

logger = logging.getLogger(__name__)

Sleep = t.Callable[[float], t.Awaitable[object]]


class StoreContact(msgspec.Struct, kw_only=True):
    """Whether the store answered this host's last calls.

    :param store_answers: ``False`` if a read of the revision failed and no watch has delivered
        anything since it was sent; ``None`` before the first call.
    :param observed_at: monotonic time of that observation, in seconds.
    """

    store_answers: bool | None = None
    observed_at: float = float("-inf")


class ReplicaFeed:
    """Follows the store with a listing and a watch, which it repeats after each failure.

    :param object_listener: called with each object that changed the replica, except those of the
        first listing.
    :param failure_listener: awaited after each read of the revision that shows the store as down.
    """

    __slots__ = (
        "backoff",
        "contact",
        "failure_listener",
        "must_load",
        "object_listener",
        "randomness",
        "reads_in_flight",
        "replica",
        "sleep",
        "store",
    )

    def __init__(
        self,
        store: ObjectStore,
        replica: Replica,
        randomness: random.Random | None = None,
        object_listener: t.Callable[[StoredObject], None] | None = None,
        failure_listener: t.Callable[[], t.Awaitable[None]] | None = None,
        backoff: Backoff = Backoff(initial_s=0.2, max_s=2.0),
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        self.store = store
        self.replica = replica
        self.randomness = randomness or random.Random()
        self.object_listener = object_listener
        self.failure_listener = failure_listener
        self.backoff = backoff
        self.sleep = sleep
        self.contact = StoreContact()
        self.must_load = False
        self.reads_in_flight = 0

    async def run(self) -> None:
        """Run until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_forever())
            group.create_task(self._read_revision_forever())

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
            # The regular reads of the revision detect when the store answers again.
            while self.contact.store_answers is False:
                await self.sleep(self.backoff.initial_s)

    async def _wait_for_peers(self) -> None:
        # After a long outage the watches of all relays expire at once. A relay that gets the
        # changes from another host during the delay needs no listing.
        revision = self.replica.revision
        await self.sleep(EXPIRED_WATCH_MAX_DELAY_S * self.randomness.random())
        self.must_load = self.replica.revision == revision

    async def _read_revision_forever(self) -> None:
        # While the replica is incomplete, the first listing proves its freshness.
        if self.replica.complete:
            await self.read_revision()
        async with asyncio.TaskGroup() as group:
            while True:
                await self.sleep(REVISION_READ_INTERVAL_S * self.randomness.uniform(0.9, 1.1))
                # Reads overlap, so that a slow store still proves the replica fresh.
                if self.reads_in_flight < MAX_CONCURRENT_REVISION_READS:
                    group.create_task(self.read_revision())

    async def follow(self) -> Failure:
        """Load all objects if needed, then apply the events of a watch until it fails.

        :return: why the watch or the listing failed.
        """
        if self.must_load or not self.replica.complete:
            failure = await self.load()
            if failure is not None:
                return failure
        watch = self.store.watch(list(KINDS), self.replica.revision)
        async with contextlib.aclosing(t.cast(t.AsyncGenerator[t.Any, None], watch)):
            async for event in watch:
                if isinstance(event, Failure):
                    return event
                self._record_contact(True)
                if event.object is not None:
                    self._apply(event.object)
                else:
                    self.replica.advance(event.revision)
                regression = self.replica.regression_failure()
                if regression is not None:
                    return regression
        return Failure(ResultCode.STORE_UNAVAILABLE, "the watch ended")

    async def load(self) -> Failure | None:
        """Read and apply all objects, and report those that the store shows at older versions.

        :return: why the listing can't be used, or ``None``.
        """
        replica = self.replica
        known_revision = replica.revision
        known_versions = {
            key: known.version for key, known in replica.objects.items() if key[0] in KINDS
        }
        sent_at = replica.clock()
        listing = await self.store.list(list(KINDS))
        if isinstance(listing, Failure):
            return listing
        self._record_contact(True)
        # The first listing isn't sent to other hosts: they have their own copies, or find what
        # they lack by comparing digests.
        is_update = replica.complete
        for number, stored in enumerate(listing.objects):
            if is_update:
                self._apply(stored)
            else:
                replica.apply(stored)
            if number % OBJECTS_BEFORE_YIELD == 0:
                await asyncio.sleep(0)
        replica.compare_listing(listing, known_versions)
        replica.record_store_read(listing.revision, sent_at, known_revision)
        regression = replica.regression_failure()
        if regression is not None:
            return regression
        replica.advance(listing.revision)
        replica.complete = True
        self.must_load = False
        return None

    async def read_revision(self) -> None:
        """Read the store's revision, which proves the replica fresh once it holds that revision."""
        known_revision = self.replica.revision
        sent_at = self.replica.clock()
        self.reads_in_flight += 1
        try:
            listing = await self.store.list([])
        finally:
            self.reads_in_flight -= 1
        if not isinstance(listing, Failure):
            self._record_contact(True)
            self.replica.record_store_read(listing.revision, sent_at, known_revision)
        elif self.contact.store_answers is not True or self.contact.observed_at <= sent_at:
            # The watch has delivered nothing either, so the store is not merely slow.
            self._record_contact(False)
            if self.failure_listener is not None:
                await self.failure_listener()

    def _apply(self, stored: StoredObject) -> None:
        if self.replica.apply(stored) and self.object_listener is not None:
            self.object_listener(stored)

    def _record_contact(self, store_answers: bool) -> None:
        self.contact = StoreContact(store_answers=store_answers, observed_at=self.replica.clock())
