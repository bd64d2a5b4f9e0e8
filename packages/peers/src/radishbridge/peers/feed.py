"""Keeps the directory up to date with few reads of the platform's list."""

from __future__ import annotations

import asyncio
import time
import typing as t

from radishbridge.peers.mesh import ZmqMesh
from radishbridge.peers.messages import DirectoryUpdate, HostAddress, PeerMessage
from radishbridge.peers.protocol import Peer
from radishbridge.records import Failure

READ_INTERVAL_S = 2.0
SILENCE_S = 6.0

ReadHosts = t.Callable[[], t.Awaitable[list[HostAddress] | Failure]]


class DirectoryFeed:
    """Reads the list of hosts if this host is a relay, and otherwise takes it from relays.

    A host that hears no list for ``silence_s`` seconds reads it from the platform.

    :param read: reads the platform's list.
    """

    __slots__ = ("clock", "heard_at", "interval_s", "mesh", "read", "silence_s")

    def __init__(
        self,
        mesh: ZmqMesh,
        read: ReadHosts,
        interval_s: float = READ_INTERVAL_S,
        silence_s: float = SILENCE_S,
        clock: t.Callable[[], float] = time.monotonic,
    ) -> None:
        self.mesh = mesh
        self.read = read
        self.interval_s = interval_s
        self.silence_s = silence_s
        self.clock = clock
        self.heard_at = float("-inf")
        mesh.subscribe(DirectoryUpdate, self.take_update)

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            if self.is_relay() or self.clock() - self.heard_at > self.silence_s:
                await self.refresh()
            await asyncio.sleep(self.interval_s)

    async def refresh(self) -> None:
        """Read the list once, and pass a changed one on if this host is a relay."""
        hosts = await self.read()
        if isinstance(hosts, Failure):
            return
        self.heard_at = self.clock()
        self.mesh.update_directory(hosts)
        if self.is_relay():
            self._pass_on(hosts)

    def is_relay(self) -> bool:
        """Return whether this host relays for its data centre."""
        directory = self.mesh.directory
        own = directory.hosts.get(self.mesh.host)
        if own is None:
            return False
        live = {peer.name for peer in self.mesh.live()} | {self.mesh.host}
        silent = directory.hosts.keys() - live
        return self.mesh.host in directory.relays(own.data_center, silent)

    def _pass_on(self, hosts: list[HostAddress]) -> None:
        directory = self.mesh.directory
        own = directory.hosts[self.mesh.host]
        update = DirectoryUpdate(hosts=hosts)
        for name, entry in directory.hosts.items():
            if entry.data_center == own.data_center and name != own.name:
                self.mesh.send(name, update)

    def take_update(self, peer: Peer, message: PeerMessage) -> None:
        """Take over a list that a relay has sent."""
        if isinstance(message, DirectoryUpdate):
            self.heard_at = self.clock()
            self.mesh.update_directory(message.hosts)
