"""Keeps this process's entry in the share table renewed."""

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

CONFLICT_RETRY_DELAY_S = 0.02
FULL_TABLE_RETRY_DELAY_S = 5.0
MAX_LEAVE_ATTEMPTS = 5
STARTUP_PERIOD_S = 10.0
STARTUP_RENEWAL_INTERVAL_S = 0.1

logger = logging.getLogger(__name__)


class VersionedTable(msgspec.Struct, frozen=True):
    """A share table and its version in the store; 0 where none is stored yet."""

    table: ShareTable
    version: int


class ShareMembership:
    """Renews a lease by conditional writes of the share table.

    :param clock: monotonic clock in seconds.
    :param lent_units: returns the units lent to other hosts, which can't be given up yet.
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
        """Renew until cancelled; more often at first, so that a new host soon gets units."""
        started_at = self.clock()
        while True:
            delay_s = await self.renew_once()
            if self.clock() - started_at < STARTUP_PERIOD_S:
                delay_s = min(delay_s, STARTUP_RENEWAL_INTERVAL_S)
            await asyncio.sleep(delay_s)

    async def renew_once(self) -> float:
        """Read the table, then renew the entry unless a promise forbids writing.

        :return: seconds to wait before the next renewal.
        """
        read = await self._read_table()
        if isinstance(read, Failure):
            return self.lease.times.renewal_interval_s
        now = self.clock()
        if now < self.lease.no_writes_until:
            return min(self.lease.no_writes_until - now, self.lease.times.renewal_interval_s)
        planned = self.lease.plan_renewal(now, self.lent_units(now))
        if planned is None:
            return FULL_TABLE_RETRY_DELAY_S
        failure = await self._write_table(planned, read.version)
        if failure is not None and failure.code is ResultCode.VERSION_CONFLICT:
            return CONFLICT_RETRY_DELAY_S
        return self.lease.times.renewal_interval_s

    async def leave(self) -> Failure | None:
        """Remove this process from the table; the caller makes sure that no units are lent out.

        :return: ``None`` if the table no longer has an entry of this process.
        """
        failure: Failure | None = None
        for _ in range(MAX_LEAVE_ATTEMPTS):
            read = await self._read_table()
            if isinstance(read, Failure):
                return read
            if read.table.find(self.lease.key) is None:
                return None
            now = self.clock()
            if now < self.lease.no_writes_until:
                return Failure(
                    ResultCode.STORE_UNAVAILABLE,
                    "a promise not to write the share table is still in force",
                )
            failure = await self._write_table(self.lease.plan_removal(now), read.version)
            if failure is None:
                return None
        return failure

    async def _read_table(self) -> VersionedTable | Failure:
        sent_at = self.clock()
        stored = await self.store.get(TABLE_KIND, TABLE_NAME)
        if isinstance(stored, Failure) and stored.code is ResultCode.NOT_FOUND:
            read = VersionedTable(ShareTable(), 0)
        elif isinstance(stored, Failure):
            self.lease.record_store_failure()
            return stored
        else:
            table = decode_table(bytes(stored.value))
            if isinstance(table, Failure):
                logger.error("stored share table is invalid; not overwriting it: %s", table.reason)
                return table
            read = VersionedTable(table, stored.version)
        now = self.clock()
        self.lease.observe(read.table, sent_at, now)
        self.lease.confirm_renewal(read.table, now)
        return read

    async def _write_table(self, table: ShareTable, version: int) -> Failure | None:
        stored = await self.store.put(TABLE_KIND, TABLE_NAME, encode_table(table), version)
        if not isinstance(stored, Failure):
            self.lease.confirm_renewal(table, self.clock())
            return None
        if stored.code is ResultCode.VERSION_CONFLICT:
            return stored
        self.lease.record_store_failure()
        if stored.code is ResultCode.WRITE_UNCLEAR:
            await self._read_table()
        return stored
