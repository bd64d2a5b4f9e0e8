"""Keeps one process's entry in the share table up to date."""

from __future__ import annotations

import asyncio
import logging
import typing as t

import msgspec

from radishbridge.records import Failure, ResultCode
from radishbridge.shares.lease import ShareLease
from radishbridge.shares.table import (
    TABLE_KIND,
    TABLE_NAME,
    ShareTable,
    decode_table,
    encode_table,
)
from radishbridge.store import ObjectStore

CONFLICT_PAUSE_S = 0.02
NON_HOLDER_PAUSE_S = 5.0
LEAVE_ATTEMPTS = 5
STARTING_S = 10.0
STARTING_PAUSE_S = 0.1

logger = logging.getLogger(__name__)


class VersionedTable(msgspec.Struct, frozen=True):
    """A table and the store version at which it was read; 0 where there is none yet."""

    table: ShareTable
    version: int


class ShareMembership:
    """Renews a lease by conditional updates of the table.

    :param clock: monotonic clock in seconds.
    :param lent_units: returns the units lent to others, which must not be given up yet.
    """

    __slots__ = ("clock", "lease", "lent_units", "store")

    def __init__(
        self,
        store: ObjectStore,
        lease: ShareLease,
        clock: t.Callable[[], float],
        lent_units: t.Callable[[float], int] = lambda now: 0,
    ) -> None:
        self.store = store
        self.lease = lease
        self.clock = clock
        self.lent_units = lent_units

    async def run(self) -> None:
        """Renew until cancelled; more often at first, so that a start is served soon."""
        started_at = self.clock()
        while True:
            pause_s = await self.renew_once()
            if self.clock() - started_at < STARTING_S:
                pause_s = min(pause_s, STARTING_PAUSE_S)
            await asyncio.sleep(pause_s)

    async def renew_once(self) -> float:
        """Read the table, then renew where no promise forbids it.

        :return: seconds to wait before the next step.
        """
        read = await self._read()
        if isinstance(read, Failure):
            return self.lease.times.renew_s
        now = self.clock()
        if now < self.lease.promised_until:
            return min(self.lease.promised_until - now, self.lease.times.renew_s)
        planned = self.lease.plan(now, self.lent_units(now))
        if planned is None:
            return NON_HOLDER_PAUSE_S
        failure = await self._write(planned, read.version)
        if failure is not None and failure.code is ResultCode.VERSION_CONFLICT:
            return CONFLICT_PAUSE_S
        return self.lease.times.renew_s

    async def leave(self) -> Failure | None:
        """Give the units back; the caller has seen to it that none are lent out.

        :return: ``None`` where the table no longer holds this process.
        """
        failure: Failure | None = None
        for _ in range(LEAVE_ATTEMPTS):
            read = await self._read()
            if isinstance(read, Failure):
                return read
            if read.table.find(self.lease.key) is None:
                return None
            now = self.clock()
            if now < self.lease.promised_until:
                return Failure(ResultCode.STORE_UNAVAILABLE, "a promise forbids to leave yet")
            failure = await self._write(self.lease.plan_leave(now), read.version)
            if failure is None:
                return None
        return failure

    async def _read(self) -> VersionedTable | Failure:
        sent_at = self.clock()
        stored = await self.store.get(TABLE_KIND, TABLE_NAME)
        if isinstance(stored, Failure) and stored.code is ResultCode.NOT_FOUND:
            read = VersionedTable(ShareTable(), 0)
        elif isinstance(stored, Failure):
            self.lease.miss()
            return stored
        else:
            table = decode_table(bytes(stored.value))
            if isinstance(table, Failure):
                logger.error("share table kept as it is: %s", table.reason)
                return table
            read = VersionedTable(table, stored.version)
        now = self.clock()
        self.lease.observe(read.table, sent_at, now)
        self.lease.confirm(read.table, now)
        return read

    async def _write(self, table: ShareTable, version: int) -> Failure | None:
        stored = await self.store.put(TABLE_KIND, TABLE_NAME, encode_table(table), version)
        if not isinstance(stored, Failure):
            self.lease.confirm(table, self.clock())
            return None
        if stored.code is ResultCode.VERSION_CONFLICT:
            return stored
        self.lease.miss()
        if stored.code is ResultCode.WRITE_UNCLEAR:
            await self._read()
        return stored
