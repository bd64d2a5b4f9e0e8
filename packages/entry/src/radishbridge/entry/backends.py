"""Connections to backend servers, each with one request at a time and without retries.

``httptools`` parses responses. It does not handle bytes that follow a response, a response without
a length that a reset cut short, or the idle time of connections; this module does.
"""

from __future__ import annotations

import asyncio
import collections
import math
import re
import typing as t

import httptools

from radishbridge.entry import uptime
from radishbridge.entry.idle import ANNOUNCED_IDLE_FRACTION, DROP_NOTICED_S, IDLE_MAX_S, IdleRules
from radishbridge.entry.memory import ResponseMemory
from radishbridge.entry.sent_ids import SentIds
from radishbridge.entry.socket_options import set_socket_options
from radishbridge.host.sockets import abandon
from radishbridge.records import Failure, ResultCode

# A new connection takes one round trip, at most some 50 ms between regions. The rest allows for a
# lost packet, which the kernel retransmits after about 0.2 s on paths that it knows.
CONNECT_TIMEOUT_S = 0.6
# Largest response that is buffered; the usual ones have up to some hundred KB.
RESPONSE_BYTES_MAX = 16 * 1_048_576
# Bytes of a response outside of its body: heads, trailers and chunk framing. The first bound is
# twice what common servers allow for a head; the second suffices for chunks of one byte.
HEAD_BYTES_MAX = 65_536
FRAMING_PER_BODY_BYTE = 8
# Request ids that a connection remembers. The next request on it reads a late copy of a response,
# and one with another id closes it, so that a few are enough.
CARRIED_IDS = 8
FIRST_FINAL_STATUS = 200
SWITCHING_PROTOCOLS = 101
# A status line inside a head: the rest of a response that broke off runs into the next one.
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")
_KEEPALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")

HeaderList = list[tuple[bytes, bytes]]
HeadListener = t.Callable[[int, HeaderList], None]


def _ignore_head(status: int, headers: HeaderList) -> None:
    """Listen to no heads."""


