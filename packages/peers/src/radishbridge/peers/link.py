"""The sending side of the connection to one peer."""

from __future__ import annotations

import asyncio
import collections
import math
import typing as t

import msgspec
import zmq
import zmq.asyncio

from radishbridge.peers.messages import Envelope, Heartbeat

QUEUE_LENGTH = 1_024
SEND_TIMEOUT_MS = 1_000


class MeshCounters:
    """What a mesh has sent, received and dropped since it started.

    ``NAMES`` are those that are plain numbers.

    :param sent_bytes_by_type: bytes of the messages of each type, by the type's name.
    """

    NAMES: t.ClassVar[tuple[str, ...]] = (
        "duplicate",
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


class Link:
    """Sends queued messages to one peer, and a heartbeat whenever none was due for a while.

    :param socket: connected socket of the peer; the link closes it.
    :param heartbeat: builds the present heartbeat.
    :param heartbeat_s: seconds between heartbeats.
    :param sequences: numbers messages; one for all links of an incarnation, since a link that is
        opened again must not repeat numbers.
    :param idle_s: seconds without a message after which the link ends.
    :param on_idle: called then, before the link ends.
    """

    __slots__ = (
        "counters",
        "heartbeat",
        "heartbeat_s",
        "idle_s",
        "incarnation",
        "on_idle",
        "queue",
        "sender",
        "sequences",
        "socket",
    )

    def __init__(
        self,
        socket: zmq.asyncio.Socket,
        sender: str,
        incarnation: int,
        heartbeat: t.Callable[[], Heartbeat],
        heartbeat_s: float,
        counters: MeshCounters,
        sequences: t.Iterator[int],
        idle_s: float = math.inf,
        on_idle: t.Callable[[], None] | None = None,
    ) -> None:
        self.idle_s = idle_s
        self.on_idle = on_idle
        self.socket = socket
        self.sender = sender
        self.incarnation = incarnation
        self.heartbeat = heartbeat
        self.heartbeat_s = heartbeat_s
        self.counters = counters
        self.queue: asyncio.Queue[msgspec.Struct] = asyncio.Queue(QUEUE_LENGTH)
        self.sequences = sequences

    def offer(self, message: msgspec.Struct) -> bool:
        """Queue a message; ``False`` where the queue is full."""
        try:
            self.queue.put_nowait(message)
        except asyncio.QueueFull:
            self.counters.queue_full += 1
            return False
        return True

    async def run(self) -> None:
        """Send until cancelled."""
        loop = asyncio.get_running_loop()
        due = used_at = loop.time()
        try:
            while True:
                try:
                    async with asyncio.timeout_at(due):
                        message = await self.queue.get()
                    used_at = loop.time()
                except TimeoutError:
                    if loop.time() - used_at >= self.idle_s:
                        self._end()
                        return
                    message = self.heartbeat()
                    due = loop.time() + self.heartbeat_s
                await self._send(message)
        finally:
            self.socket.close(linger=0)

    def _end(self) -> None:
        if self.on_idle is not None:
            self.on_idle()

    async def _send(self, message: msgspec.Struct) -> None:
        envelope = Envelope(
            sender=self.sender,
            incarnation=self.incarnation,
            sequence=next(self.sequences),
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
