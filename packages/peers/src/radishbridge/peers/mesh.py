"""The mesh of hosts over ZeroMQ, using pyzmq."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import itertools
import logging
import math
import time
import typing as t

import msgspec
import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from radishbridge.peers.connection import SEND_TIMEOUT_MS, MeshCounters, PeerConnection
from radishbridge.peers.directory import Directory
from radishbridge.peers.listener import PeerListener, ReceiveLimits
from radishbridge.peers.messages import Envelope, Heartbeat, HostAddress, PeerMessage
from radishbridge.peers.protocol import Handler, Peer
from radishbridge.peers.view import LIVENESS_TIMEOUT_HEARTBEATS, PeerView
from radishbridge.records import DECODE_ERRORS, PeerSettings

FRAME_BYTES_MAX = 2 * 1024 * 1024
SEND_QUEUE_FRAMES = 64
RECEIVE_QUEUE_FRAMES = 4_096
# ZeroMQ closes a connection after three unanswered probes (ZMTP heartbeats), then reconnects.
PROBE_INTERVAL_MS = 500
PROBE_TIMEOUT_MS = 1_500
RECONNECT_INTERVAL_MS = 100
# Closes connections that were opened on demand. Periodic users of a connection send at least once
# a second and so keep theirs open.
CONNECTION_IDLE_TIMEOUT_S = 5.0

logger = logging.getLogger(__name__)


class HeartbeatIntervals(t.NamedTuple):
    """Intervals between heartbeats in seconds.

    :param local_s: to hosts of the same data centre.
    :param remote_s: to hosts of other data centres.
    """

    local_s: float = 2.0
    remote_s: float = 5.0


class ZmqMesh:
    """A ``PeerMesh`` with one sending task for each connected peer and one receiving task.

    :param host: name of this host.
    :param address: ``IP:port`` to listen on for messages.
    :param settings: keys; without keys traffic is neither encrypted nor authenticated.
    :param build_heartbeat: builds a heartbeat from this host's current state.
    :param clock: monotonic clock in seconds.
    :param message_type: union of the message types to decode; others count as malformed.
    :param persistent_connections: keep connections with the directory's ``persistent_peers``;
        otherwise a connection opens with the first message to a host and closes when idle.

    ``on_unknown_sender``, if set, is called with the name of each sender that is not in the
    directory; the sender's message is dropped.
    """

    __slots__ = (
        "address",
        "build_heartbeat",
        "clock",
        "connections",
        "context",
        "counters",
        "directory",
        "handlers",
        "heartbeat_intervals",
        "host",
        "incarnation",
        "listener",
        "message_type",
        "on_unknown_sender",
        "persistent_connections",
        "sequence_numbers",
        "settings",
        "tasks",
        "view",
    )

    def __init__(
        self,
        host: str,
        address: str,
        settings: PeerSettings,
        build_heartbeat: t.Callable[[], Heartbeat],
        heartbeat_intervals: HeartbeatIntervals | None = None,
        clock: t.Callable[[], float] = time.monotonic,
        message_type: t.Any = PeerMessage,
        persistent_connections: bool = True,
        receive_limits: ReceiveLimits | None = None,
    ) -> None:
        self.persistent_connections = persistent_connections
        self.host = host
        self.message_type = message_type
        self.on_unknown_sender: t.Callable[[str], None] | None = None
        self.address = address
        self.settings = settings
        self.build_heartbeat = build_heartbeat
        self.heartbeat_intervals = heartbeat_intervals or HeartbeatIntervals()
        self.clock = clock
        self.incarnation = time.time_ns()
        self.context = zmq.asyncio.Context()
        self.listener = PeerListener(self.receive, receive_limits or ReceiveLimits(FRAME_BYTES_MAX))
        self.counters = MeshCounters()
        self.sequence_numbers = itertools.count(1)
        self.directory = Directory(host)
        self.view = PeerView(LIVENESS_TIMEOUT_HEARTBEATS * self.heartbeat_intervals.remote_s)
        self.handlers: dict[type[msgspec.Struct], list[Handler]] = {}
        self.connections: dict[str, PeerConnection] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.subscribe(Heartbeat, _apply_heartbeat)

    def subscribe(self, message_type: type[msgspec.Struct], handler: Handler) -> None:
        """Call a handler for each message of a type."""
        self.handlers.setdefault(message_type, []).append(handler)

    def live(self) -> list[Peer]:
        """Return the peers that sent a message within the liveness timeout of their data centre."""
        now = self.clock()
        return [
            peer
            for peer in self.view.live(now)
            if now - peer.last_message_at <= self._liveness_timeout_s(peer)
        ]

    def send(self, host: str, message: msgspec.Struct) -> bool:
        """Queue a message, connecting to the host first if it is in the directory.

        :return: ``False`` if the host is unknown or its queue is full.
        """
        connection = self.connections.get(host)
        if connection is None:
            if host not in self.directory.hosts or host == self.host:
                return False
            connection = self._connect(self.directory.hosts[host])
        return connection.enqueue(message)

    def update_directory(self, hosts: t.Iterable[HostAddress]) -> None:
        """Replace the list of hosts, closing connections to removed hosts and opening new ones."""
        previous = dict(self.directory.hosts)
        if not self.directory.update(hosts):
            return
        for name, entry in self.directory.hosts.items():
            if name != self.host and name not in self.view.peers:
                self.view.peers[name] = Peer(name, entry.region, entry.data_center)
        for name in previous.keys() - self.directory.hosts.keys():
            self.view.peers.pop(name, None)
        persistent = self.directory.persistent_peers() if self.persistent_connections else set()
        kept = persistent if self.persistent_connections else self.directory.hosts.keys()
        address_changed = {
            name for name, entry in previous.items() if self._address_of(name) != entry.address
        }
        for name in self.connections.keys() & (address_changed | (previous.keys() - kept)):
            self._disconnect(name)
        for name in persistent - self.connections.keys():
            self._connect(self.directory.hosts[name])

    async def run(self) -> None:
        """Receive messages until cancelled."""
        if self.context.closed:
            self.context = zmq.asyncio.Context()
        with contextlib.ExitStack() as stack:
            stack.callback(self.context.destroy, linger=0)
            stack.callback(self.disconnect)
            if not self.settings.public_key:
                server = await self.listener.start(self.address)
                stack.callback(self.listener.close)
                stack.callback(server.close)
                await asyncio.get_running_loop().create_future()
            # Peers without an accepted key end in the handshake of libzmq.
            stack.callback(self._start_authenticator().stop)
            socket = self._bind()
            while True:
                parts = await socket.recv_multipart()
                self.receive(parts[-1])

    def _bind(self) -> zmq.asyncio.Socket:
        socket = self.context.socket(zmq.ROUTER)
        socket.setsockopt(zmq.MAXMSGSIZE, FRAME_BYTES_MAX)
        socket.setsockopt(zmq.RCVHWM, RECEIVE_QUEUE_FRAMES)
        socket.curve_server = True
        socket.curve_publickey = self.settings.public_key.encode()
        socket.curve_secretkey = self.settings.secret_key.encode()
        socket.bind(f"tcp://{self.address}")
        return socket

    def _connect(self, entry: HostAddress) -> PeerConnection:
        socket = self.context.socket(zmq.DEALER)
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_FRAMES)
        socket.setsockopt(zmq.SNDTIMEO, SEND_TIMEOUT_MS)
        socket.setsockopt(zmq.HEARTBEAT_IVL, PROBE_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, PROBE_TIMEOUT_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, PROBE_TIMEOUT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
        if self.settings.public_key:
            socket.curve_serverkey = self.settings.public_key.encode()
            socket.curve_publickey = self.settings.public_key.encode()
            socket.curve_secretkey = self.settings.secret_key.encode()
        socket.connect(f"tcp://{entry.address}")
        interval_s = self._heartbeat_interval_s(entry)
        idle_timeout_s = math.inf if self.persistent_connections else CONNECTION_IDLE_TIMEOUT_S
        connection = PeerConnection(
            socket,
            self.host,
            self.incarnation,
            self.build_heartbeat,
            interval_s,
            self.counters,
            self.sequence_numbers,
            idle_timeout_s,
            lambda: self._remove_connection(entry.name),
        )
        self.connections[entry.name] = connection
        task = asyncio.create_task(connection.run(), name=f"link-{entry.name}")
        task.add_done_callback(functools.partial(self._drop_failed, entry.name))
        self.tasks[entry.name] = task
        return connection

    def _drop_failed(self, name: str, task: asyncio.Task[None]) -> None:
        # The next message opens a new connection.
        if task.cancelled() or task.exception() is None:
            return
        logger.error("connection failed", exc_info=task.exception(), extra={"host": name})
        self.counters.failed_connections += 1
        if self.tasks.get(name) is task:
            self._remove_connection(name)

    def _disconnect(self, name: str) -> None:
        del self.connections[name]
        self.tasks.pop(name).cancel()

    def _remove_connection(self, name: str) -> None:
        del self.connections[name]
        del self.tasks[name]

    def disconnect(self) -> None:
        """Close the connections to all peers."""
        for name in list(self.connections):
            self._disconnect(name)

    def _start_authenticator(self) -> AsyncioAuthenticator:
        authenticator = AsyncioAuthenticator(self.context)
        authenticator.start()
        accepted = {self.settings.public_key, *self.settings.accepted_keys}
        authenticator.configure_curve_callback("*", _AcceptedKeys(accepted))
        return authenticator

    def receive(self, frame: bytes) -> bool:
        """Decode a frame and call the handlers of its message.

        Frames that are malformed, repeated or from unknown senders are counted and dropped.

        :return: whether the sender is known.
        """
        self.counters.received += 1
        self.counters.received_bytes += len(frame)
        try:
            envelope = msgspec.msgpack.decode(frame, type=Envelope)
            message = msgspec.msgpack.decode(envelope.body, type=self.message_type)
        except DECODE_ERRORS:
            self.counters.malformed += 1
            return False
        if envelope.sender not in self.view.peers:
            self.counters.unknown_sender += 1
            if self.on_unknown_sender is not None:
                self.on_unknown_sender(envelope.sender)
            return False
        peer = self.view.accept(envelope, self.clock())
        if peer is None:
            self.counters.duplicate += 1
            return True
        self._dispatch(peer, message)
        return True

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

    def _heartbeat_interval_s(self, entry: HostAddress) -> float:
        own = self.directory.hosts.get(self.host)
        is_local = own is not None and own.data_center == entry.data_center
        return self.heartbeat_intervals.local_s if is_local else self.heartbeat_intervals.remote_s

    def _liveness_timeout_s(self, peer: Peer) -> float:
        entry = self.directory.hosts.get(peer.name)
        interval_s = (
            self.heartbeat_intervals.remote_s
            if entry is None
            else self._heartbeat_interval_s(entry)
        )
        return LIVENESS_TIMEOUT_HEARTBEATS * interval_s


class _AcceptedKeys:
    """Credentials provider that accepts a fixed set of public keys."""

    __slots__ = ("accepted",)

    def __init__(self, accepted: set[str]) -> None:
        self.accepted = accepted

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a key, in Z85 text form, may connect."""
        return key.decode("ascii", "replace") in self.accepted


def _apply_heartbeat(peer: Peer, message: msgspec.Struct) -> None:
    if isinstance(message, Heartbeat):
        peer.revision = message.revision
        peer.leaving = message.leaving
