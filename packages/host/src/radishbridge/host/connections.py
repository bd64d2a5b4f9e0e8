"""Callers' connections: timeouts, malformed requests, and a limit for each workspace."""

from __future__ import annotations

import asyncio
import itertools
import logging
import math
import typing as t

from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import LineTooLong

from radishbridge.host.bounded import (
    BAD_REQUEST,
    HEAD_TOO_LARGE,
    KEEPALIVE_S,
    REQUEST_TIMEOUT,
    SWEEP_INTERVAL_S,
    UNLIMITED,
    BoundedConnection,
    BoundedServer,
    ClientLimits,
    Handler,
)
from radishbridge.host.client_memory import ClientMemory
from radishbridge.host.pipelining import Pipeline, Pipelining
from radishbridge.host.problem import problem_response
from radishbridge.host.sockets import is_closed_by_peer, reset
from radishbridge.records import Failure, LimitSettings, ResultCode

LINGER_TIMEOUT_S = 2.0
# Interval of the check for disconnected callers. A disconnect must be detected well within half a
# second.
DISCONNECT_POLL_S = 0.1
SWEEP_POLLS = round(SWEEP_INTERVAL_S / DISCONNECT_POLL_S)
# The heads that the other edition's handler gets to check may be this much over its limit.
HEAD_FACTOR = 4

logger = logging.getLogger(__name__)

FailureHeaders = t.Callable[[t.Sequence[tuple[bytes, bytes]]], t.Mapping[str, str]]

_INTERNAL_ERROR = Failure(
    ResultCode.INTERNAL_ERROR, "an internal error occurred while handling the request"
)
_REFUSALS = {
    BAD_REQUEST: Failure(ResultCode.REQUEST_MALFORMED, "the request cannot be parsed"),
    REQUEST_TIMEOUT: Failure(ResultCode.HEAD_INCOMPLETE, "the head did not arrive in time"),
    HEAD_TOO_LARGE: Failure(ResultCode.HEAD_TOO_LARGE, "the head is over the size limit"),
}


def _no_headers(_: t.Sequence[tuple[bytes, bytes]]) -> t.Mapping[str, str]:
    return {}


