"""Each host's copy of the configuration, which only moves forward."""

from __future__ import annotations

import asyncio
import logging
import time
import typing as t

from radishbridge.records import KINDS, Failure, Record, RecordBody, ResultCode, decode_record
from radishbridge.store.protocol import ObjectStore, StoredObject

RETRY_PAUSE_S = 0.2

logger = logging.getLogger(__name__)


class Replica:
    """All records of the configuration, each at the highest version seen.

    :param clock: monotonic clock in seconds.
    """

    __slots__ = ("clock", "complete", "fresh_at", "listeners", "records", "rejected", "revision")

    def __init__(self, clock: t.Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.records: dict[tuple[str, str], Record] = {}
        self.rejected: dict[tuple[str, str], Failure] = {}
        self.listeners: list[t.Callable[[Record], None]] = []
        self.revision = 0
        self.complete = False
        self.fresh_at = float("-inf")

    def apply(self, stored: StoredObject) -> bool:
        """Take an object in if its version is higher than the one held.

        :return: whether the replica changed.
        """
        at = (stored.kind, stored.name)
        held = self.records.get(at)
        if held is not None and held.version >= stored.version:
            return False
        record = decode_record(stored.kind, stored.name, stored.version, bytes(stored.value))
        if isinstance(record, Failure):
            self.rejected[at] = record
            logger.warning("record kept aside: %s", record.reason)
            return False
        self.rejected.pop(at, None)
        self.records[at] = record
        for listener in self.listeners:
            listener(record)
        return True

    def body(self, kind: str, name: str) -> RecordBody | None:
        """Return a record's body; ``None`` where it is missing or deleted."""
        record = self.records.get((kind, name))
        return None if record is None else record.body

    def mark_fresh(self, revision: int, read_at: float) -> None:
        """Note that the replica holds all changes up to a revision.

        :param read_at: monotonic time before the read that proves it was sent.
        """
        self.revision = max(self.revision, revision)
        self.fresh_at = max(self.fresh_at, read_at)


class ReplicaFeed:
    """Keeps a replica up to date from the store: one listing, then a watch, again and again."""

    __slots__ = ("replica", "store")

    def __init__(self, store: ObjectStore, replica: Replica) -> None:
        self.store = store
        self.replica = replica

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            failure = await self._follow()
            logger.info("configuration feed interrupted: %s", failure.reason)
            if failure.code is ResultCode.WATCH_EXPIRED:
                self.replica.revision = 0
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _follow(self) -> Failure:
        if not self.replica.complete or self.replica.revision == 0:
            failure = await self._load()
            if failure is not None:
                return failure
        async for event in self.store.watch(list(KINDS), self.replica.revision):
            if isinstance(event, Failure):
                return event
            if event.object is not None:
                self.replica.apply(event.object)
            self.replica.mark_fresh(event.revision, self.replica.clock())
        return Failure(ResultCode.STORE_UNAVAILABLE, "the watch ended")

    async def _load(self) -> Failure | None:
        read_at = self.replica.clock()
        listing = await self.store.list(list(KINDS))
        if isinstance(listing, Failure):
            return listing
        for stored in listing.objects:
            self.replica.apply(stored)
        self.replica.mark_fresh(listing.revision, read_at)
        self.replica.complete = True
        return None
