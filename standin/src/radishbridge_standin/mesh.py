"""A mesh of hosts in memory that loses, doubles, reorders and cuts off messages on request."""

from __future__ import annotations

import random
import typing as t

import msgspec

from radishbridge.peers import RELAYS_PER_DATA_CENTER, Handler, Peer, PeerMessage, rank


class Delivery(msgspec.Struct, kw_only=True):
    """A message on its way."""

    sender: str
    receiver: str
    message: PeerMessage


class MeshFaults(msgspec.Struct, kw_only=True):
    """Faults that a test asks for.

    :param loss: probability that a message is lost.
    :param doubling: probability that a message comes twice.
    :param reorder: messages come in random order.
    """

    loss: float = 0.0
    doubling: float = 0.0
    reorder: bool = False


class FakeNetwork:
    """Connects the meshes of several hosts; messages wait until they are delivered.

    Hosts in ``hung`` count as alive but neither send nor receive. With ``sparse``, hosts see those
    of their own data centre, and the two relays of each data centre those of the others.

    :param encode: each message goes through its wire form, which counts its bytes.
    """

    __slots__ = (
        "bytes_sent",
        "centers",
        "cuts",
        "encode",
        "faults",
        "hung",
        "meshes",
        "randomness",
        "relays",
        "sent",
        "sparse",
        "waiting",
    )

    def __init__(self, randomness: random.Random, encode: bool = True) -> None:
        self.randomness = randomness
        self.encode = encode
        self.faults = MeshFaults()
        self.meshes: dict[str, FakeMesh] = {}
        self.centers: dict[str, dict[str, Peer]] = {}
        self.relays: dict[str, list[str]] = {}
        self.cuts: set[frozenset[str]] = set()
        self.hung: set[str] = set()
        self.sparse = False
        self.waiting: list[Delivery] = []
        self.sent: dict[str, int] = {}
        self.bytes_sent: dict[str, int] = {}

    def join(self, host: str, region: str, data_center: str) -> FakeMesh:
        """Add a host, or replace the one of that name by a newly started one."""
        mesh = FakeMesh(self, Peer(host, region, data_center))
        self.meshes[host] = mesh
        self.centers.setdefault(data_center, {})[host] = mesh.peer
        self.relays.clear()
        self.waiting = [one for one in self.waiting if host not in (one.sender, one.receiver)]
        return mesh

    def leave(self, host: str) -> None:
        """Remove a host at once, as a crash does."""
        peer = self.meshes.pop(host).peer
        del self.centers[peer.data_center][host]
        self.relays.clear()

    def cut(self, side: t.Collection[str]) -> None:
        """Cut the hosts of one side off from all others."""
        others = self.meshes.keys() - set(side)
        self.cuts |= {frozenset((one, other)) for one in side for other in others}

    def heal(self) -> None:
        """End all cuts."""
        self.cuts.clear()

    def connected(self, one: str, other: str) -> bool:
        """Return whether messages pass between two hosts."""
        return other in self.meshes and frozenset((one, other)) not in self.cuts

    def visible_to(self, peer: Peer) -> list[Peer]:
        """Return the peers that a host keeps connections with."""
        if not self.sparse:
            return [mesh.peer for mesh in self.meshes.values()]
        near = self.centers[peer.data_center]
        if peer.name not in self._relays(peer.data_center):
            return list(near.values())
        far = (
            peers[name]
            for center, peers in self.centers.items()
            if center != peer.data_center
            for name in self._relays(center)
        )
        return [*near.values(), *far]

    def _relays(self, center: str) -> list[str]:
        if center not in self.relays:
            self.relays[center] = rank(center, self.centers[center])[:RELAYS_PER_DATA_CENTER]
        return self.relays[center]

    def send(self, delivery: Delivery) -> None:
        """Take a message on its way."""
        size = len(msgspec.msgpack.encode(delivery.message)) if self.encode else 0
        self.sent[delivery.sender] = self.sent.get(delivery.sender, 0) + 1
        self.bytes_sent[delivery.sender] = self.bytes_sent.get(delivery.sender, 0) + size
        if self.randomness.random() < self.faults.loss:
            return
        copies = 2 if self.randomness.random() < self.faults.doubling else 1
        self.waiting += [delivery] * copies

    def deliver(self) -> None:
        """Deliver until no message waits."""
        while self.waiting:
            batch, self.waiting = self.waiting, []
            if self.faults.reorder:
                self.randomness.shuffle(batch)
            for delivery in batch:
                self._deliver(delivery)

    def _deliver(self, delivery: Delivery) -> None:
        if delivery.sender not in self.meshes or not self.connected(
            delivery.sender, delivery.receiver
        ):
            return
        if self.hung & {delivery.sender, delivery.receiver}:
            return
        message = delivery.message
        if self.encode:
            message = msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=PeerMessage)
        receiver = self.meshes[delivery.receiver]
        for handler in receiver.handlers.get(type(message), []):
            handler(self.meshes[delivery.sender].peer, message)


class FakeMesh:
    """One host's ``PeerMesh`` in a fake network."""

    __slots__ = ("handlers", "network", "peer")

    def __init__(self, network: FakeNetwork, peer: Peer) -> None:
        self.network = network
        self.peer = peer
        self.handlers: dict[type[PeerMessage], list[Handler]] = {}

    def send(self, host: str, message: PeerMessage) -> bool:
        """Take a message on its way; ``False`` where there is no such host."""
        if host not in self.network.meshes or host == self.peer.name:
            return False
        delivery = Delivery(sender=self.peer.name, receiver=host, message=message)
        self.network.send(delivery)
        return True

    def subscribe(self, message_type: type[PeerMessage], handler: Handler) -> None:
        """Call a handler for each message of a type."""
        self.handlers.setdefault(message_type, []).append(handler)

    def live(self) -> list[Peer]:
        """Return the other hosts that messages pass to."""
        return [
            peer
            for peer in self.network.visible_to(self.peer)
            if peer.name != self.peer.name and self.network.connected(self.peer.name, peer.name)
        ]