class CallerConnection(BoundedConnection):
    """One connection of a caller.

    :param workspace: workspace of the last request with a key, empty before the first one.
    :param pipeline: requests behind the one being answered; ``None`` if they do not start early.
    """

    __slots__ = ("pipeline", "workspace")

    def __init__(self, server: BoundedServer, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(server, loop)
        self.workspace = ""
        self.pipeline: Pipeline | None = None
        if isinstance(server, CallerServer) and server.pipelining is not None:
            self.pipeline = Pipeline(server.pipelining, self, server.handler)

    @property
    def in_flight(self) -> int:
        """Number of requests that are being answered, with those that have started early."""
        return self.answering + (0 if self.pipeline is None else self.pipeline.started)

    def data_received(self, data: bytes) -> None:
        """Parse requests, and start those that may run beside the one being answered."""
        super().data_received(data)
        if self.pipeline is not None and self._messages:
            self.pipeline.record_arrivals()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the connection's requests and stop counting it."""
        super().connection_lost(exc)
        if self.pipeline is not None:
            self.pipeline.cancel()

    def close_idle(self) -> None:
        """Close the connection unless it has a request; written bytes are still sent."""
        if not self.has_request and self.transport is not None:
            self.transport.close()

    def cut(self) -> None:
        """Close the connection although a request may be at a server.

        An orderly close without a response would say that the request was not read, and callers
        would send it again, whatever its kind.
        """
        if self.in_flight:
            self.abort()
        else:
            self.force_close()

    @property
    def caller_disconnected(self) -> bool:
        """Whether the caller has disconnected while its connection is not being read."""
        transport = self.transport
        if transport is None or transport.is_reading():
            return False
        return is_closed_by_peer(transport)

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
        if status not in _REFUSALS:
            logger.error("request failed: %s", type(exc).__name__, exc_info=exc)
        if request.writer.output_size > 0:
            if request.transport is not None:
                reset(request.transport)
            raise ConnectionError("a part of the response was already sent")
        response = problem_response(_parse_failure(status, exc))
        if isinstance(self._server, CallerServer):
            # Empty for a request that cannot be parsed.
            response.headers.update(self._server.failure_headers(request.raw_headers))
        response.force_close()
        if self.pipeline is not None:
            self.pipeline.settle_close(response)
        return response


class EndpointServer(BoundedServer):
    """Creates the handlers of connections to the addresses that are not for callers."""

    connection_type = CallerConnection


class CallerServer(BoundedServer):
    """Creates the handlers of callers' connections and counts connections by workspace.

    :param handler: answers one request.
    :param limits: limits on sizes in bytes and times in seconds.
    :param client_limits: returns the limits in force, if they are not those of ``limits``.
    :param memory: counts the bytes held for clients of all addresses.
    :param connections_max: connections above which others are closed.
    :param descriptors_max: descriptors of the process above which others are closed.
    :param pipelining: bounds of the requests that start early; ``None`` if none do.
    :param failure_headers: returns the headers that name a request, from its raw headers.
    """

    connection_type = CallerConnection

    def __init__(
        self,
        handler: Handler,
        limits: LimitSettings,
        client_limits: t.Callable[[], ClientLimits] | None = None,
        memory: ClientMemory | None = None,
        connections_max: int = UNLIMITED,
        descriptors_max: int = UNLIMITED,
        pipelining: Pipelining | None = None,
        failure_headers: FailureHeaders = _no_headers,
    ) -> None:
        # The handler of the other edition checks the size of the whole head and answers with 413;
        # aiohttp's own timeout closes its connections.
        own = ClientLimits(HEAD_FACTOR * limits.header_bytes, math.inf, math.inf)
        line_bytes = UNLIMITED if client_limits else limits.header_bytes
        super().__init__(
            handler,
            client_limits or (lambda: own),
            memory,
            connections_max,
            descriptors_max,
            keepalive_timeout=KEEPALIVE_S if client_limits else limits.idle_s,
            lingering_time=LINGER_TIMEOUT_S,
            max_field_size=line_bytes,
            max_line_size=line_bytes,
        )
        self.pipelining = pipelining
        self.failure_headers = failure_headers
        self.connections_by_workspace: dict[str, int] = {}
        self.open_connections = 0

    def __call__(self) -> web.RequestHandler:
        """Return the handler of a new connection."""
        self.open_connections += 1
        return super().__call__()

    async def watch_disconnects(self) -> None:
        """Reset connections whose callers disconnected while their connection is not being read.

        Checks all connections for timeouts as well.

        ``aiohttp`` stops reading a connection while pipelined requests or a long body wait
        behind the request being answered, and would detect a close only afterwards.
        """
        for tick in itertools.count(1):
            await asyncio.sleep(DISCONNECT_POLL_S)
            if tick % SWEEP_POLLS == 0:
                self.sweep()
            for connection in [one for one in self.busy if _has_disconnected(one)]:
                logger.info(
                    "caller disconnected with unread request bytes",
                    extra={"open": self.open_connections},
                )
                connection.abort()

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        if isinstance(connection, CallerConnection) and connection.pipeline is not None:
            return await connection.pipeline.answer(request)
        return await self.handler(request)

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

    def remove_connection(self, connection: BoundedConnection) -> None:
        """Stop counting a connection that was closed."""
        super().remove_connection(connection)
        self.open_connections -= 1
        if isinstance(connection, CallerConnection):
            self._decrement(connection.workspace)
            connection.workspace = ""

    def _decrement(self, workspace: str) -> None:
        if not workspace:
            return
        self.connections_by_workspace[workspace] -= 1
        if not self.connections_by_workspace[workspace]:
            del self.connections_by_workspace[workspace]


def _has_disconnected(connection: BoundedConnection) -> bool:
    return isinstance(connection, CallerConnection) and connection.caller_disconnected


def _parse_failure(status: int, exc: BaseException | None) -> Failure:
    if status == BAD_REQUEST and isinstance(exc, LineTooLong):
        return Failure(
            ResultCode.REQUEST_TOO_LARGE, "the request line or a header is over the size limit"
        )
    return _REFUSALS.get(status, _INTERNAL_ERROR)
