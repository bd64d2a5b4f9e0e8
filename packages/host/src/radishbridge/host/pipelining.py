"""Pipelined requests of callers' connections: run side by side, answered in their order.

``aiohttp`` parses the requests that a caller sends on a connection into a queue, and handles one
after the other. Here the handlers of queued requests with a safe method and without a body start
early, as RFC 9112, section 9.3.2 allows. Each waits for its turn before its response is written.
"""

from __future__ import annotations

import asyncio
import typing as t

from aiohttp import EMPTY_PAYLOAD, StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage, StreamWriter

# Requests of one connection that run beside the first one. Half of what ``aiohttp`` queues.
EARLY_PER_CONNECTION_MAX = 16
# Requests of all connections that run early. Each may take a descriptor for a connection to a
# server, of at least 4,100, and some 20 KB.
EARLY_PER_HOST_MAX = 128
# Bytes of finished responses that wait for their turn, and of those expected from running requests,
# from which no more requests start early: a twelfth of the memory of the smallest host, 200 MB.
HELD_BYTES_MAX = 16 * 1_048_576
# Expected size of a response before there were any, in bytes, so that the bound of requests is
# reached together with that of bytes. Usual responses have up to some hundred KB.
EXPECTED_BYTES = HELD_BYTES_MAX // EARLY_PER_HOST_MAX
# Weight of the last response in the mean size.
MEAN_WEIGHT = 0.1
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})

Handler = t.Callable[[web.BaseRequest], t.Awaitable[web.StreamResponse]]


class CountsBytes(t.Protocol):
    """A bound on the memory of responses, which counts the ones that wait for their turn."""

    def add(self, size: int) -> None:
        """Count the bytes of a response that waits."""

    def release(self, size: int) -> None:
        """Stop counting bytes."""


class QueuedRequest:
    """A request that was read while an earlier one of its connection was being answered.

    :param pipelining: counts its response while that waits for its turn.
    :param arrived_at: time in seconds at which its head was read.
    :param request: the request once it was started or its turn has come.
    :param task: runs its handler early; ``None`` if it has not started early.
    :param turn: set when the responses before it have been written.
    :param waits_to_run: it has started early but runs only when its turn has come.
    """

    __slots__ = (
        "arrived_at",
        "message",
        "payload",
        "pipelining",
        "request",
        "task",
        "turn",
        "waits_to_run",
    )

    def __init__(
        self, pipelining: Pipelining, message: RawRequestMessage, payload: StreamReader
    ) -> None:
        self.pipelining = pipelining
        self.message = message
        self.payload = payload
        self.arrived_at = pipelining.clock()
        self.request: web.BaseRequest | None = None
        self.task: asyncio.Task[web.StreamResponse] | None = None
        self.turn = asyncio.Event()
        self.waits_to_run = False

    @property
    def is_forwarded(self) -> bool:
        """Whether a server may be running the request although its turn has not come."""
        return self.task is not None and not self.waits_to_run


_QUEUED = web.RequestKey("queued", QueuedRequest)


class Pipelining:
    """Bounds of the requests that run early on all connections of a host.

    :param clock: the clock of arrival times, in seconds.
    :param may_start: returns whether requests may start early, e.g. not during a shutdown.
    :param memory: counts the bytes of responses that wait for their turn.
    :param early_max: requests of all connections that may run early, if they are fewer than
        ``EARLY_PER_HOST_MAX``. Each may take a connection to a server.
    :param running: tasks of the requests that have started early and are not answered.
    :param held: number of finished responses that wait for their turn.
    :param held_bytes: bytes of these.
    :param mean_bytes: moving mean of the sizes of responses to requests that started early.
    :param started: requests that have started early since the start.
    :param waiting: connections whose next request did not start early because of a bound.
    """

    __slots__ = (
        "clock",
        "early_max",
        "held",
        "held_bytes",
        "may_start",
        "mean_bytes",
        "memory",
        "running",
        "started",
        "waiting",
    )

    def __init__(
        self,
        clock: t.Callable[[], float],
        may_start: t.Callable[[], bool],
        memory: CountsBytes,
        early_max: int = EARLY_PER_HOST_MAX,
    ) -> None:
        self.early_max = early_max
        self.clock = clock
        self.may_start = may_start
        self.memory = memory
        self.running: set[asyncio.Task[web.StreamResponse]] = set()
        self.held = 0
        self.held_bytes = 0
        self.mean_bytes = float(EXPECTED_BYTES)
        self.started = 0
        self.waiting: dict[Pipeline, None] = {}

    def has_room(self) -> bool:
        """Return whether another request may start early within the bounds of the host."""
        expected_bytes = (len(self.running) - self.held) * self.mean_bytes
        return (
            len(self.running) < min(self.early_max, EARLY_PER_HOST_MAX)
            and self.held_bytes + expected_bytes < HELD_BYTES_MAX
        )

    def start(
        self, run: t.Coroutine[t.Any, t.Any, web.StreamResponse]
    ) -> asyncio.Task[web.StreamResponse]:
        """Run the handler of a request as a task and count it."""
        task = asyncio.create_task(run)
        self.started += 1
        self.running.add(task)
        task.add_done_callback(self._remove)
        return task

    async def hold_response(self, queued: QueuedRequest, size: int) -> None:
        """Wait until a finished response may be written.

        :param size: bytes of its body.
        """
        self.mean_bytes += MEAN_WEIGHT * (size - self.mean_bytes)
        self.held += 1
        self.held_bytes += size
        self.memory.add(size)
        try:
            await queued.turn.wait()
        finally:
            self.held -= 1
            self.held_bytes -= size
            self.memory.release(size)

    def _remove(self, task: asyncio.Task[web.StreamResponse]) -> None:
        self.running.discard(task)
        if not task.cancelled():
            # An exception counts as retrieved, also if the connection was closed before its turn.
            task.exception()
        while self.waiting and self.has_room():
            pipeline = next(iter(self.waiting))
            del self.waiting[pipeline]
            pipeline.start_queued()


