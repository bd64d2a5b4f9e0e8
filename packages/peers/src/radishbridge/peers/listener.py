"""Receives frames from other hosts' ZeroMQ sockets, with a bound on what each connection holds.

libzmq counts whole messages, so that the parts of a message without end, and messages of peers that
speak ZMTP 1.0 or 2.0, grow without bound whatever its options say. This listener speaks ZMTP 3.0
with the NULL mechanism (https://rfc.zeromq.org/spec/23/) to the hosts' DEALER sockets, whose
messages have one part, and closes connections that send anything else.
"""

from __future__ import annotations

import asyncio
import ipaddress
import logging
import socket
import struct
import time
import typing as t

BACKLOG = 1_024
# Connections accepted before others are closed that are too many; each takes a descriptor.
ACCEPT_BATCH = 8
READ_BYTES = 65_536
# A greeting and a READY command take one round trip, which is far below a second.
HANDSHAKE_TIMEOUT_S = 5.0
# Hosts send a probe every 0.5 s on open connections.
IDLE_TIMEOUT_S = 60.0
# Commands of ZMTP are shorter than this; the context of a PING has up to 16 bytes.
COMMAND_BYTES_MAX = 255
PING_CONTEXT_BYTES_MAX = 16
# Bytes of unread replies to probes; a reply has up to 23.
UNREAD_BYTES_MAX = 4_096
# More connections than hosts of the largest fleet, 1,100.
CONNECTIONS_MAX = 4_096
LOG_INTERVAL_S = 1.0

_SIGNATURE = b"\xff" + bytes(8) + b"\x7f"
_MECHANISM = b"NULL" + bytes(16)
_GREETING_BYTES = 64
_GREETING = _SIGNATURE + b"\x03\x00" + _MECHANISM + bytes(32)
_READY = b"\x05READY\x0bSocket-Type\x00\x00\x00\x06ROUTER\x08Identity\x00\x00\x00\x00"
_MORE, _LONG, _COMMAND = 1, 2, 4
_LONG_SIZE = struct.Struct(">Q")

logger = logging.getLogger(__name__)


class ReceiveMemory(t.Protocol):
    """Counts the bytes held for connections, and resets the largest when there are too many."""

    def update(self, client: PeerInput, now: float) -> bool:
        """Count what is held for a connection now; return whether something is counted."""

    def remove(self, client: PeerInput) -> None:
        """Stop counting a connection that ended."""


class ReceiveLimits(t.NamedTuple):
    """Limits on what other hosts' connections may hold.

    :param frame_bytes: size of one message.
    :param connections: open connections.
    :param memory: counts the bytes of all connections, or ``None``.
    """

    frame_bytes: int
    connections: int = CONNECTIONS_MAX
    memory: ReceiveMemory | None = None


class PeerListener:
    """Listens for other hosts.

    :param receive: gets each message; returns whether it was sent by a known host.
    :param unproven: connections without such a message, the oldest first.
    :param proven: the others.
    :param refused: number of connections closed for what they sent, by reason.
    """

    __slots__ = ("_logged_at", "limits", "proven", "receive", "refused", "unproven")

    def __init__(self, receive: t.Callable[[bytes], bool], limits: ReceiveLimits) -> None:
        self.receive = receive
        self.limits = limits
        self.unproven: dict[PeerInput, None] = {}
        self.proven: set[PeerInput] = set()
        self.refused: dict[str, int] = {}
        self._logged_at: dict[str, float] = {}

    async def start(self, address: str) -> asyncio.Server:
        """Listen on ``IP:port``."""
        host, _, port = address.rpartition(":")
        host = host.strip("[]")
        family = socket.AF_INET6 if ipaddress.ip_address(host).version == 6 else socket.AF_INET
        listening = socket.create_server((host, int(port)), family=family, backlog=BACKLOG)
        server = await asyncio.get_running_loop().create_server(
            lambda: PeerInput(self), sock=listening, backlog=ACCEPT_BATCH
        )
        # asyncio uses one number for both; the kernel's queue stays long.
        listening.listen(BACKLOG)
        return server

    def add(self, connection: PeerInput) -> None:
        """Count a connection; close the oldest unproven one if there are too many."""
        self.unproven[connection] = None
        if len(self.unproven) + len(self.proven) > self.limits.connections:
            next(iter(self.unproven)).refuse("connections")

    def remove(self, connection: PeerInput) -> None:
        """Forget a connection that was closed."""
        self.unproven.pop(connection, None)
        self.proven.discard(connection)
        if self.limits.memory is not None:
            self.limits.memory.remove(connection)

    def close(self) -> None:
        """Close all connections."""
        for connection in [*self.unproven, *self.proven]:
            connection.abort()

    def handle(self, connection: PeerInput, frame: bytes) -> None:
        """Pass on a message."""
        if self.receive(frame) and connection in self.unproven:
            del self.unproven[connection]
            self.proven.add(connection)

    def record_refusal(self, reason: str, peer: str, size: int) -> None:
        """Count a connection that is closed, and log each reason at most once a second."""
        self.refused[reason] = self.refused.get(reason, 0) + 1
        now = time.monotonic()
        if now - self._logged_at.get(reason, -LOG_INTERVAL_S) >= LOG_INTERVAL_S:
            self._logged_at[reason] = now
            logger.warning(
                "peer connection refused",
                extra={
                    "reason": reason,
                    "peer": peer,
                    "bytes": size,
                    "refused": self.refused[reason],
                },
            )


