"""Callers' connections: timeouts, malformed requests, and a limit for each workspace."""

from __future__ import annotations

import asyncio
import logging
import typing as t

from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import LineTooLong

from radishbridge.host.pipelining import Handler, Pipeline, Pipelining, split_requests
from radishbridge.host.problem import problem_response
from radishbridge.host.sockets import is_closed_by_peer, reset
from radishbridge.records import Failure, LimitSettings, ResultCode

MAX_HEADERS = 100
LINGER_TIMEOUT_S = 2.0
# Interval of the check for disconnected callers. A disconnect must be detected well within half a
# second.
DISCONNECT_POLL_S = 0.1
BAD_REQUEST = 400

logger = logging.getLogger(__name__)


class CallerConnection(web.RequestHandler):
    """One connection of a caller.

    :param workspace: workspace of the last request with a key, empty before the first one.
    :param answering: number of requests whose turn it is, 0 or 1.
    :param pipeline: the requests behind that one; ``None`` if they do not start early.
    """

    __slots__ = ("answering", "on_closed", "pipeline", "workspace")

    def __init__(self, server: CallerServer, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(server, loop=loop, **server.options)
        self.workspace = ""
        self.answering = 0
        self.on_closed = server.remove_connection
        self.pipeline: Pipeline | None = None
        if server.pipelining is not None:
            self.pipeline = Pipeline(server.pipelining, self, server.handler)

    @property
    def in_flight(self) -> int:
        """Number of requests that are being answered, with those that have started early."""
        return self.answering + (0 if self.pipeline is None else self.pipeline.started)

    def data_received(self, data: bytes) -> None:
        """Parse requests, and start those that may run beside the one being answered."""
        if self.pipeline is None:
            super().data_received(data)
            return
        for part in split_requests(data) or [data]:
            super().data_received(part)
            if self.pipeline.has_parse_error:
                break
        if self._messages:
            self.pipeline.record_arrivals()

    def close_idle(self) -> None:
        """Close the connection unless a request is being answered; written bytes are still sent."""
        if not self.in_flight and self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the connection's requests and remove it from the server's counts."""
        super().connection_lost(exc)
        if self.pipeline is not None:
            self.pipeline.cancel()
        self.on_closed(self)

    @property
    def caller_disconnected(self) -> bool:
        """Whether the caller has disconnected while its connection is not being read."""
        transport = self.transport
        if transport is None or transport.is_reading():
            return False
        return is_closed_by_peer(transport)

    def abort(self) -> None:
        """Reset the connection and cancel the requests on it."""
        if self.transport is not None:
            reset(self.transport)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that cannot be parsed or that failed inside the host.

        The message of a parse error quotes the request, which may contain a key, and is
        neither logged nor sent.
        """
        if status != BAD_REQUEST:
            logger.error("request failed: %s", type(exc).__name__, exc_info=exc)
        if request.writer.output_size > 0:
            if request.transport is not None:
                reset(request.transport)
            raise ConnectionError("a part of the response was already sent")
        response = problem_response(_parse_failure(status, exc))
        response.force_close()
        if self.pipeline is not None:
            self.pipeline.settle_close(response)
        return response


class CallerServer(web.Server):
    """Creates the handlers of callers' connections and counts connections by workspace.

    :param handler: answers one request.
    :param limits: limits on sizes in bytes and times in seconds.
    :param pipelining: bounds of the requests that start early; ``None`` if none do.
    :param busy: connections on which a request is being answered.
    """

    def __init__(
        self, handler: Handler, limits: LimitSettings, pipelining: Pipelining | None = None
    ) -> None:
        super().__init__(self._handle, handler_cancellation=True)
        self.handler = handler
        self.pipelining = pipelining
        self.options: dict[str, t.Any] = {
            "access_log": None,
            "auto_decompress": False,
            "keepalive_timeout": limits.idle_s,
            "lingering_time": LINGER_TIMEOUT_S,
            "max_field_size": limits.header_bytes,
            "max_headers": MAX_HEADERS,
            "max_line_size": limits.header_bytes,
        }
        self.busy: set[CallerConnection] = set()
        self.connections_by_workspace: dict[str, int] = {}
        self.open_connections = 0

    def __call__(self) -> web.RequestHandler:
        """Return the handler of a new connection."""
        self.open_connections += 1
        return CallerConnection(self, asyncio.get_running_loop())

    async def watch_disconnects(self) -> None:
        """Reset connections whose callers disconnected while their connection is not being read.

        ``aiohttp`` stops reading a connection while pipelined requests or a long body wait
        behind the request being answered, and would detect a close only afterwards.
        """
        while True:
            await asyncio.sleep(DISCONNECT_POLL_S)
            for connection in [one for one in self.busy if one.caller_disconnected]:
                logger.info(
                    "caller disconnected with unread request bytes",
                    extra={"open": self.open_connections},
                )
                connection.abort()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        if not isinstance(connection, CallerConnection):
            return await self.handler(request)
        connection.answering += 1
        self.busy.add(connection)
        try:
            if connection.pipeline is None:
                return await self.handler(request)
            return await connection.pipeline.answer(request)
        finally:
            connection.answering -= 1
            if not connection.in_flight:
                self.busy.discard(connection)

    def _make_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: web.RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        if isinstance(protocol, CallerConnection) and protocol.pipeline is not None:
            return protocol.pipeline.take(message, payload, writer, task)
        return super()._make_request(message, payload, protocol, writer, task)

    def register_connection(
        self, request: web.BaseRequest, workspace: str, limit: int
    ) -> Failure | None:
        """Count a request's connection for a workspace.

        :param limit: maximum number of connections of the workspace to this host.
        :return: ``CONNECTIONS_EXCEEDED`` if the limit is reached.
        """
        connection = request.protocol
        if not isinstance(connection, CallerConnection) or connection.workspace == workspace:
            return None
        if self.connections_by_workspace.get(workspace, 0) >= limit:
            return Failure(
                ResultCode.CONNECTIONS_EXCEEDED, f"more than {limit} connections to this host"
            )
        self._decrement(connection.workspace)
        self.connections_by_workspace[workspace] = (
            self.connections_by_workspace.get(workspace, 0) + 1
        )
        connection.workspace = workspace
        return None

    def remove_connection(self, connection: CallerConnection) -> None:
        """Stop counting a connection that was closed."""
        self.open_connections -= 1
        self.busy.discard(connection)
        self._decrement(connection.workspace)
        connection.workspace = ""

    def _decrement(self, workspace: str) -> None:
        if not workspace:
            return
        self.connections_by_workspace[workspace] -= 1
        if not self.connections_by_workspace[workspace]:
            del self.connections_by_workspace[workspace]


def _parse_failure(status: int, exc: BaseException | None) -> Failure:
    if status != BAD_REQUEST:
        return Failure(
            ResultCode.INTERNAL_ERROR, "an internal error occurred while handling the request"
        )
    if isinstance(exc, LineTooLong):
        return Failure(
            ResultCode.REQUEST_TOO_LARGE, "the request line or a header is over the size limit"
        )
    return Failure(ResultCode.REQUEST_MALFORMED, "the request cannot be parsed")
