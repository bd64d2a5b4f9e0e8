"""Keeps a table of client blocks up to date without holding up the event loop."""

from __future__ import annotations

import asyncio
import logging

from radishbridge.records import ClientBlocks, Failure, Record
from radishbridge.routing.blocks import BlockTable, unpack_blocks

logger = logging.getLogger(__name__)


class BlockFeed:
    """Takes changed records of client blocks, and unpacks one after another in a worker thread.

    :param table: the table to keep up to date.
    """

    __slots__ = ("changed", "rejected", "table", "unpacking", "waiting")

    def __init__(self, table: BlockTable) -> None:
        self.table = table
        self.waiting: dict[str, ClientBlocks | None] = {}
        self.rejected: dict[str, Failure] = {}
        self.unpacking = False
        self.changed = asyncio.Event()

    @property
    def is_current(self) -> bool:
        """Whether the table holds every record that was taken."""
        return not self.waiting and not self.unpacking

    def update(self, record: Record) -> None:
        """Take a changed record of any kind; a listener of the replica."""
        if record.kind != "client-blocks":
            return
        # Of several changes of a part only the last one matters.
        self.waiting[record.name] = record.body if isinstance(record.body, ClientBlocks) else None
        self.changed.set()

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await self.changed.wait()
            self.changed.clear()
            while self.waiting:
                name, body = self.waiting.popitem()
                self.unpacking = True
                await self._load(name, body)
                self.unpacking = False

    async def _load(self, name: str, body: ClientBlocks | None) -> None:
        part = None if body is None else await asyncio.to_thread(unpack_blocks, body)
        if isinstance(part, Failure):
            self.rejected[name] = part
            logger.warning("client-blocks/%s kept aside: %s", name, part.reason)
            return
        self.rejected.pop(name, None)
        self.table.replace(name, part)
