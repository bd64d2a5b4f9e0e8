"""The mesh of hosts over pyzmq."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import math
import time
import typing as t

import msgspec
import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from radishbridge.peers.directory import Directory
from radishbridge.peers.link import SEND_TIMEOUT_MS, Link, MeshCounters
from radishbridge.peers.messages import Envelope, Heartbeat, HostAddress, PeerMessage
from radishbridge.peers.protocol import Handler, Peer
from radishbridge.peers.view import LIVENESS_HEARTBEATS, PeerView
from radishbridge.records import PeerSettings

FRAME_BYTES_MAX = 2 * 1024 * 1024
SEND_QUEUE_FRAMES = 64
RECEIVE_QUEUE_FRAMES = 4_096
# Connections that went silent are given up after three probes, and opened anew after a pause.
PROBE_INTERVAL_MS = 500
PROBE_TIMEOUT_MS = 1_500
RECONNECT_MS = 100
# Time in seconds after which a connection that was opened for a message is closed again: duties
# that need one send at least once a second.
LINK_IDLE_S = 5.0

logger = logging.getLogger(__name__)


class HeartbeatIntervals(t.NamedTuple):
    """Seconds between heartbeats within the data centre and to other data centres."""

    local_s: float = 2.0
    remote_s: float = 5.0


class ZmqMesh:
    """A ``PeerMesh`` with one sending task for each peer and one receiving task.

    :param host: name of this host.
    :param address: ``IP:port`` on which messages are taken.
    :param settings: keys; without keys nothing is encrypted or authenticated.
    :param heartbeat: builds the heartbeat of this host.
    :param clock: monotonic clock in seconds.
    :param message_type: union of the messages that are understood.
    :param persistent_connections: connect to the hosts and relays that the directory gives before
        there is a message; otherwise a connection opens with the first message and stays while it
        is used.
    :param on_unknown_sender: called with the name of a sender that the directory lacks; the message
        is dropped.
    """

    __slots__ = (
        "address",
        "clock",
        "context",
        "counters",
        "directory",
        "handlers",
        "heartbeat",
        "heartbeat_intervals",
        "host",
        "incarnation",
        "links",
        "message_type",
        "on_unknown_sender",
        "persistent_connections",
        "sequences",
        "settings",
        "tasks",
        "view",
    )

    def __init__(
        self,
        host: str,
        address: str,
        settings: PeerSettings,
        heartbeat: t.Callable[[], Heartbeat],
        heartbeat_intervals: HeartbeatIntervals | None = None,
        clock: t.Callable[[], float] = time.monotonic,
        message_type: t.Any = PeerMessage,
        persistent_connections: bool = True,
    ) -> None:
        self.persistent_connections = persistent_connections
        self.host = host
        self.message_type = message_type
        self.on_unknown_sender: t.Callable[[str], None] | None = None
        self.address = address
        self.settings = settings
        self.heartbeat = heartbeat
        self.heartbeat_intervals = heartbeat_intervals or HeartbeatIntervals()
        self.clock = clock
        self.incarnation = time.time_ns()
        self.context = zmq.asyncio.Context()
        self.counters = MeshCounters()
        self.sequences = itertools.count(1)
        self.directory = Directory(host)
        self.view = PeerView(LIVENESS_HEARTBEATS * self.heartbeat_intervals.remote_s)
        self.handlers: dict[type[msgspec.Struct], list[Handler]] = {}
        self.links: dict[str, Link] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.subscribe(Heartbeat, _note_heartbeat)

    def subscribe(self, message_type: type[msgspec.Struct], handler: Handler) -> None:
        """Call a handler for each message of a type."""
        self.handlers.setdefault(message_type, []).append(handler)

    def live(self) -> list[Peer]:
        """Return the peers heard within the liveness bound of their distance."""
        now = self.clock()
        return [peer for peer in self.view.live(now) if now - peer.heard_at <= self._bound(peer)]

    def send(self, host: str, message: msgspec.Struct) -> bool:
        """Queue a message; connects to a host of the directory that has no connection yet."""
        link = self.links.get(host)
        if link is None:
            if host not in self.directory.hosts or host == self.host:
                return False
            link = self._connect(self.directory.hosts[host])
        return link.offer(message)

    def update_directory(self, hosts: t.Iterable[HostAddress]) -> None:
        """Take over the list of hosts: connect to new peers, leave those that are gone."""
        before = dict(self.directory.hosts)
        if not self.directory.update(hosts):
            return
        for name, entry in self.directory.hosts.items():
            if name != self.host and name not in self.view.peers:
                self.view.peers[name] = Peer(name, entry.region, entry.data_center)
        for name in before.keys() - self.directory.hosts.keys():
            self.view.peers.pop(name, None)
        standing = self.directory.persistent_peers() if self.persistent_connections else set()
        kept = standing if self.persistent_connections else self.directory.hosts.keys()
        moved = {name for name, entry in before.items() if self._address_of(name) != entry.address}
        for name in self.links.keys() & (moved | (before.keys() - kept)):
            self._disconnect(name)
        for name in standing - self.links.keys():
            self._connect(self.directory.hosts[name])

    async def run(self) -> None:
        """Take messages until cancelled."""
        with contextlib.ExitStack() as stack:
            stack.callback(self.context.destroy, linger=0)
            stack.callback(self.disconnect)
            if self.settings.public_key:
                stack.callback(self._start_authenticator().stop)
            socket = self._bind()
            while True:
                parts = await socket.recv_multipart()
                self.receive(parts[-1])

    def _bind(self) -> zmq.asyncio.Socket:
        socket = self.context.socket(zmq.ROUTER)
        socket.setsockopt(zmq.MAXMSGSIZE, FRAME_BYTES_MAX)
        socket.setsockopt(zmq.RCVHWM, RECEIVE_QUEUE_FRAMES)
        if self.settings.public_key:
            socket.curve_server = True
            socket.curve_publickey = self.settings.public_key.encode()
            socket.curve_secretkey = self.settings.secret_key.encode()
        socket.bind(f"tcp://{self.address}")
        return socket

    def _connect(self, entry: HostAddress) -> Link:
        socket = self.context.socket(zmq.DEALER)
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_FRAMES)
        socket.setsockopt(zmq.SNDTIMEO, SEND_TIMEOUT_MS)
        socket.setsockopt(zmq.HEARTBEAT_IVL, PROBE_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, PROBE_TIMEOUT_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, PROBE_TIMEOUT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        if self.settings.public_key:
            socket.curve_serverkey = self.settings.public_key.encode()
            socket.curve_publickey = self.settings.public_key.encode()
            socket.curve_secretkey = self.settings.secret_key.encode()
        socket.connect(f"tcp://{entry.address}")
        interval_s = self._heartbeat_s(entry)
        idle_s = math.inf if self.persistent_connections else LINK_IDLE_S
        link = Link(
            socket,
            self.host,
            self.incarnation,
            self.heartbeat,
            interval_s,
            self.counters,
            self.sequences,
            idle_s,
            lambda: self._forget(entry.name),
        )
        self.links[entry.name] = link
        self.tasks[entry.name] = asyncio.create_task(link.run(), name=f"link-{entry.name}")
        return link

    def _disconnect(self, name: str) -> None:
        del self.links[name]
        self.tasks.pop(name).cancel()

    def _forget(self, name: str) -> None:
        del self.links[name]
        del self.tasks[name]

    def disconnect(self) -> None:
        """End the connections with all peers."""
        for name in list(self.links):
            self._disconnect(name)

    def _start_authenticator(self) -> AsyncioAuthenticator:
        authenticator = AsyncioAuthenticator(self.context)
        authenticator.start()
        accepted = {self.settings.public_key, *self.settings.accepted_keys}
        authenticator.configure_curve_callback("*", _AcceptedKeys(accepted))
        return authenticator

    def receive(self, frame: bytes) -> None:
        """Handle one frame; a malformed, unknown or repeated one is counted and dropped."""
        self.counters.received += 1
        self.counters.received_bytes += len(frame)
        try:
            envelope = msgspec.msgpack.decode(frame, type=Envelope)
            message = msgspec.msgpack.decode(envelope.body, type=self.message_type)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            self.counters.malformed += 1
            return
        if envelope.sender not in self.view.peers:
            self.counters.unknown_sender += 1
            if self.on_unknown_sender is not None:
                self.on_unknown_sender(envelope.sender)
            return
        peer = self.view.accept(envelope, self.clock())
        if peer is None:
            self.counters.duplicate += 1
            return
        self._dispatch(peer, message)

    def _dispatch(self, peer: Peer, message: msgspec.Struct) -> None:
        for handler in self.handlers.get(type(message), ()):
            try:
                handler(peer, message)
            except Exception:
                self.counters.failed_handlers += 1
                logger.exception("handler of %s failed", type(message).__name__)

    def _address_of(self, name: str) -> str:
        entry = self.directory.hosts.get(name)
        return "" if entry is None else entry.address

    def _heartbeat_s(self, place: HostAddress) -> float:
        own = self.directory.hosts.get(self.host)
        near = own is not None and own.data_center == place.data_center
        return self.heartbeat_intervals.local_s if near else self.heartbeat_intervals.remote_s

    def _bound(self, peer: Peer) -> float:
        place = self.directory.hosts.get(peer.name)
        interval_s = (
            self.heartbeat_intervals.remote_s if place is None else self._heartbeat_s(place)
        )
        return LIVENESS_HEARTBEATS * interval_s


class _AcceptedKeys:
    """Tells the authenticator which public keys may connect."""

    __slots__ = ("accepted",)

    def __init__(self, accepted: set[str]) -> None:
        self.accepted = accepted

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a key, in Z85 text form, may connect."""
        return key.decode("ascii", "replace") in self.accepted


def _note_heartbeat(peer: Peer, message: msgspec.Struct) -> None:
    if isinstance(message, Heartbeat):
        peer.revision = message.revision
        peer.leaving = message.leaving
