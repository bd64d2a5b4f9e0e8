"""Connections of clients that nobody controls: bounds on what they send, hold and leave unread."""

from __future__ import annotations

import asyncio
import collections
import time
import typing as t

from aiohttp import web
from aiohttp.http_exceptions import BadHttpMessage, HttpProcessingError, LineTooLong
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

# The parser's errors are queued like requests, so that they are answered in order.
from aiohttp.web_protocol import _ErrInfo

from radishbridge.host.admission import Occupancy
from radishbridge.host.client_memory import ClientMemory, ExcessLog
from radishbridge.host.framing import Excess, Framing, Part
from radishbridge.host.sockets import reset

BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
HEAD_TOO_LARGE = 431
# Statuses of requests that ended because of their own bytes, after which callers do not repeat
# them. A connection with only such responses is closed before others.
REFUSED_STATUSES = frozenset({BAD_REQUEST, 401, 404, 413, HEAD_TOO_LARGE})
# Bytes read from a connection at a time. The 256 KB of asyncio for each of many clients fragment
# the heap far beyond what is held; with 64 KB the kernel keeps its window so small that it does not
# see the disconnect of a caller that sends a body of 900 KB.
READ_BYTES = 131_072
# Half of the body bytes that are buffered before a connection is read no more.
BODY_BUFFER_BYTES = 131_072
# Refused requests of which more than this is to come are not read to their end.
DISCARDED_BYTES_MIN = 65_536
# Requests of a connection that are parsed before the first of them is answered, and their memory.
# Ordinary heads cost some 10 KB; further ones wait unparsed, and nothing is refused.
QUEUED_REQUESTS_MAX = 16
QUEUED_COST_MAX_BYTES = 131_072
# Bytes of unread responses that are counted while the client reads at a useful pace. aiohttp waits
# with further responses on the connection while there are more.
UNREAD_COUNTED_BYTES = 65_536
# A response is not read at a useful pace if less than this many bytes are read in each interval of
# the checks (8 KB a second), in this many intervals in a row.
UNREAD_PROGRESS_BYTES = 4_096
STALLED_SWEEPS = 4
# What a connection may hold without being counted: a request of some ten fields. All callers'
# connections of the smallest host together hold 10 MB at most this way.
UNCOUNTED_BYTES = 8_192
# Memory of a part of a buffered body over its own bytes.
CHUNK_COST_BYTES = 128
# The parser's own limits are off; ``Framing`` bounds the bytes.
UNLIMITED = 2**31 - 1
# Thirty days: aiohttp's own timeout does not tell a part of a head from an idle connection.
KEEPALIVE_S = 2_592_000.0
# Interval in seconds of the checks for timeouts. Each counts one interval at most, so that a
# process that was suspended reads what has arrived meanwhile before it closes connections.
SWEEP_INTERVAL_S = 0.5
# Callers reuse connections that have been idle for up to four fifths of the limit; the factor
# leaves room for slow links.
IDLE_FACTOR = 1.25
# Added to all timeouts in seconds: the checks are coarse.
TIMEOUT_MARGIN_S = 2.0 * SWEEP_INTERVAL_S

Handler = t.Callable[[web.BaseRequest], t.Awaitable[web.StreamResponse]]


class ClientLimits(t.NamedTuple):
    """Limits on what a client sends.

    :param header_bytes: size of a head in bytes.
    :param header_s: seconds from a head's first byte, or the end of the response before it, to
        its end.
    :param idle_s: seconds that a connection may be idle, or a response unread.
    """

    header_bytes: int
    header_s: float
    idle_s: float


