"""Connections to backend servers: one request at a time, never a repeat of its own.

The library parses answers; what it is not told about is kept here: bytes that belong to no
request, an answer without a length that a reset has cut, and how long a connection may idle.
"""

from __future__ import annotations

import asyncio
import collections
import re
import socket
import time
import typing as t

import httptools

from radishbridge.entry.memory import ResponseMemory
from radishbridge.host.sockets import abandon
from radishbridge.records import Failure, ResultCode

# A new connection takes one round trip, at most some 50 ms between regions; the rest is for a
# lost packet, which is sent again after about 0.2 s by the kernel's own timer for known paths.
CONNECT_TIMEOUT_S = 0.6
# Longest idle time of a connection in seconds. A server may forget connections sooner than it
# says, and what is sent on such a connection may not be repeated where it must run once.
IDLE_S = 3.0
IDLE_ONCE_S = 0.8
# Part of the idle time that a server announces which is used.
ANNOUNCED_PART = 0.6
# Probes that find a peer that went silent: seconds before the first, between them, their number.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Time in milliseconds after which sent data without acknowledgement ends a connection.
USER_TIMEOUT_MS = 1_500
# Largest answer that is held in memory, in bytes; answers here have up to some hundred KB.
ANSWER_BYTES_MAX = 16 * 1_048_576
# Bytes of an answer that are not its body: heads, trailers and the framing of chunks. The first
# figure is twice what common servers let a head have, the second is for chunks of one byte.
HEAD_BYTES_MAX = 65_536
FRAMING_PER_BODY_BYTE = 8
FIRST_FINAL_STATUS = 200
SWITCHING_PROTOCOLS = 101
_KEEPALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")

HeaderList = list[tuple[bytes, bytes]]


