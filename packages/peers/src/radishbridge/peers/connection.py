"""The sending side of the connection to one peer, and the traffic counters of a mesh."""

from __future__ import annotations

import asyncio
import collections
import math
import typing as t

import msgspec
import zmq
import zmq.asyncio

from radishbridge.peers.messages import Envelope, Heartbeat

MAX_QUEUED_MESSAGES = 1_024
SEND_TIMEOUT_MS = 1_000


class MeshCounters:
    """Counts the messages that a mesh has sent, received and dropped since it started.

    ``NAMES`` lists the plain integer counters, which are exported as metrics.

    :param sent_bytes_by_type: bytes sent for each message type, by the type's name.
    """

    NAMES: t.ClassVar[tuple[str, ...]] = (
        "duplicate",
        "failed_connections",
        "failed_handlers",
        "malformed",
        "queue_full",
        "received",
        "received_bytes",
        "sent",
        "sent_bytes",
        "unknown_sender",
        "unreachable",
    )
    __slots__ = (*NAMES, "sent_bytes_by_type")

    def __init__(self) -> None:
        self.sent = 0
        self.sent_bytes = 0
        self.sent_bytes_by_type: collections.Counter[str] = collections.Counter()
        self.received = 0
        self.received_bytes = 0
        self.queue_full = 0
        self.unreachable = 0
        self.malformed = 0
        self.duplicate = 0
        self.unknown_sender = 0
        self.failed_handlers = 0
        self.failed_connections = 0


class PeerConnection:
    """Sends queued messages and periodic heartbeats to one peer.

    :param socket: socket connected to the peer; closed when ``run`` ends.
    :param sender: name of this host.
    :param incarnation: incarnation of this process.
    :param build_heartbeat: builds a heartbeat from the current state.
    :param heartbeat_interval_s: seconds between heartbeats.
    :param sequence_numbers: source of the sequence numbers of messages. All connections of an
        incarnation share it: a reopened connection that repeated numbers would have its messages
        dropped as duplicates.
    :param idle_timeout_s: seconds without a queued message after which the connection closes.
    :param on_idle: called just before an idle connection closes.
    """

    __slots__ = (
        "build_heartbeat",
        "counters",
        "heartbeat_interval_s",
        "idle_timeout_s",
        "incarnation",
        "on_idle",
        "queue",
        "sender",
        "sequence_numbers",
        "socket",
    )

    def __init__(
        self,
        socket: zmq.asyncio.Socket,
        sender: str,
        incarnation: int,
        build_heartbeat: t.Callable[[], Heartbeat],
        heartbeat_interval_s: float,
        counters: MeshCounters,
        sequence_numbers: t.Iterator[int],
        idle_timeout_s: float = math.inf,
        on_idle: t.Callable[[], None] | None = None,
    ) -> None:
        self.idle_timeout_s = idle_timeout_s
        self.on_idle = on_idle
        self.socket = socket
        self.sender = sender
        self.incarnation = incarnation
        self.build_heartbeat = build_heartbeat
        self.heartbeat_interval_s = heartbeat_interval_s
        self.counters = counters
        self.queue: asyncio.Queue[msgspec.Struct] = asyncio.Queue(MAX_QUEUED_MESSAGES)
        self.sequence_numbers = sequence_numbers

    def enqueue(self, message: msgspec.Struct) -> bool:
        """Queue a message.

        :return: whether there was room in the queue.
        """
        try:
            self.queue.put_nowait(message)
        except asyncio.QueueFull:
            self.counters.queue_full += 1
            return False
        return True

    async def run(self) -> None:
        """Send until cancelled or idle."""
        loop = asyncio.get_running_loop()
        heartbeat_due_at = last_used_at = loop.time()
        try:
            while True:
                try:
                    async with asyncio.timeout_at(heartbeat_due_at):
                        message = await self.queue.get()
                    last_used_at = loop.time()
                except TimeoutError:
                    if loop.time() - last_used_at >= self.idle_timeout_s:
                        self._notify_idle()
                        return
                    message = self.build_heartbeat()
                    heartbeat_due_at = loop.time() + self.heartbeat_interval_s
                await self._send(message)
        finally:
            self.socket.close(linger=0)

    def _notify_idle(self) -> None:
        if self.on_idle is not None:
            self.on_idle()

    async def _send(self, message: msgspec.Struct) -> None:
        envelope = Envelope(
            sender=self.sender,
            incarnation=self.incarnation,
            sequence=next(self.sequence_numbers),
            body=msgspec.Raw(msgspec.msgpack.encode(message)),
        )
        frame = msgspec.msgpack.encode(envelope)
        try:
            await self.socket.send(frame)
        except zmq.Again:
            self.counters.unreachable += 1
            return
        self.counters.sent += 1
        self.counters.sent_bytes += len(frame)
        self.counters.sent_bytes_by_type[type(message).__name__] += len(frame)