class BoundedConnection(web.RequestHandler):
    """One connection of a client.

    :param answering: number of requests whose turn it is, 0 or 1.
    :param pending: received bytes that are not parsed yet.
    :param is_broken: nothing more is read, since the bytes are malformed or over a limit.
    :param head_since: time of the server's clock at which the head in progress began.
    :param idle_since: the same for the end of the last response.
    """

    __slots__ = (
        "_body",
        "_framing",
        "_head_costs",
        "_is_counted",
        "_queued_cost",
        "_server",
        "_stalled_sweeps",
        "_unread",
        "_unread_since",
        "answering",
        "head_since",
        "idle_since",
        "is_broken",
        "pending",
    )

    def __init__(self, server: BoundedServer, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(server, loop=loop, **server.options)
        self._server = server
        self._framing = Framing(server.client_limits().header_bytes)
        self._body: StreamReader = EMPTY_PAYLOAD
        self._head_costs: collections.deque[int] = collections.deque()
        self._queued_cost = 0
        self._is_counted = False
        self._stalled_sweeps = 0
        self._unread = 0
        self._unread_since = server.now
        self.head_since = self.idle_since = server.now
        self.answering = 0
        self.is_broken = False
        self.pending = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close another connection if there are too many."""
        if hasattr(transport, "max_size"):
            transport.max_size = READ_BYTES
        super().connection_made(transport)
        self._server.add_connection(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop counting the connection."""
        super().connection_lost(exc)
        self._release()
        self._server.remove_connection(self)

    def _release(self) -> None:
        # Connection, task and request refer to each other, so that only the cyclic garbage
        # collector would release these.
        self.pending = b""
        self._messages.clear()
        if not self._body.is_eof():
            self._body._buffer.clear()
            self._body._size = 0

    @property
    def in_flight(self) -> int:
        """Number of requests that are being answered."""
        return self.answering

    @property
    def has_request(self) -> bool:
        """Whether a request has been read that is not answered, or whose body is to come."""
        return bool(self.in_flight or self._messages or not self._body.is_eof())

    @property
    def held_bytes(self) -> int:
        """Bytes that are held for the connection now."""
        unread = 0 if self.transport is None else self.transport.get_write_buffer_size()
        if self._stalled_sweeps < STALLED_SWEEPS:
            # Large responses to slow callers are delivered, however many there are.
            unread = min(unread, UNREAD_COUNTED_BYTES)
        return (
            len(self.pending)
            + self._framing.head_cost_bytes
            + self._queued_cost
            + getattr(self._body, "_size", 0)
            + CHUNK_COST_BYTES * len(getattr(self._body, "_buffer", ()))
            + unread
        )

    @property
    def descriptor(self) -> int:
        """The connection's descriptor: as many are in use, since the kernel takes the lowest."""
        sock = None if self.transport is None else self.transport.get_extra_info("socket")
        return -1 if sock is None else int(sock.fileno())

    @property
    def peer_text(self) -> str:
        """Address of the client."""
        return str(self.peername)

    def abort(self) -> None:
        """Reset the connection and cancel the requests on it."""
        if self.transport is not None:
            reset(self.transport)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived, piece by piece; keep what may not be parsed yet."""
        if self._force_close or self._close or self.is_broken:
            return
        if not data:
            # Reading is resumed; the parser may have kept a part of a body.
            super().data_received(data)
        elif not self.pending and not self._must_wait() and self._framing.is_one_head(data):
            self.head_since = self._server.now
            self._parse(data)
            self._update_memory()
            return
        data = self.pending + data if self.pending else data
        end = self._feed(data)
        self.pending = data[end:]
        if self.pending:
            if self._reading_paused:
                self._buffer_paused = False
            else:
                self._pause_reading_for_buffer()
        elif self._buffer_paused:
            self._resume_reading_for_buffer()
        self._update_memory()

    def _resume_reading_for_buffer(self) -> None:
        if not self.pending and not self.is_broken:
            super()._resume_reading_for_buffer()

    def _feed(self, data: bytes) -> int:
        position = 0
        framing = self._framing
        while position < len(data):
            if self.is_broken or self._close or self._force_close:
                return len(data)
            if self._must_wait():
                return position
            start = framing.skip_empty_lines(data, position)
            if isinstance(start, Excess):
                self._refuse(start)
                return len(data)
            if start == len(data):
                return start
            if framing.part is Part.HEAD and not framing.head_bytes:
                self.head_since = self._server.now
            end = framing.take(data, start)
            if isinstance(end, Excess):
                self._refuse(end)
                return len(data)
            self._parse(data[start:end])
            position = end
        return position

    def _must_wait(self) -> bool:
        if self._reading_paused or self._upgraded:
            return True
        if self._framing.part is not Part.HEAD:
            return False
        return len(self._messages) >= QUEUED_REQUESTS_MAX or (
            self._queued_cost >= QUEUED_COST_MAX_BYTES
        )

    def _parse(self, piece: bytes) -> None:
        count = self._request_count
        super().data_received(piece)
        if self._request_count == count:
            return
        message, payload = self._messages[-1]
        if not isinstance(message, RawRequestMessage):
            self._end_malformed(message.exc)
            return
        cost = self._framing.head_cost_bytes
        self._head_costs.append(cost)
        self._queued_cost += cost
        self._framing.end_head()
        self._body = payload
        if payload is not EMPTY_PAYLOAD:
            length = None if message.chunked else int(message.headers.get("Content-Length", 0))
            self._framing.begin_body(length)

    def _end_malformed(self, error: BaseException) -> None:
        # The traceback of the parser's error refers to the bytes and to itself, so that only the
        # cyclic garbage collector would release them; its message quotes them.
        kind = LineTooLong(b"", 0) if isinstance(error, LineTooLong) else BadHttpMessage("")
        self._messages.pop()
        self._end_broken(BAD_REQUEST, kind)

    def _refuse(self, excess: Excess) -> None:
        self._server.excess_log.record(
            excess.value, self.peer_text, self.held_bytes, "refused", time.monotonic()
        )
        status = HEAD_TOO_LARGE if excess is Excess.HEAD else BAD_REQUEST
        self._end_broken(status, BadHttpMessage(""))

    def _end_broken(self, status: int, error: HttpProcessingError) -> None:
        self.is_broken = True
        self._pause_reading_for_buffer()
        if not self._body.is_eof():
            # The request to which the body belongs is still to be answered, after those before it,
            # and says what is wrong.
            is_queued = any(payload is self._body for _, payload in self._messages)
            self._close |= not is_queued
            self._body.set_exception(web.RequestPayloadError("the body is malformed"))
            self._body.feed_eof()
            return
        self._messages.append((_ErrInfo(status, error, ""), EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def log_exception(self, *args: t.Any, **kwargs: t.Any) -> None:
        """Log an error of the program; a malformed body whose response was written is none."""
        if not isinstance(kwargs.get("exc_info"), web.RequestPayloadError):
            super().log_exception(*args, **kwargs)

    def closes_after(self, request: web.BaseRequest, is_refused: bool) -> bool:
        """Return whether the connection closes after a response because of the request's body.

        It does if the body is malformed. What still comes of the body of a refused request is
        dropped if it is long or may be.
        """
        body = request.content
        if self.is_broken and body.exception() is not None:
            return True
        # The body that is being received may be that of a later request.
        if is_refused and body is self._body and not body.is_eof():
            self._close |= self._framing.body_bytes_left > DISCARDED_BYTES_MIN
        return self._close

    def begin_request(self) -> None:
        """Count a request that is being answered."""
        self.answering += 1

    def end_request(self) -> None:
        """Stop counting a request, and parse the next one if it had to wait for this."""
        self.answering -= 1
        self.idle_since = self._server.now
        if self._body is not EMPTY_PAYLOAD and self._body.at_eof():
            self._body = EMPTY_PAYLOAD
        if self._head_costs:
            self._queued_cost -= self._head_costs.popleft()
        if self._buffer_paused and not self._force_close:
            self._resume_reading_if_drained()
        self._update_memory()

    def _update_memory(self) -> None:
        # Most requests hold little, and are not counted.
        if (
            self._is_counted
            or self._body is not EMPTY_PAYLOAD
            or len(self.pending) + self._queued_cost + self._framing.head_cost_bytes
            > UNCOUNTED_BYTES
        ):
            self._is_counted = self._server.update_memory(self)

    def check_timeouts(self, now: float, limits: ClientLimits) -> None:
        """End the connection if its client is too slow.

        :param now: time of the server's clock.
        """
        transport = self.transport
        if transport is None:
            return
        self._framing.head_bytes_max = limits.header_bytes
        unread = transport.get_write_buffer_size()
        is_stalled = unread > 0 and self._unread - unread < UNREAD_PROGRESS_BYTES
        self._stalled_sweeps = self._stalled_sweeps + 1 if is_stalled else 0
        if unread:
            self._is_counted = self._server.update_memory(self)
        if not unread or unread != self._unread:
            self._unread, self._unread_since = unread, now
        idle_s = IDLE_FACTOR * limits.idle_s + TIMEOUT_MARGIN_S
        if unread:
            if now - self._unread_since > idle_s:
                self._record_timeout("response not read", "reset")
                self.abort()
        elif self.in_flight or self._messages or self.is_broken:
            self.idle_since = now
            self.head_since = now
        elif self._framing.part is not Part.HEAD:
            self.idle_since = now
        elif self._framing.head_bytes:
            if now - self.head_since > limits.header_s + TIMEOUT_MARGIN_S:
                self._record_timeout("head timeout", "refused")
                self._end_broken(REQUEST_TIMEOUT, BadHttpMessage(""))
        elif now - self.idle_since > idle_s:
            self.force_close()

    def _record_timeout(self, cause: str, action: str) -> None:
        self._server.excess_log.record(
            cause, self.peer_text, self.held_bytes, action, time.monotonic()
        )


class BoundedServer(web.Server):
    """Creates the handlers of clients' connections, and bounds them.

    :param handler: answers one request.
    :param client_limits: returns the limits in force.
    :param memory: counts the bytes held for clients of all addresses.
    :param connections_max: connections above which others are closed.
    :param descriptors_max: descriptors of the process above which others are closed.
    :param busy: connections on which a request is being answered.
    :param now: seconds since the start without suspensions, advanced by ``sweep``.
    """

    connection_type: type[BoundedConnection] = BoundedConnection

    def __init__(
        self,
        handler: Handler,
        client_limits: t.Callable[[], ClientLimits],
        memory: ClientMemory | None = None,
        connections_max: int = UNLIMITED,
        descriptors_max: int = UNLIMITED,
        **options: t.Any,
    ) -> None:
        super().__init__(self._handle, handler_cancellation=True)
        self.handler = handler
        self.client_limits = client_limits
        self.memory = memory or ClientMemory(ExcessLog())
        self.excess_log = self.memory.excess_log
        self.connections_max = connections_max
        self.descriptors_max = descriptors_max
        self.options: dict[str, t.Any] = {
            "access_log": None,
            "auto_decompress": False,
            # ``sweep`` closes idle connections earlier.
            "keepalive_timeout": KEEPALIVE_S,
            "max_field_size": UNLIMITED,
            "max_headers": UNLIMITED,
            "max_line_size": UNLIMITED,
            "read_bufsize": BODY_BUFFER_BYTES,
            **options,
        }
        self.occupancy: Occupancy[BoundedConnection] = Occupancy()
        self.now = 0.0
        self._swept_at = time.monotonic()

    @property
    def busy(self) -> set[BoundedConnection]:
        """Connections on which a request is being answered."""
        return self.occupancy.busy

    def __call__(self) -> web.RequestHandler:
        """Return the handler of a new connection."""
        return self.connection_type(self, asyncio.get_running_loop())

    def add_connection(self, connection: BoundedConnection) -> None:
        """Count a connection that was accepted; reset another one if there are too many."""
        self.occupancy.add(connection)
        if (
            len(self.occupancy) <= self.connections_max
            and connection.descriptor < self.descriptors_max
        ):
            return
        closed = self.occupancy.first_to_close() or connection
        self.excess_log.record(
            "connections", closed.peer_text, closed.held_bytes, "reset", time.monotonic()
        )
        self.occupancy.remove(closed)
        closed.abort()

    def remove_connection(self, connection: BoundedConnection) -> None:
        """Stop counting a connection that was closed."""
        self.occupancy.remove(connection)
        self.memory.remove(connection)

    def update_memory(self, connection: BoundedConnection) -> bool:
        """Count the bytes that are held for a connection now; return whether there are any."""
        if connection.transport is None:
            return False
        return self.memory.update(connection, time.monotonic())

    def sweep(self) -> None:
        """Check all connections for timeouts."""
        now = time.monotonic()
        self.now += min(now - self._swept_at, SWEEP_INTERVAL_S)
        self._swept_at = now
        limits = self.client_limits()
        for connection in list(self.connections):
            if isinstance(connection, BoundedConnection):
                connection.check_timeouts(self.now, limits)

    async def watch_clients(self) -> None:
        """Check for timeouts until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.sweep()

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        return await self.handler(request)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        if not isinstance(connection, BoundedConnection):
            return await self.handler(request)
        connection.begin_request()
        self.occupancy.begin(connection)
        is_served = False
        try:
            response = await self._respond(request)
            is_served = response.status not in REFUSED_STATUSES
            if connection.closes_after(request, not is_served):
                response.force_close()
            return response
        finally:
            connection.end_request()
            if not connection.in_flight:
                self.occupancy.end(connection, is_served)
