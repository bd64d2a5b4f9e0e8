"""Checks of a request before a backend server is chosen: path, deadline, key, limits."""

from __future__ import annotations

import itertools
import typing as t

from aiohttp import web

from radishbridge.host.connections import CallerServer
from radishbridge.host.deadline import read_deadline
from radishbridge.host.exchange import Exchange
from radishbridge.host.keys import KeyRing
from radishbridge.host.paths import check_target
from radishbridge.records import Failure, LimitSettings, ResultCode, Workspace
from radishbridge.routing import Router
from radishbridge.shares import Admission
from radishbridge.store import Replica

HEADER_OVERHEAD_BYTES = 4

_STARTING = Failure(ResultCode.HOST_STARTING, "the configuration is not complete yet")
_STALE = Failure(ResultCode.KEYS_STALE, "the host's copy of the keys may be out of date")
_HEAD_TOO_LARGE = Failure(ResultCode.REQUEST_TOO_LARGE, "the head is over the limit")


class Freshness(t.Protocol):
    """Tells whether this host's copy of the keys is proved to be fresh."""

    def is_fresh(self, now: float) -> bool:
        """Return whether a withdrawal older than the bound would be known here.

        :param now: monotonic time in seconds.
        """


class Gate:
    """Decides whether a request may go to a backend server.

    :param server: the callers' listener, which counts connections; set once it exists.
    :param admission: rate limits; ``None`` admits all.
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

    async def admit(self, exchange: Exchange) -> Failure | None:
        """Check a request and note its service, deadline and workspace on the exchange."""
        if not self.replica.complete:
            return _STARTING
        request = exchange.request
        if _head_bytes(request) > self.limits.header_bytes:
            return _HEAD_TOO_LARGE
        path = check_target(request.raw_path)
        if isinstance(path, Failure):
            return path
        target = self.router.find(path)
        if isinstance(target, Failure):
            return target
        exchange.target = target
        deadline = read_deadline(request.headers, target.service.deadline_s, exchange.arrived_at)
        if isinstance(deadline, Failure):
            return deadline
        exchange.deadline = deadline
        return None if target.route.open else await self._authorize(exchange)

    def retry_after_s(self, workspace: str) -> float:
        """Return the seconds after which a request refused by rate may be admitted."""
        return 0.0 if self.admission is None else self.admission.retry_after_s(workspace)

    async def _authorize(self, exchange: Exchange) -> Failure | None:
        workspace = self.keys.authenticate(exchange.request.headers)
        if isinstance(workspace, Failure):
            return workspace
        if not self.freshness.is_fresh(exchange.arrived_at):
            return _STALE
        exchange.workspace = workspace
        failure = self._claim_connection(exchange)
        if failure is not None or self.admission is None:
            return failure
        return await self.admission.acquire(workspace)

    def _claim_connection(self, exchange: Exchange) -> Failure | None:
        if self.server is None:
            return None
        body = self.replica.body("workspace", exchange.workspace)
        limit = body.connections_per_host if isinstance(body, Workspace) else 0
        return self.server.claim(exchange.request, exchange.workspace, limit)


def _head_bytes(request: web.BaseRequest) -> int:
    headers = request.raw_headers
    text_bytes = sum(map(len, itertools.chain.from_iterable(headers)))
    return len(request.raw_path) + text_bytes + len(headers) * HEADER_OVERHEAD_BYTES