class PeerInput(asyncio.Protocol):
    """One connection of another host's sending socket.

    :param buffer: bytes that are no whole frame yet.
    :param is_greeted: the greeting has arrived.
    :param is_ready: the READY command has arrived.
    """

    __slots__ = (
        "_timer",
        "buffer",
        "is_greeted",
        "is_ready",
        "listener",
        "received_at",
        "transport",
    )

    def __init__(self, listener: PeerListener) -> None:
        self.listener = listener
        self.buffer = bytearray()
        self.is_greeted = False
        self.is_ready = False
        self.received_at = 0.0
        self.transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def held_bytes(self) -> int:
        """Bytes that are held for the connection now."""
        return len(self.buffer)

    @property
    def peer_text(self) -> str:
        """Address of the other side."""
        return "" if self.transport is None else str(self.transport.get_extra_info("peername"))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the greeting, and expect the other side's."""
        assert isinstance(transport, asyncio.Transport)
        if hasattr(transport, "max_size"):
            transport.max_size = READ_BYTES
        self.transport = transport
        transport.write(_GREETING)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(HANDSHAKE_TIMEOUT_S, self._check_timeout)
        self.listener.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self.transport = None
        self.buffer.clear()
        if self._timer is not None:
            self._timer.cancel()
        self.listener.remove(self)

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()

    def refuse(self, reason: str) -> None:
        """Reset the connection and count why."""
        self.listener.record_refusal(reason, self.peer_text, len(self.buffer))
        self.buffer.clear()
        self.listener.remove(self)
        self.abort()

    def data_received(self, data: bytes) -> None:
        """Handle the frames that are whole now."""
        if self.transport is None or self.transport.is_closing():
            return
        self.received_at = time.monotonic()
        self.buffer += data
        if not self.is_greeted and not self._take_greeting():
            return
        position = 0
        while not self.transport.is_closing():
            end = self._take_frame(position)
            if end == position:
                break
            position = end
        del self.buffer[: min(position, len(self.buffer))]
        memory = self.listener.limits.memory
        if memory is not None and not self.transport.is_closing():
            memory.update(self, self.received_at)

    def _take_greeting(self) -> bool:
        if self.buffer[:1] != _SIGNATURE[:1] or (
            len(self.buffer) >= 11 and (not self.buffer[9] & 1 or self.buffer[10] < 3)
        ):
            self.refuse("not ZMTP 3")
            return False
        if len(self.buffer) < _GREETING_BYTES:
            return False
        if self.buffer[12:32] != _MECHANISM:
            self.refuse("mechanism")
            return False
        del self.buffer[:_GREETING_BYTES]
        self.is_greeted = True
        self._send_command(_READY)
        return True

    def _take_frame(self, position: int) -> int:
        """Handle the frame at a position; return its end, or the position if it is not whole."""
        buffer = self.buffer
        if len(buffer) - position < 2:
            return position
        flags = buffer[position]
        start = position + 2
        size = buffer[position + 1]
        if flags & _LONG:
            start = position + 1 + _LONG_SIZE.size
            if len(buffer) < start:
                return position
            (size,) = _LONG_SIZE.unpack_from(buffer, position + 1)
        is_command = bool(flags & _COMMAND)
        if flags & ~(_LONG | _COMMAND) or not (is_command or self.is_ready):
            self.refuse("several parts" if flags & _MORE else "frame")
            return position
        if size > (COMMAND_BYTES_MAX if is_command else self.listener.limits.frame_bytes):
            self.refuse("frame size")
            return position
        end = start + size
        if len(buffer) < end:
            return position
        body = bytes(buffer[start:end])
        if is_command:
            self._handle_command(body)
        else:
            self.listener.handle(self, body)
        return end

    def _handle_command(self, body: bytes) -> None:
        if not self.is_ready:
            if not body.startswith(b"\x05READY"):
                self.refuse("no READY")
                return
            self.is_ready = True
        elif body.startswith(b"\x04PING"):
            context = body[7 : 7 + PING_CONTEXT_BYTES_MAX]
            self._send_command(b"\x04PONG" + context)

    def _send_command(self, body: bytes) -> None:
        assert self.transport is not None
        self.transport.write(bytes([_COMMAND, len(body)]) + body)
        if self.transport.get_write_buffer_size() > UNREAD_BYTES_MAX:
            self.refuse("replies not read")

    def _check_timeout(self) -> None:
        if self.transport is None:
            return
        silent_s = time.monotonic() - self.received_at
        if not self.is_ready:
            self.refuse("handshake timeout")
        elif silent_s >= IDLE_TIMEOUT_S:
            self.refuse("idle")
        else:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(IDLE_TIMEOUT_S - silent_s, self._check_timeout)
