"""An in-memory mesh of hosts with injectable loss, duplication, reordering and partitions."""

from __future__ import annotations

import random
import typing as t

import msgspec

from radishbridge.peers import RELAYS_PER_DATA_CENTER, Handler, Peer, PeerMessage, rank


class PendingMessage(msgspec.Struct, kw_only=True):
    """A message that has not been delivered yet."""

    sender: str
    receiver: str
    message: PeerMessage


class MeshFaults(msgspec.Struct, kw_only=True):
    """Faults that a test injects.

    :param loss: probability that a message is lost.
    :param duplication: probability that a message arrives twice.
    :param reorder: pending messages are delivered in random order.
    """

    loss: float = 0.0
    duplication: float = 0.0
    reorder: bool = False


class FakeNetwork:
    """Connects the meshes of several hosts; messages are pending until ``deliver`` is called.

    Hosts in ``hung_hosts`` count as live but neither send nor receive. With ``sparse``, hosts see
    those of their own data centre, and the two relays of each data centre also see the relays of
    the others.

    :param encode: messages are encoded and decoded, which checks their wire format and counts
        their bytes.
    """

    __slots__ = (
        "bytes_sent",
        "cut_links",
        "encode",
        "faults",
        "hung_hosts",
        "meshes",
        "messages_sent",
        "peers_by_data_center",
        "pending",
        "randomness",
        "relay_names",
        "sparse",
    )

    def __init__(self, randomness: random.Random, encode: bool = True) -> None:
        self.randomness = randomness
        self.encode = encode
        self.faults = MeshFaults()
        self.meshes: dict[str, FakeMesh] = {}
        self.peers_by_data_center: dict[str, dict[str, Peer]] = {}
        self.relay_names: dict[str, list[str]] = {}
        self.cut_links: set[frozenset[str]] = set()
        self.hung_hosts: set[str] = set()
        self.sparse = False
        self.pending: list[PendingMessage] = []
        self.messages_sent: dict[str, int] = {}
        self.bytes_sent: dict[str, int] = {}

    def join(self, host: str, region: str, data_center: str) -> FakeMesh:
        """Add a host; one of the same name is replaced, as by a restart."""
        mesh = FakeMesh(self, Peer(host, region, data_center))
        self.meshes[host] = mesh
        self.peers_by_data_center.setdefault(data_center, {})[host] = mesh.peer
        self.relay_names.clear()
        self.pending = [
            queued for queued in self.pending if host not in (queued.sender, queued.receiver)
        ]
        return mesh

    def leave(self, host: str) -> None:
        """Remove a host without notice, as a crash does."""
        peer = self.meshes.pop(host).peer
        del self.peers_by_data_center[peer.data_center][host]
        self.relay_names.clear()

    def partition(self, hosts: t.Collection[str]) -> None:
        """Cut the links between some hosts and all others."""
        outside = self.meshes.keys() - set(hosts)
        self.cut_links |= {frozenset((host, other)) for host in hosts for other in outside}

    def heal(self) -> None:
        """Restore all cut links."""
        self.cut_links.clear()

    def is_connected(self, one: str, other: str) -> bool:
        """Return whether two hosts can exchange messages."""
        return other in self.meshes and frozenset((one, other)) not in self.cut_links

    def visible_to(self, peer: Peer) -> list[Peer]:
        """Return the peers that a host is connected to."""
        if not self.sparse:
            return [mesh.peer for mesh in self.meshes.values()]
        near = self.peers_by_data_center[peer.data_center]
        if peer.name not in self._choose_relays(peer.data_center):
            return list(near.values())
        far = (
            peers[name]
            for data_center, peers in self.peers_by_data_center.items()
            if data_center != peer.data_center
            for name in self._choose_relays(data_center)
        )
        return [*near.values(), *far]

    def _choose_relays(self, data_center: str) -> list[str]:
        if data_center not in self.relay_names:
            self.relay_names[data_center] = rank(
                data_center, self.peers_by_data_center[data_center]
            )[:RELAYS_PER_DATA_CENTER]
        return self.relay_names[data_center]

    def send(self, queued: PendingMessage) -> None:
        """Queue a message, which may be lost or duplicated."""
        size = len(msgspec.msgpack.encode(queued.message)) if self.encode else 0
        self.messages_sent[queued.sender] = self.messages_sent.get(queued.sender, 0) + 1
        self.bytes_sent[queued.sender] = self.bytes_sent.get(queued.sender, 0) + size
        if self.randomness.random() < self.faults.loss:
            return
        copies = 2 if self.randomness.random() < self.faults.duplication else 1
        self.pending += [queued] * copies

    def deliver(self) -> None:
        """Deliver messages until none is pending."""
        while self.pending:
            batch, self.pending = self.pending, []
            if self.faults.reorder:
                self.randomness.shuffle(batch)
            for queued in batch:
                self._deliver(queued)

    def _deliver(self, queued: PendingMessage) -> None:
        if queued.sender not in self.meshes or not self.is_connected(
            queued.sender, queued.receiver
        ):
            return
        if self.hung_hosts & {queued.sender, queued.receiver}:
            return
        message = queued.message
        if self.encode:
            message = msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=PeerMessage)
        receiver = self.meshes[queued.receiver]
        for handler in receiver.handlers.get(type(message), []):
            handler(self.meshes[queued.sender].peer, message)


class FakeMesh:
    """One host's ``PeerMesh`` in a fake network."""

    __slots__ = ("handlers", "network", "peer")

    def __init__(self, network: FakeNetwork, peer: Peer) -> None:
        self.network = network
        self.peer = peer
        self.handlers: dict[type[PeerMessage], list[Handler]] = {}

    def send(self, host: str, message: PeerMessage) -> bool:
        """Send a message; return ``False`` if there is no such host."""
        if host not in self.network.meshes or host == self.peer.name:
            return False
        queued = PendingMessage(sender=self.peer.name, receiver=host, message=message)
        self.network.send(queued)
        return True

    def subscribe(self, message_type: type[PeerMessage], handler: Handler) -> None:
        """Call a handler for each message of a type."""
        self.handlers.setdefault(message_type, []).append(handler)

    def live(self) -> list[Peer]:
        """Return the other hosts that this one can reach."""
        return [
            peer
            for peer in self.network.visible_to(self.peer)
            if peer.name != self.peer.name and self.network.is_connected(self.peer.name, peer.name)
        ]
