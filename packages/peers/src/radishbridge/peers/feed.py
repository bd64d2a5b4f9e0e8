"""Keeps the directory of hosts up to date with few reads of the platform's list."""

from __future__ import annotations

import asyncio
import time
import typing as t

from radishbridge.peers.mesh import ZmqMesh
from radishbridge.peers.messages import DirectoryUpdate, HostAddress, PeerMessage
from radishbridge.peers.protocol import Peer
from radishbridge.records import Failure

HOST_LIST_READ_INTERVAL_S = 2.0
MAX_UPDATE_AGE_S = 6.0

ReadHosts = t.Callable[[], t.Awaitable[list[HostAddress] | Failure]]


class DirectoryFeed:
    """Updates the mesh's directory from the platform's list or from relays.

    Relays read the list from the platform and forward it to the other hosts of their data centre.
    A host that receives no list for ``max_update_age_s`` seconds reads it from the platform.

    :param read_hosts: reads the list of hosts from the platform.
    :param read_interval_s: seconds between reads by a relay.
    """

    __slots__ = (
        "clock",
        "last_update_at",
        "max_update_age_s",
        "mesh",
        "read_hosts",
        "read_interval_s",
    )

    def __init__(
        self,
        mesh: ZmqMesh,
        read_hosts: ReadHosts,
        read_interval_s: float = HOST_LIST_READ_INTERVAL_S,
        max_update_age_s: float = MAX_UPDATE_AGE_S,
        clock: t.Callable[[], float] = time.monotonic,
    ) -> None:
        self.mesh = mesh
        self.read_hosts = read_hosts
        self.read_interval_s = read_interval_s
        self.max_update_age_s = max_update_age_s
        self.clock = clock
        self.last_update_at = float("-inf")
        mesh.subscribe(DirectoryUpdate, self.on_update)

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            if self.is_relay() or self.clock() - self.last_update_at > self.max_update_age_s:
                await self.refresh()
            await asyncio.sleep(self.read_interval_s)

    async def refresh(self) -> None:
        """Read the list once and, if this host is a relay, forward it within the data centre."""
        hosts = await self.read_hosts()
        if isinstance(hosts, Failure):
            return
        self.last_update_at = self.clock()
        self.mesh.update_directory(hosts)
        if self.is_relay():
            self._broadcast(hosts)

    def is_relay(self) -> bool:
        """Return whether this host is one of the live relays of its data centre."""
        directory = self.mesh.directory
        own = directory.hosts.get(self.mesh.host)
        if own is None:
            return False
        live = {peer.name for peer in self.mesh.live()} | {self.mesh.host}
        not_live = directory.hosts.keys() - live
        return self.mesh.host in directory.relays(own.data_center, not_live)

    def _broadcast(self, hosts: list[HostAddress]) -> None:
        directory = self.mesh.directory
        own = directory.hosts[self.mesh.host]
        update = DirectoryUpdate(hosts=hosts)
        for name, entry in directory.hosts.items():
            if entry.data_center == own.data_center and name != own.name:
                self.mesh.send(name, update)

    def on_update(self, peer: Peer, message: PeerMessage) -> None:
        """Apply a list of hosts received from a relay."""
        if isinstance(message, DirectoryUpdate):
            self.last_update_at = self.clock()
            self.mesh.update_directory(message.hosts)
