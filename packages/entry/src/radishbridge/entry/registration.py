"""Keeps this host registered in the store."""

from __future__ import annotations

import asyncio
import logging
import typing as t

from radishbridge.entry.copy import ObjectCopy
from radishbridge.entry.protocol import FleetStore, HostEntry, Kind

# Pause in seconds between two tries while the store does not answer.
RETRY_S = 0.4
# Time in seconds in which the copy takes a registration over: changes bind within 2.5 s. Before
# that, a host that left and came back reads there that it is gone.
TAKEN_OVER_S = 2.5
# Pause in seconds between two looks at whether the entry is still there.
LOOK_S = 1.0

logger = logging.getLogger(__name__)


class Registration:
    """This host's entry in the store, made again where other hosts have removed it.

    :param make_entry: builds the entry by the present settings.
    """

    __slots__ = ("copy", "make_entry", "store")

    def __init__(
        self, store: FleetStore, copy: ObjectCopy, make_entry: t.Callable[[], HostEntry]
    ) -> None:
        self.store = store
        self.copy = copy
        self.make_entry = make_entry

    async def run(self) -> None:
        """Register, and again whenever the entry is gone, until cancelled."""
        while True:
            entry = self.make_entry()
            failure = await self.store.register(entry)
            if failure is not None:
                logger.info("not registered", extra={"reason": failure.reason})
                await asyncio.sleep(RETRY_S)
                continue
            logger.info("registered", extra={"host": entry.peer_address})
            await asyncio.sleep(TAKEN_OVER_S)
            while not self._is_removed(entry.peer_address):
                await asyncio.sleep(LOOK_S)

    def _is_removed(self, name: str) -> bool:
        # Hosts that have not heard this one for long remove its entry.
        held = self.copy.objects.get((Kind.HOST, name))
        return held is not None and held.value is None
