"""Checks a request before a backend server is chosen: path, deadline, key and limits."""

from __future__ import annotations

import itertools
import typing as t

from aiohttp import web

from radishbridge.host.connections import CallerServer
from radishbridge.host.context import RequestContext
from radishbridge.host.deadline import read_deadline
from radishbridge.host.keys import KeyRing
from radishbridge.host.paths import check_target
from radishbridge.records import Failure, LimitSettings, ResultCode, Workspace
from radishbridge.routing import Router
from radishbridge.shares import Admission
from radishbridge.store import Replica

# The ": " and the line end that a header takes besides its name and value.
HEADER_OVERHEAD_BYTES = 4

_STARTING = Failure(ResultCode.HOST_STARTING, "the host has not read its whole configuration yet")
_STALE = Failure(ResultCode.KEYS_STALE, "the host's copy of the keys may be out of date")
_HEADERS_TOO_LARGE = Failure(
    ResultCode.REQUEST_TOO_LARGE, "the request target and headers are over the size limit"
)


class Freshness(t.Protocol):
    """Freshness of this host's copy of the keys."""

    def is_fresh(self, now: float) -> bool:
        """Return whether this host knows every key withdrawal older than the freshness bound.

        :param now: monotonic time in seconds.
        """


class RequestChecker:
    """Decides whether a request may be sent to a backend server.

    :param admission: rate limits; ``None`` admits all requests.
    :param server: counts the connections of each workspace; ``None`` until the callers' listener
        exists.
    """

    __slots__ = ("admission", "freshness", "keys", "limits", "replica", "router", "server")

    def __init__(
        self,
        replica: Replica,
        keys: KeyRing,
        router: Router,
        limits: LimitSettings,
        freshness: Freshness,
        admission: Admission | None = None,
    ) -> None:
        self.replica = replica
        self.keys = keys
        self.router = router
        self.limits = limits
        self.freshness = freshness
        self.admission = admission
        self.server: CallerServer | None = None

    async def check(self, context: RequestContext) -> Failure | None:
        """Check a request, and store its service, deadline and workspace in the context.

        :return: why the request is refused, or ``None``.
        """
        if not self.replica.complete:
            return _STARTING
        request = context.request
        if _header_bytes(request) > self.limits.header_bytes:
            return _HEADERS_TOO_LARGE
        path = check_target(request.raw_path)
        if isinstance(path, Failure):
            return path
        service_route = self.router.find(path)
        if isinstance(service_route, Failure):
            return service_route
        context.service_route = service_route
        deadline = read_deadline(
            request.headers, service_route.service.deadline_s, context.arrived_at
        )
        if isinstance(deadline, Failure):
            return deadline
        context.deadline = deadline
        return None if service_route.route.open else await self._authorize(context)

    def retry_after_s(self, workspace: str) -> float:
        """Return the seconds until a request of a rate-limited workspace may be admitted."""
        return 0.0 if self.admission is None else self.admission.retry_after_s(workspace)

    async def _authorize(self, context: RequestContext) -> Failure | None:
        workspace = self.keys.authenticate(context.request.headers)
        if isinstance(workspace, Failure):
            return workspace
        if not self.freshness.is_fresh(context.arrived_at):
            return _STALE
        context.workspace = workspace
        failure = self._register_connection(context)
        if failure is not None or self.admission is None:
            return failure
        return await self.admission.acquire(workspace)

    def _register_connection(self, context: RequestContext) -> Failure | None:
        if self.server is None:
            return None
        body = self.replica.body("workspace", context.workspace)
        limit = body.connections_per_host if isinstance(body, Workspace) else 0
        return self.server.register_connection(context.request, context.workspace, limit)


def _header_bytes(request: web.BaseRequest) -> int:
    headers = request.raw_headers
    text_bytes = sum(map(len, itertools.chain.from_iterable(headers)))
    return len(request.raw_path) + text_bytes + len(headers) * HEADER_OVERHEAD_BYTES
