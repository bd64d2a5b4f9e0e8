"""Callers' connections: time limits, malformed requests, and a bound for each workspace."""

from __future__ import annotations

import asyncio
import logging
import typing as t

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong

from radishbridge.host.problem import problem_response
from radishbridge.host.sockets import is_closed_by_peer, reset
from radishbridge.records import Failure, LimitSettings, ResultCode

MAX_HEADERS = 100
LINGER_S = 2.0
# Pause in seconds between two looks at connections that are not read: a caller that has left is
# noticed well within half a second.
LOOK_S = 0.1
BAD_REQUEST = 400

logger = logging.getLogger(__name__)

Handler = t.Callable[[web.BaseRequest], t.Awaitable[web.StreamResponse]]


class CallerConnection(web.RequestHandler):
    """One connection of a caller.

    :param workspace: workspace of the last keyed request, empty before the first one.
    :param handling: requests that are being answered.
    """

    __slots__ = ("handling", "on_lost", "workspace")

    def __init__(self, server: CallerServer, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(server, loop=loop, **server.options)
        self.workspace = ""
        self.handling = 0
        self.on_lost = server.lost

    def close_idle(self) -> None:
        """Close the connection unless a request is being answered; what was written still goes."""
        if not self.handling and self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give the connection's place back."""
        super().connection_lost(exc)
        self.on_lost(self)

    @property
    def is_left(self) -> bool:
        """Whether the caller has left behind bytes that are not read while it is answered."""
        transport = self.transport
        if transport is None or transport.is_reading():
            return False
        return is_closed_by_peer(transport)

    def drop(self) -> None:
        """End the connection and cancel what is being answered."""
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

        The message of a parse error holds a part of the request, perhaps a key, and is
        neither logged nor sent.
        """
        if status != BAD_REQUEST:
            logger.error("request failed: %s", type(exc).__name__, exc_info=exc)
        if request.writer.output_size > 0:
            if request.transport is not None:
                reset(request.transport)
            raise ConnectionError("a part of the answer was sent")
        response = problem_response(_parse_failure(status, exc))
        response.force_close()
        return response


class CallerServer(web.Server):
    """Makes the handlers of callers' connections and counts them for each workspace.

    :param handler: answers one request.
    :param limits: sizes in bytes and times in seconds.
    """

    def __init__(self, handler: Handler, limits: LimitSettings) -> None:
        super().__init__(self._handle, handler_cancellation=True)
        self.handler = handler
        self.options: dict[str, t.Any] = {
            "access_log": None,
            "auto_decompress": False,
            "keepalive_timeout": limits.idle_s,
            "lingering_time": LINGER_S,
            "max_field_size": limits.header_bytes,
            "max_headers": MAX_HEADERS,
            "max_line_size": limits.header_bytes,
        }
        self.answering: set[CallerConnection] = set()
        self.connections_by_workspace: dict[str, int] = {}
        self.open_connections = 0

    def __call__(self) -> web.RequestHandler:
        """Return the handler of a new connection."""
        self.open_connections += 1
        return CallerConnection(self, asyncio.get_running_loop())

    async def watch_disconnects(self) -> None:
        """Drop the connections of callers that left while nothing reads their connection.

        The library stops to read a connection on which more requests or a long body wait
        behind the one that is being answered, and would learn of a close only afterwards.
        """
        while True:
            await asyncio.sleep(LOOK_S)
            for connection in [one for one in self.answering if one.is_left]:
                logger.info(
                    "caller left behind unread bytes", extra={"open": self.open_connections}
                )
                connection.drop()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        if not isinstance(connection, CallerConnection):
            return await self.handler(request)
        connection.handling += 1
        self.answering.add(connection)
        try:
            return await self.handler(request)
        finally:
            connection.handling -= 1
            self.answering.discard(connection)

    def claim(self, request: web.BaseRequest, workspace: str, limit: int) -> Failure | None:
        """Count a request's connection for a workspace.

        :param limit: connections that this host accepts for the workspace.
        """
        connection = request.protocol
        if not isinstance(connection, CallerConnection) or connection.workspace == workspace:
            return None
        if self.connections_by_workspace.get(workspace, 0) >= limit:
            return Failure(
                ResultCode.CONNECTIONS_EXCEEDED, f"more than {limit} connections to this host"
            )
        self._leave(connection.workspace)
        self.connections_by_workspace[workspace] = (
            self.connections_by_workspace.get(workspace, 0) + 1
        )
        connection.workspace = workspace
        return None

    def lost(self, connection: CallerConnection) -> None:
        """Note that a connection has ended."""
        self.open_connections -= 1
        self._leave(connection.workspace)
        connection.workspace = ""

    def _leave(self, workspace: str) -> None:
        if not workspace:
            return
        self.connections_by_workspace[workspace] -= 1
        if not self.connections_by_workspace[workspace]:
            del self.connections_by_workspace[workspace]


def _parse_failure(status: int, exc: BaseException | None) -> Failure:
    if status != BAD_REQUEST:
        return Failure(ResultCode.INTERNAL_ERROR, "the host failed on the request")
    if isinstance(exc, LineTooLong):
        return Failure(ResultCode.REQUEST_TOO_LARGE, "a line of the head is over the limit")
    return Failure(ResultCode.REQUEST_MALFORMED, "the request cannot be parsed")
