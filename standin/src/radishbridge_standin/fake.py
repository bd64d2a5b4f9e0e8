"""An in-memory object store with injectable faults that needs neither HTTP nor real time."""

from __future__ import annotations

import asyncio
import typing as t

from radishbridge.records import Failure, ResultCode
from radishbridge.store import HostList, Listing, StoredObject, WatchEvent
from radishbridge.store.http import REVISION_READ_TIMEOUT_S
from radishbridge_standin.table import ObjectTable, Write

LIST_TIMEOUT_S = 2.0


async def _no_pause() -> None:
    return


class FakeStore:
    """One host's ``ObjectStore`` over a table that several hosts may share.

    While ``disconnected`` is set, no call reaches the table.

    :param pause: awaited before each call takes effect and again before it returns.
    :param sleep: waits out ``Faults.delay_s`` for listings and watches; without it they are not
        delayed.
    """

    __slots__ = ("disconnected", "pause", "sleep", "table")

    def __init__(
        self,
        table: ObjectTable,
        pause: t.Callable[[], t.Awaitable[None]] = _no_pause,
        sleep: t.Callable[[float], t.Awaitable[None]] | None = None,
    ) -> None:
        self.table = table
        self.pause = pause
        self.sleep = sleep
        self.disconnected = False

    async def get(self, kind: str, name: str) -> StoredObject | Failure:
        """Read one object."""
        await self.pause()
        if self._is_unavailable("get"):
            return _unavailable()
        stored = self.table.objects.get((kind, name))
        await self.pause()
        if self.disconnected or self.table.faults.down:
            return _unavailable()
        return stored or Failure(ResultCode.NOT_FOUND, "no such object")

    async def list(self, kinds: t.Sequence[str]) -> Listing | Failure:
        """Read all objects of the kinds."""
        await self.pause()
        if self._is_unavailable("list" if kinds else "revision") or await self._times_out(kinds):
            return _unavailable()
        objects = [stored for (kind, _), stored in self.table.objects.items() if kind in kinds]
        listing = Listing(revision=self.table.revision, objects=objects)
        await self.pause()
        return _unavailable() if self.disconnected or self.table.faults.down else listing

    async def put(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> StoredObject | Failure:
        """Write an object if its version is the expected one.

        A write whose response is lost returns ``WRITE_UNCLEAR``.
        """
        await self.pause()
        if self._is_unavailable("put"):
            return _unavailable()
        write = Write(kind=kind, name=name, value=value, expected_version=expected_version)
        if self.table.faults.consume("lost_requests"):
            return Failure(ResultCode.WRITE_UNCLEAR, "the request was lost")
        if self.table.faults.consume("late_writes"):
            self.table.late_writes.append(write)
            return Failure(ResultCode.WRITE_UNCLEAR, "the write was delayed")
        stored = self.table.write(write)
        lost = self.table.faults.consume("lost_answers")
        await self.pause()
        if lost or self.disconnected or self.table.faults.down:
            return Failure(ResultCode.WRITE_UNCLEAR, "the response was lost")
        return stored or Failure(ResultCode.VERSION_CONFLICT, "the object has another version")

    async def watch(
        self, kinds: t.Sequence[str], after_revision: int
    ) -> t.AsyncIterator[WatchEvent | Failure]:
        """Yield events, and a heartbeat after each notification by the table."""
        if self._is_unavailable("watch") or await self._times_out(kinds):
            yield _unavailable()
            return
        watch_generation = self.table.watch_generation
        wakeup = asyncio.Event()
        self.table.wakeups[wakeup] = None
        self.table.open_watches += 1
        try:
            while not (
                self.disconnected
                or self.table.faults.down
                or watch_generation != self.table.watch_generation
            ):
                batch = self.table.read_events(after_revision, kinds)
                if batch is None:
                    yield Failure(
                        ResultCode.WATCH_EXPIRED, "the revision is no longer in the history"
                    )
                    return
                after_revision = batch.revision
                for event in batch.events:
                    yield event
                yield WatchEvent(revision=batch.revision)
                await wakeup.wait()
                wakeup.clear()
        finally:
            self.table.wakeups.pop(wakeup, None)
            self.table.open_watches -= 1
        yield Failure(ResultCode.STORE_UNAVAILABLE, "the watch ended")

    async def hosts(self) -> HostList | Failure:
        """Read the list of hosts."""
        await self.pause()
        if self._is_unavailable("hosts") and not (
            self.table.faults.hosts_up and not self.disconnected
        ):
            return _unavailable()
        return HostList(hosts=self.table.visible_hosts())

    async def _times_out(self, kinds: t.Sequence[str]) -> bool:
        delay_s = self.table.faults.delay_s
        if not delay_s or self.sleep is None:
            return False
        timeout_s = LIST_TIMEOUT_S if kinds else REVISION_READ_TIMEOUT_S
        await self.sleep(min(delay_s, timeout_s))
        return delay_s > timeout_s

    def _is_unavailable(self, call: str) -> bool:
        if self.disconnected:
            return True
        self.table.count(call)
        return self.table.faults.down or self.table.faults.refuse


def _unavailable() -> Failure:
    return Failure(ResultCode.STORE_UNAVAILABLE, "the store does not answer")
