"""An in-memory store and mesh in virtual time, for tests and benchmarks."""

from __future__ import annotations

import heapq
import itertools
import random
import types
import typing as t

import msgspec

from radishbridge.peers import Handler, Peer, PeerMessage
from radishbridge.records import Failure, ResultCode
from radishbridge.store import HostList, Listing, StoredObject, WatchEvent


@types.coroutine
def _suspend() -> t.Generator[None, None, None]:
    yield


class VirtualClock:
    """A clock that its owner moves; each host's clock may have an offset and drift.

    :param offset_s: seconds added to the common time.
    :param speed: seconds on this clock for each second of the common time.
    """

    __slots__ = ("now", "offset_s", "speed")

    def __init__(self, offset_s: float = 0.0, speed: float = 1.0) -> None:
        self.now = 0.0
        self.offset_s = offset_s
        self.speed = speed

    def __call__(self) -> float:
        return self.offset_s + self.now * self.speed


class MemoryStore:
    """Objects shared by the ``StoreClient`` of each host.

    Tests clear ``checks_versions`` to accept writes whatever version they expect.
    """

    __slots__ = ("calls", "checks_versions", "objects", "revision")

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.revision = 0
        self.calls = 0
        self.checks_versions = True

    def write(self, kind: str, name: str, value: bytes, expected: int) -> StoredObject | Failure:
        """Write an object if its version is the expected one."""
        previous = self.objects.get((kind, name))
        if self.checks_versions and (previous.version if previous else 0) != expected:
            return Failure(ResultCode.VERSION_CONFLICT, f"{kind}/{name}")
        self.revision += 1
        stored = StoredObject(kind=kind, name=name, version=self.revision, value=msgspec.Raw(value))
        self.objects[kind, name] = stored
        return stored


class StoreClient:
    """One host's client of a ``MemoryStore``; each call suspends before and after its effect.

    :param reachable: calls reach the store and take effect.
    :param delivers_responses: responses reach the host.
    """

    __slots__ = ("delivers_responses", "reachable", "store")

    def __init__(self, store: MemoryStore) -> None:
        self.store = store
        self.reachable = True
        self.delivers_responses = True

    async def get(self, kind: str, name: str) -> StoredObject | Failure:
        """Read one object."""
        self.store.calls += 1
        await _suspend()
        found = self.store.objects.get((kind, name))
        reached = self.reachable
        await _suspend()
        if not (reached and self.delivers_responses):
            return Failure(ResultCode.STORE_UNAVAILABLE, "the store does not answer")
        return found or Failure(ResultCode.NOT_FOUND, f"{kind}/{name}")

    async def put(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> StoredObject | Failure:
        """Write an object if its version is the expected one.

        A write whose response is lost returns ``WRITE_UNCLEAR``.
        """
        self.store.calls += 1
        await _suspend()
        if not self.reachable:
            return Failure(ResultCode.STORE_UNAVAILABLE, "the store does not answer")
        written = self.store.write(kind, name, value, expected_version)
        await _suspend()
        return (
            written
            if self.delivers_responses
            else Failure(ResultCode.WRITE_UNCLEAR, "the response was lost")
        )

    async def list(self, kinds: t.Sequence[str]) -> Listing | Failure:
        """Read all objects of the kinds."""
        found = [stored for (kind, _), stored in self.store.objects.items() if kind in kinds]
        return Listing(revision=self.store.revision, objects=found)

    async def watch(
        self, kinds: t.Sequence[str], after_revision: int
    ) -> t.AsyncIterator[WatchEvent | Failure]:
        """Yield ``WATCH_EXPIRED``: this store has no watches."""
        yield Failure(ResultCode.WATCH_EXPIRED, "this store has no watches")

    async def hosts(self) -> HostList | Failure:
        """Return an empty list."""
        return HostList(hosts=[])


class PendingMessage(t.NamedTuple):
    """A message in transit, due at a common time in seconds; ``number`` orders equal times."""

    due: float
    number: int
    target: str
    sender: Peer
    message: PeerMessage


class MemoryNetwork:
    """Carries messages between ``MemoryMesh`` objects with loss, duplication and delay.

    ``cut_links`` holds pairs of host names between which messages are lost.

    :param random: source of randomness for the faults.
    :param delay_s: minimum delay.
    :param jitter_s: maximum of the random delay that is added; messages sent within that time
        may be reordered.
    :param loss: probability that a message is lost.
    :param duplication: probability that a message arrives twice.
    """

    __slots__ = (
        "cut_links",
        "delay_s",
        "duplication",
        "jitter_s",
        "loss",
        "meshes",
        "messages_sent",
        "now",
        "number",
        "pending",
        "random",
    )

    def __init__(
        self,
        random: random.Random,
        delay_s: float,
        jitter_s: float = 0.0,
        loss: float = 0.0,
        duplication: float = 0.0,
    ) -> None:
        self.random = random
        self.delay_s = delay_s
        self.jitter_s = jitter_s
        self.loss = loss
        self.duplication = duplication
        self.meshes: dict[str, MemoryMesh] = {}
        self.pending: list[PendingMessage] = []
        self.cut_links: set[frozenset[str]] = set()
        self.number = itertools.count()
        self.now = 0.0
        self.messages_sent = 0

    def send(self, sender: Peer, target: str, message: PeerMessage) -> bool:
        """Send a message, which may be lost or duplicated."""
        self.messages_sent += 1
        copies = 1 + (self.random.random() < self.duplication)
        for _ in range(copies):
            if self.random.random() >= self.loss:
                due = self.now + self.delay_s + self.random.random() * self.jitter_s
                heapq.heappush(
                    self.pending, PendingMessage(due, next(self.number), target, sender, message)
                )
        return True

    def deliver(self, paused: t.Container[str] = ()) -> None:
        """Deliver the messages that are due.

        Messages to paused hosts stay pending; messages over a cut link are lost.
        """
        deferred = []
        while self.pending and self.pending[0].due <= self.now:
            queued = heapq.heappop(self.pending)
            if queued.target in paused:
                deferred.append(queued)
            elif frozenset((queued.sender.name, queued.target)) not in self.cut_links:
                self.meshes[queued.target].receive(queued.sender, queued.message)
        for queued in deferred:
            heapq.heappush(self.pending, queued)


class MemoryMesh:
    """One host's ``PeerMesh`` in a ``MemoryNetwork``."""

    __slots__ = ("handlers", "network", "peer")

    def __init__(self, network: MemoryNetwork, name: str, incarnation: int) -> None:
        self.peer = Peer(name, "region", "data-centre")
        self.peer.incarnation = incarnation
        self.network = network
        self.handlers: dict[type[PeerMessage], list[Handler]] = {}
        network.meshes[name] = self

    def send(self, host: str, message: PeerMessage) -> bool:
        """Send a message; return ``False`` if there is no such host."""
        return host in self.network.meshes and self.network.send(self.peer, host, message)

    def subscribe(self, message_type: type[PeerMessage], handler: Handler) -> None:
        """Call a handler for each message of a type."""
        self.handlers.setdefault(message_type, []).append(handler)

    def live(self) -> list[Peer]:
        """Return the peers of all other hosts."""
        return [mesh.peer for mesh in self.network.meshes.values() if mesh is not self]

    def receive(self, sender: Peer, message: PeerMessage) -> None:
        """Call the handlers of a message's type."""
        for handler in self.handlers.get(type(message), []):
            handler(sender, message)