class BackendResponse:
    """A complete response of a backend server."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: HeaderList, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class BackendConnection(asyncio.Protocol):
    """One connection to a backend server.

    :param memory: buffered bytes of unfinished responses over all connections.
    :param must_close: the connection can't serve another request.
    :param unacknowledged_bytes: bytes that the server had not acknowledged when the request was
        abandoned; ``None`` before that, or if the kernel can't tell.
    :param idle_since: monotonic time of the last response, or of the connection's creation.
    :param idle_before_s: how long it was idle before the current request; 0 for its first one.
    :param may_idle_long: it belongs to a service in ``IdleRules.long_idle_services``.
    :param announced_idle_s: idle time that the server's ``Keep-Alive`` header announces; ``None``
        if it announces none.
    :param lost_unanswered: it broke before any byte of the response.
    :param on_head: called with status and headers of a final response, before its body is in.
    :param received_bytes: bytes received for the current request, head and framing included.
    :param requests: requests sent on the connection.
    :param is_spliced: the head holds the status line of another response.
    :param carried_ids: hashes of the ids of its last requests; ids may be long.
    :param body_bytes: bytes of the response's body received so far.
    """

    __slots__ = (
        "announced_idle_s",
        "body",
        "body_bytes",
        "carried_ids",
        "complete",
        "headers",
        "idle_before_s",
        "idle_since",
        "is_head_request",
        "is_spliced",
        "keep_alive",
        "loop",
        "lost_unanswered",
        "may_idle_long",
        "memory",
        "must_close",
        "on_head",
        "parser",
        "received_bytes",
        "requests",
        "status",
        "transport",
        "unacknowledged_bytes",
        "waiter",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop, memory: ResponseMemory) -> None:
        self.loop = loop
        self.memory = memory
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future[BackendResponse | Failure] | None = None
        self.must_close = False
        self.unacknowledged_bytes: int | None = None
        self.idle_since = uptime.now()
        self.idle_before_s = 0.0
        self.may_idle_long = False
        self.announced_idle_s: float | None = None
        self.lost_unanswered = False
        self.parser = httptools.HttpResponseParser(self)
        self.is_head_request = False
        self.on_head: HeadListener = _ignore_head
        self.status = 0
        self.headers: HeaderList = []
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.received_bytes = 0
        self.requests = 0
        self.is_spliced = False
        self.carried_ids: collections.deque[int] = collections.deque(maxlen=CARRIED_IDS)
        self.complete = False
        self.keep_alive = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options."""
        self.transport = t.cast("asyncio.Transport", transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_socket_options(sock)

    @property
    def descriptor(self) -> int:
        """The connection's descriptor: as many are in use, since the kernel takes the lowest."""
        sock = None if self.transport is None else self.transport.get_extra_info("socket")
        return -1 if sock is None else int(sock.fileno())

    def data_received(self, data: bytes) -> None:
        """Parse a part of a response; close the connection if no request waits for one."""
        if self.waiter is None:
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            # Bytes after a complete response belong to no request: the response stays valid, but
            # the connection is not reused.
            self.must_close = True
            if not self.complete:
                self._fail(f"invalid response: {type(error).__name__}")
                return
        if self.is_spliced:
            self._fail("the head holds the status line of another response")
            return
        if self.complete and self._has_final_status():
            self._deliver()
            return
        if self.status == SWITCHING_PROTOCOLS:
            self._fail("the server switched protocols without being asked to")
            return
        exceeded = self._exceeded_limit(len(data))
        if exceeded:
            self._fail(exceeded)
        self.memory.enforce_limit()

    def eof_received(self) -> bool:
        """Complete a response without a length, which an orderly close ends."""
        if self.waiter is not None and self._has_final_status() and self._lacks_length():
            self.keep_alive = False
            self._deliver()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in flight."""
        self.must_close = True
        self.lost_unanswered = self.waiter is not None and not self.received_bytes
        self._fail("the connection was reset" if exc else "the connection was closed")

    async def exchange(
        self,
        head: bytes,
        body: bytes,
        is_head_request: bool,
        on_head: HeadListener = _ignore_head,
        request_id: str = "",
    ) -> BackendResponse | Failure:
        """Send one request and return its response; cancellation closes the connection.

        :param request_id: kept, so that no other request with the id uses the connection.
        """
        assert self.transport is not None
        self._reset_response(is_head_request)
        self.requests += 1
        self.carried_ids.append(hash(request_id))
        self.on_head = on_head
        self.waiter = self.loop.create_future()
        self.transport.write(head + body)
        try:
            return await self.waiter
        except asyncio.CancelledError:
            self.abandon()
            raise

    def is_reusable(
        self, now: float, idle_max_s: float, fraction: float = ANNOUNCED_IDLE_FRACTION
    ) -> bool:
        """Return whether the connection may be used for another request.

        :param idle_max_s: longest idle time allowed, unless the server announced a shorter one.
        :param fraction: part of the announced idle time that is allowed.
        """
        if self.must_close or self.transport is None or self.transport.is_closing():
            return False
        announced_s = self.announced_idle_s
        allowed_s = IDLE_MAX_S if announced_s is None else announced_s * fraction
        return now - self.idle_since < min(idle_max_s, allowed_s)

    def was_dropped_while_idle(self, sent_at: float, now: float) -> bool:
        """Return whether a long idle connection broke as soon as a request was sent on it.

        :param sent_at: monotonic time in seconds at which the request was sent.
        """
        is_long = self.idle_before_s >= IDLE_MAX_S
        return is_long and self.lost_unanswered and now - sent_at < DROP_NOTICED_S

    def close(self) -> None:
        """Close the connection."""
        self.must_close = True
        if self.transport is not None:
            self.transport.abort()

    def abandon(self) -> None:
        """Give up the request in flight and close the connection."""
        self.must_close = True
        if self.transport is not None:
            self.unacknowledged_bytes = abandon(self.transport)

    def abort_response(self, reason: str) -> None:
        """Stop receiving the response, close the connection and release its memory."""
        self._fail(reason)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a response, or an interim one; detect bytes that follow a complete response."""
        if self.complete and self._has_final_status():
            self.must_close = True
            return
        self.headers = []
        self.status = 0
        self.complete = False

    def on_status(self, reason: bytes) -> None:
        """Check the reason of a status line."""
        if not self.complete:
            self._detect_status_line(reason)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header of the response's head; trailers come after its status is known."""
        if not (self.complete or self.status):
            self.headers.append((name, value))
            self._detect_status_line(value)

    def on_headers_complete(self) -> None:
        """Store the status; a response to a HEAD request is complete with its head."""
        if self.complete:
            return
        self.status = self.parser.get_status_code()
        if self.waiter is not None and self._has_final_status():
            self.on_head(self.status, self.headers)
        if self.is_head_request and self._has_final_status():
            self.complete = True
            self.must_close = True

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if self.complete:
            return
        self.body_bytes += len(body)
        self.memory.add(len(body))
        self.memory.unfinished.add(self)
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        if self.complete:
            return
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()

    def _reset_response(self, is_head_request: bool) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.is_head_request = is_head_request
        self.status = 0
        self.headers = []
        self._discard_body()
        self.received_bytes = 0
        self.is_spliced = False
        self.complete = False
        self.keep_alive = False

    def _detect_status_line(self, text: bytes) -> None:
        if b"HTTP/" in text and _STATUS_LINE.search(text):
            self.is_spliced = True

    def _discard_body(self) -> None:
        self.memory.release(self.body_bytes)
        self.memory.unfinished.discard(self)
        self.body = []
        self.body_bytes = 0

    def _exceeded_limit(self, size: int) -> str:
        # A response over a limit may be endless, so that the rest of it is not read.
        self.received_bytes += size
        if self.body_bytes > RESPONSE_BYTES_MAX:
            return "the response is too large"
        if not self.memory.allows(self.body_bytes):
            return "large responses use up the response memory"
        framing_bytes = self.received_bytes - self.body_bytes
        if framing_bytes > HEAD_BYTES_MAX + FRAMING_PER_BODY_BYTE * self.body_bytes:
            return "the response head or framing is too large"
        return ""

    def _has_final_status(self) -> bool:
        # The status is that of the last complete head. Interim responses (1xx) come before the
        # final one.
        return self.status >= FIRST_FINAL_STATUS

    def _lacks_length(self) -> bool:
        names = {name.lower() for name, _ in self.headers}
        return not names & {b"content-length", b"transfer-encoding"}

    def _has_unsent_bytes(self) -> bool:
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def _deliver(self) -> None:
        waiter, self.waiter = self.waiter, None
        self.idle_since = uptime.now()
        self._read_keep_alive()
        # A server that answers before it has the whole request need not read the rest.
        if not self.keep_alive or self._has_unsent_bytes():
            self.close()
        if waiter is not None and not waiter.done():
            waiter.set_result(BackendResponse(self.status, self.headers, b"".join(self.body)))
        self._discard_body()

    def _fail(self, reason: str) -> None:
        waiter, self.waiter = self.waiter, None
        self.close()
        self._discard_body()
        if waiter is not None and not waiter.done():
            waiter.set_result(Failure(ResultCode.BACKEND_FAILED, reason))

    def _read_keep_alive(self) -> None:
        for name, value in self.headers:
            lowered = name.lower()
            if lowered == b"keep-alive" and (found := _KEEPALIVE_TIMEOUT.search(value)):
                # Unlike ``int``, ``float`` accepts any number of digits.
                self.announced_idle_s = float(found.group(1))
            elif lowered == b"connection" and b"close" in value.lower():
                self.keep_alive = False


class BackendPool:
    """Opens connections to backend servers and keeps idle ones for reuse.

    :param idle: idle connections by address, the one used last at the end.
    :param opened: connections opened since the start, failed ones included.
    :param acquired: requests that asked for a connection since the start.
    :param rules: how long connections may be idle.
    :param sent_ids: ids of the requests that were sent lately.
    :param idle_descriptors_max: descriptors of the process above which none is kept idle.
    """

    __slots__ = (
        "acquired",
        "idle",
        "idle_descriptors_max",
        "loop",
        "memory",
        "opened",
        "rules",
        "sent_ids",
    )

    def __init__(
        self, memory: ResponseMemory | None = None, idle_descriptors_max: float = math.inf
    ) -> None:
        self.memory = memory or ResponseMemory()
        self.idle_descriptors_max = idle_descriptors_max
        self.loop = asyncio.get_running_loop()
        self.idle: dict[str, collections.deque[BackendConnection]] = {}
        self.opened = 0
        self.acquired = 0
        self.rules = IdleRules()
        self.sent_ids = SentIds()

    async def acquire(
        self, address: str, at_most_once: bool, request_id: str = ""
    ) -> BackendConnection | Failure:
        """Return an idle or a new connection.

        A connection that has carried a request with the same id is closed: a late copy of that
        request's response would be taken for the response to this one.

        :param address: ``IP:port`` of the backend server.
        :param at_most_once: the request may not be retried, so that only a connection that was
            used very recently is reused.
        :param request_id: id of the request; empty if it has none.
        """
        now = uptime.now()
        self.acquired += 1
        connections = self.idle.get(address)
        while connections:
            connection = connections[-1]
            if request_id and hash(request_id) in connection.carried_ids:
                connections.pop().close()
                continue
            if self.rules.is_reusable(address, connection, now, at_most_once):
                connection.idle_before_s = now - connection.idle_since
                return connections.pop()
            if connection.may_idle_long and self.rules.is_reusable(address, connection, now):
                # A later request that is repeatable may use it.
                break
            connections.pop().close()
        return await self.open(address)

    def has_idle(self, address: str) -> bool:
        """Return whether a repeatable request to a server would need no new connection."""
        connections = self.idle.get(address)
        if not connections:
            return False
        return self.rules.is_reusable(address, connections[-1], uptime.now())

    def new_per_1000(self) -> float:
        """Return the connections opened per 1,000 requests since the start."""
        return 1000.0 * self.opened / self.acquired if self.acquired else 0.0

    def release(self, address: str, connection: BackendConnection) -> None:
        """Keep a connection for another request, unless it must be closed."""
        if connection.must_close or connection.descriptor >= self.idle_descriptors_max:
            connection.close()
        else:
            self.idle.setdefault(address, collections.deque()).append(connection)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a server that gets no more requests."""
        self.rules.dropping.discard(address)
        for connection in self.idle.pop(address, ()):
            connection.close()

    def close_expired(self) -> None:
        """Close connections that were idle for too long."""
        now = uptime.now()
        for address, connections in list(self.idle.items()):
            while connections and not self.rules.may_stay(address, connections, now):
                connections.popleft().close()
            if not connections:
                del self.idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self.idle.values():
            for connection in connections:
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
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            # The last two are for an address that is none.
            return Failure(ResultCode.BACKEND_REFUSED, f"connection failed: {type(error).__name__}")
        return connection


def request_head(method: str, target: str, headers: HeaderList, body_bytes: int | None) -> bytes:
    """Return the head of a request.

    :param target: path and query as the caller sent them.
    :param body_bytes: length of the body; ``None`` if there is no body.
    """
    lines = [f"{method} {target} HTTP/1.1".encode("utf-8", "surrogateescape")]
    lines += [name + b": " + value for name, value in headers]
    if body_bytes is not None:
        lines.append(b"Content-Length: %d" % body_bytes)
    return b"\r\n".join(lines) + b"\r\n\r\n"