class Pipeline:
    """The requests of one connection behind the one that is being answered.

    :param queued: requests whose turn has not come, by the identity of their message, in order.
    :param allows_others: the request being answered is safe, so that others may run beside it.
    :param is_closing: a response asked to close the connection. No more requests start early, and
        the connection closes after the response of the last one that was forwarded.
    """

    __slots__ = ("allows_others", "connection", "handler", "is_closing", "pipelining", "queued")

    def __init__(
        self, pipelining: Pipelining, connection: web.RequestHandler, handler: Handler
    ) -> None:
        self.pipelining = pipelining
        self.connection = connection
        self.handler = handler
        self.queued: dict[int, QueuedRequest] = {}
        self.allows_others = False
        self.is_closing = False

    @property
    def started(self) -> int:
        """Number of requests that have started early and whose turn has not come."""
        return sum(queued.task is not None for queued in self.queued.values())

    def record_arrivals(self) -> None:
        """Record the arrival of requests that were just queued, and start those that may run."""
        messages = self.connection._messages
        is_idle = self.connection._waiter is not None
        if is_idle:
            # The first message is the next to be answered.
            self.allows_others = False
            if len(messages) == 1:
                return
        for position, (message, payload) in enumerate(messages):
            if id(message) in self.queued or (is_idle and position == 0):
                continue
            if isinstance(message, RawRequestMessage):
                self.queued[id(message)] = QueuedRequest(self.pipelining, message, payload)
        self.start_queued()

    def take(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        """Return the request of a message whose turn has come."""
        self.allows_others = _is_safe(message, payload) and not message.should_close
        queued = self.queued.get(id(message))
        if queued is None:
            return self._create_request(message, payload, writer, task)
        if queued.request is None:
            queued.request = self._create_request(message, payload, writer, task)
            queued.request[_QUEUED] = queued
        return queued.request

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the response of the request whose turn has come."""
        queued = _queued(request)
        if queued is not None:
            self.queued.pop(id(queued.message), None)
            queued.request = None
            queued.turn.set()
        self.start_queued()
        if queued is None or queued.task is None:
            response = await self.handler(request)
        else:
            response = await queued.task
        self.settle_close(response)
        return response

    def start_queued(self) -> None:
        """Start the queued requests that may run beside the one being answered."""
        connection = self.connection
        if not self.allows_others or self.is_closing or not self.pipelining.may_start():
            return
        if connection._close or connection._force_close:
            return
        for position, queued in enumerate(self.queued.values()):
            if queued.task is None:
                if position >= EARLY_PER_CONNECTION_MAX:
                    return
                if not _is_safe(queued.message, queued.payload):
                    return
                if not self.pipelining.has_room():
                    self.pipelining.waiting[self] = None
                    return
                self._start(queued)
            if queued.message.should_close:
                return

    def settle_close(self, response: web.StreamResponse) -> None:
        """Keep the connection open after a response if requests behind it were forwarded."""
        if response.keep_alive is False:
            self.is_closing = True
        if not self.is_closing:
            return
        if any(queued.is_forwarded for queued in self.queued.values()):
            response._keep_alive = None
        else:
            response.force_close()

    def cancel(self) -> None:
        """Cancel all requests after the connection was closed."""
        self.is_closing = True
        self.pipelining.waiting.pop(self, None)
        for queued in self.queued.values():
            queued.request = None
            if queued.task is not None:
                queued.task.cancel()
        self.queued.clear()

    def _start(self, queued: QueuedRequest) -> None:
        connection = self.connection
        writer = StreamWriter(connection, connection._loop)
        task = t.cast("asyncio.Task[None]", connection._task_handler)
        request = self._create_request(queued.message, queued.payload, writer, task)
        request[_QUEUED] = queued
        queued.request = request
        queued.task = self.pipelining.start(self._run(request))

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        return await self.handler(request)

    def _create_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        connection = self.connection
        return web.BaseRequest(message, payload, connection, writer, task, connection._loop)


def arrival_time(request: web.BaseRequest, now: float) -> float:
    """Return when a request's head was read, or ``now`` for one that did not wait for others."""
    queued = _queued(request)
    return now if queued is None else queued.arrived_at


async def wait_to_run(request: web.BaseRequest) -> None:
    """Wait until the responses before a request have been written, before it runs."""
    queued = _queued(request)
    if queued is not None and not queued.turn.is_set():
        queued.waits_to_run = True
        await queued.turn.wait()


async def wait_to_respond(request: web.BaseRequest, size: int) -> None:
    """Wait until the responses before that of a request have been written.

    :param size: bytes of the response's body.
    """
    queued = _queued(request)
    if queued is not None and not queued.turn.is_set():
        await queued.pipelining.hold_response(queued, size)


def _queued(request: web.BaseRequest) -> QueuedRequest | None:
    return request.get(_QUEUED)


def _is_safe(message: RawRequestMessage, payload: StreamReader) -> bool:
    return message.method in SAFE_METHODS and payload is EMPTY_PAYLOAD and not message.upgrade
