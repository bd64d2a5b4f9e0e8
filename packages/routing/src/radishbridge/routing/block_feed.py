"""Keeps a table of client blocks up to date without blocking the event loop."""

from __future__ import annotations

import asyncio
import logging

from radishbridge.records import ClientBlocks, Failure, Record
from radishbridge.routing.blocks import BlockTable, unpack_blocks

logger = logging.getLogger(__name__)


class BlockFeed:
    """Applies changed records of client blocks, unpacking them one at a time in a worker thread.

    :param table: the table to keep up to date.
    """

    __slots__ = ("pending", "rejected", "table", "unpacking", "wakeup")

    def __init__(self, table: BlockTable) -> None:
        self.table = table
        self.pending: dict[str, ClientBlocks | None] = {}
        self.rejected: dict[str, Failure] = {}
        self.unpacking = False
        self.wakeup = asyncio.Event()

    @property
    def is_current(self) -> bool:
        """Whether every record received so far has been applied or rejected."""
        return not self.pending and not self.unpacking

    def update(self, record: Record) -> None:
        """Queue a changed record of client blocks; a replica listener, other kinds are ignored."""
        if record.kind != "client-blocks":
            return
        # Only the latest change of a record matters, so it replaces a pending one.
        self.pending[record.name] = record.body if isinstance(record.body, ClientBlocks) else None
        self.wakeup.set()

    async def run(self) -> None:
        """Apply changes until cancelled."""
        while True:
            await self.wakeup.wait()
            self.wakeup.clear()
            while self.pending:
                name, body = self.pending.popitem()
                self.unpacking = True
                await self._load(name, body)
                self.unpacking = False

    async def _load(self, name: str, body: ClientBlocks | None) -> None:
        blocks = None if body is None else await asyncio.to_thread(unpack_blocks, body)
        if isinstance(blocks, Failure):
            self.rejected[name] = blocks
            logger.warning("client-blocks/%s rejected: %s", name, blocks.reason)
            return
        self.rejected.pop(name, None)
        self.table.replace(name, blocks)