class BackendResponse:
    """A whole answer of a backend server."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: HeaderList, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class BackendConnection(asyncio.Protocol):
    """One connection to a backend server.

    :param memory: what unfinished answers take up over all connections.
    :param unacknowledged: bytes that the server had not acknowledged when its request was
        abandoned; ``None`` before that, or where the kernel does not say.
    """

    __slots__ = (
        "announced_idle_s",
        "body",
        "complete",
        "headers",
        "idle_since",
        "is_head",
        "keeps",
        "loop",
        "memory",
        "parser",
        "received",
        "size",
        "spoiled",
        "status",
        "transport",
        "unacknowledged",
        "waiter",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop, memory: ResponseMemory) -> None:
        self.loop = loop
        self.memory = memory
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future[BackendResponse | Failure] | None = None
        self.spoiled = False
        self.unacknowledged: int | None = None
        self.idle_since = time.monotonic()
        self.announced_idle_s = IDLE_S
        self.parser = httptools.HttpResponseParser(self)
        self.is_head = False
        self.status = 0
        self.headers: HeaderList = []
        self.body: list[bytes] = []
        self.size = 0
        self.received = 0
        self.complete = False
        self.keeps = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport over."""
        self.transport = t.cast("asyncio.Transport", transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _set_options(sock)

    def data_received(self, data: bytes) -> None:
        """Parse a part of an answer; bytes outside of one spoil the connection."""
        if self.waiter is None:
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            # What follows a whole answer belongs to no request, and spoils the connection only.
            self.spoiled = True
            if not self.complete:
                self._fail(f"not an answer: {type(error).__name__}")
                return
        if self.complete and self._has_final_head():
            self._deliver()
            return
        if self.status == SWITCHING_PROTOCOLS:
            self._fail("the server changed the protocol unasked")
            return
        excess = self._excess(len(data))
        if excess:
            self._fail(excess)

    def eof_received(self) -> bool:
        """End an answer that has no length where the server closes in order."""
        if self.waiter is not None and self._has_final_head() and self._is_unframed():
            self.keeps = False
            self._deliver()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request under way."""
        self.spoiled = True
        self._fail("the connection was reset" if exc else "the connection was closed")

    async def exchange(self, head: bytes, body: bytes, is_head: bool) -> BackendResponse | Failure:
        """Send one request and return its answer; cancellation closes the connection."""
        assert self.transport is not None
        self._reset(is_head)
        self.waiter = self.loop.create_future()
        self.transport.write(head + body)
        try:
            return await self.waiter
        except asyncio.CancelledError:
            self.abandon()
            raise

    def may_serve(self, now: float, longest_s: float) -> bool:
        """Whether the connection may be used for another request."""
        if self.spoiled or self.transport is None or self.transport.is_closing():
            return False
        return now - self.idle_since < min(longest_s, self.announced_idle_s)

    def close(self) -> None:
        """Close the connection."""
        self.spoiled = True
        if self.transport is not None:
            self.transport.abort()

    def abandon(self) -> None:
        """Give the request under way up and close the connection."""
        self.spoiled = True
        if self.transport is not None:
            self.unacknowledged = abandon(self.transport)

    # The parser calls the methods below.

    def on_message_begin(self) -> None:
        """Note bytes that follow a whole answer."""
        if self.complete and self._has_final_head():
            self.spoiled = True
            return
        self.headers = []
        self.status = 0
        self.complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        if not self.complete:
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Take the status over."""
        if self.complete:
            return
        self.status = self.parser.get_status_code()
        if self.is_head and self._has_final_head():
            self.complete = True
            self.spoiled = True

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if self.complete:
            return
        self.size += len(body)
        self.memory.take(len(body))
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Note the end of an answer."""
        if self.complete:
            return
        self.complete = True
        self.keeps = self.parser.should_keep_alive()

    def _reset(self, is_head: bool) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.is_head = is_head
        self.status = 0
        self.headers = []
        self._forget_body()
        self.received = 0
        self.complete = False
        self.keeps = False

    def _forget_body(self) -> None:
        self.memory.give_back(self.size)
        self.body = []
        self.size = 0

    def _excess(self, received: int) -> str:
        # An answer over a bound may have no end at all: what is left of it is not waited for.
        self.received += received
        if self.size > ANSWER_BYTES_MAX:
            return "the answer is too large"
        if not self.memory.has_room(self.size):
            return "large answers take up the memory for them"
        framing = self.received - self.size
        if framing > HEAD_BYTES_MAX + FRAMING_PER_BODY_BYTE * self.size:
            return "the answer's head or framing is too large"
        return ""

    def _has_final_head(self) -> bool:
        # The status is that of the last head that came whole; interim heads precede the answer.
        return self.status >= FIRST_FINAL_STATUS

    def _is_unframed(self) -> bool:
        names = {name.lower() for name, _ in self.headers}
        return not names & {b"content-length", b"transfer-encoding"}

    def _deliver(self) -> None:
        waiter, self.waiter = self.waiter, None
        self.idle_since = time.monotonic()
        self._read_keep_alive()
        if not self.keeps:
            self.close()
        if waiter is not None and not waiter.done():
            waiter.set_result(BackendResponse(self.status, self.headers, b"".join(self.body)))
        self._forget_body()

    def _fail(self, reason: str) -> None:
        waiter, self.waiter = self.waiter, None
        self.close()
        self._forget_body()
        if waiter is not None and not waiter.done():
            waiter.set_result(Failure(ResultCode.BACKEND_FAILED, reason))

    def _read_keep_alive(self) -> None:
        for name, value in self.headers:
            lowered = name.lower()
            if lowered == b"keep-alive" and (found := _KEEPALIVE_TIMEOUT.search(value)):
                self.announced_idle_s = int(found.group(1)) * ANNOUNCED_PART
            elif lowered == b"connection" and b"close" in value.lower():
                self.keeps = False


class BackendPool:
    """Opens connections to backend servers and keeps idle ones for a while."""

    __slots__ = ("idle", "loop", "memory", "opened")

    def __init__(self, memory: ResponseMemory | None = None) -> None:
        self.memory = memory or ResponseMemory()
        self.loop = asyncio.get_running_loop()
        self.idle: dict[str, collections.deque[BackendConnection]] = {}
        self.opened = 0

    async def acquire(self, address: str, runs_once: bool) -> BackendConnection | Failure:
        """Return an idle or a new connection.

        :param address: ``IP:port`` of the backend server.
        :param runs_once: the request may not be repeated, so that only a connection used just
            now is good enough.
        """
        now = time.monotonic()
        held = self.idle.get(address)
        while held:
            connection = held.pop()
            if connection.may_serve(now, IDLE_ONCE_S if runs_once else IDLE_S):
                return connection
            connection.close()
        return await self.open(address)

    def release(self, address: str, connection: BackendConnection) -> None:
        """Keep a connection for another request."""
        if not connection.spoiled:
            self.idle.setdefault(address, collections.deque()).append(connection)

    def close_expired(self) -> None:
        """Close connections that have idled too long."""
        now = time.monotonic()
        for address, held in list(self.idle.items()):
            while held and not held[0].may_serve(now, IDLE_S):
                held.popleft().close()
            if not held:
                del self.idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for held in self.idle.values():
            for connection in held:
                connection.close()
        self.idle.clear()

    async def open(self, address: str) -> BackendConnection | Failure:
        """Open a new connection."""
        host, _, port = address.rpartition(":")
        self.opened += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self.loop.create_connection(
                    lambda: BackendConnection(self.loop, self.memory), host, int(port)
                )
        except (OSError, TimeoutError) as error:
            return Failure(ResultCode.BACKEND_REFUSED, f"no connection: {type(error).__name__}")
        return connection


def request_head(method: str, target: str, headers: HeaderList, body_bytes: int | None) -> bytes:
    """Return the head of a request.

    :param target: path and query as the caller sent them.
    :param body_bytes: length of the body; ``None`` where there is none.
    """
    lines = [f"{method} {target} HTTP/1.1".encode("utf-8", "surrogateescape")]
    lines += [name + b": " + value for name, value in headers]
    if body_bytes is not None:
        lines.append(b"Content-Length: %d" % body_bytes)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _set_options(sock: socket.socket) -> None:
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)
