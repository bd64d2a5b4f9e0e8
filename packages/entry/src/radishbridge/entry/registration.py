"""Registration of this host in the store, and its answers to questions of the other hosts."""

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
    :param is_questioned: returns whether other hosts have no contact to this host and ask by its
        entry whether it still runs.
    """

    __slots__ = ("copy", "is_questioned", "is_unreadable", "make_entry", "store")

    def __init__(
        self,
        store: FleetStore,
        copy: ObjectCopy,
        make_entry: t.Callable[[], HostEntry],
        is_unreadable: t.Callable[[], bool] = lambda: False,
        is_questioned: t.Callable[[], bool] = lambda: False,
    ) -> None:
        self.is_unreadable = is_unreadable
        self.is_questioned = is_questioned
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
                if self.is_questioned():
                    await self._answer(entry)
                await asyncio.sleep(CHECK_INTERVAL_S)

    async def _answer(self, entry: HostEntry) -> None:
        stored = self.copy.objects.get((Kind.HOST, entry.peer_address))
        version = 0 if stored is None else stored.version
        failure = await self.store.replace_host(entry, version)
        outcome = "answered" if failure is None else failure.reason
        logger.info(
            "own entry is questioned", extra={"host": entry.peer_address, "outcome": outcome}
        )

    def _is_removed(self, name: str) -> bool:
        # Other hosts remove the entry of a host that was silent for long.
        stored = self.copy.objects.get((Kind.HOST, name))
        return stored is not None and stored.value is None
