"""Registration of this host in the store."""

from __future__ import annotations

import asyncio
import logging
import typing as t

from radishbridge.entry.copy import ObjectCopy
from radishbridge.entry.protocol import FleetStore, HostEntry, Kind

# Pause in seconds between two attempts while the store does not answer.
REGISTER_RETRY_S = 0.4
# Time in seconds within which a registration reaches the copy: changes take effect within 2.5 s.
# Until then the copy of a host that left and came back may still show its entry as deleted.
PROPAGATION_S = 2.5
# Pause in seconds between two checks that the entry still exists.
CHECK_INTERVAL_S = 1.0

logger = logging.getLogger(__name__)


class Registration:
    """Registers this host, and again whenever other hosts have removed its entry.

    :param make_entry: builds the entry from the current settings.
    :param is_unreadable: returns whether this host's entry in the store cannot be decoded, which
        means that it was written by someone else.
    """

    __slots__ = ("copy", "is_unreadable", "make_entry", "store")

    def __init__(
        self,
        store: FleetStore,
        copy: ObjectCopy,
        make_entry: t.Callable[[], HostEntry],
        is_unreadable: t.Callable[[], bool] = lambda: False,
    ) -> None:
        self.is_unreadable = is_unreadable
        self.store = store
        self.copy = copy
        self.make_entry = make_entry

    async def run(self) -> None:
        """Keep this host registered until cancelled."""
        while True:
            entry = self.make_entry()
            failure = await self.store.register(entry)
            if failure is not None:
                logger.info("registration failed", extra={"reason": failure.reason})
                await asyncio.sleep(REGISTER_RETRY_S)
                continue
            logger.info("registered", extra={"host": entry.peer_address})
            await asyncio.sleep(PROPAGATION_S)
            while not self._is_removed(entry.peer_address):
                if self.is_unreadable():
                    logger.warning("own entry is unreadable", extra={"host": entry.peer_address})
                    await self.store.unregister(entry.peer_address)
                    break
                await asyncio.sleep(CHECK_INTERVAL_S)

    def _is_removed(self, name: str) -> bool:
        # Other hosts remove the entry of a host that was silent for long.
        stored = self.copy.objects.get((Kind.HOST, name))
        return stored is not None and stored.value is None
