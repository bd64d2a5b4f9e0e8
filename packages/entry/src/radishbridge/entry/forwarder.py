"""The way of one caller's request: checks, attempts at backend servers, answer."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import time
import typing as t

from aiohttp import web
from multidict import CIMultiDict

from radishbridge.entry.access_log import AccessLog
from radishbridge.entry.attempt import Attempt
from radishbridge.entry.backends import BackendPool, BackendResponse
from radishbridge.entry.board import Board
from radishbridge.entry.context import AttemptOutcome, RequestContext
from radishbridge.entry.crashes import CrashWatch
from radishbridge.entry.hedge import AttemptResult, Hedge
from radishbridge.entry.protocol import Dialect, RequestFacts
from radishbridge.host.bodies import RequestBody
from radishbridge.host.headers import HOP_BY_HOP
from radishbridge.host.shutdown import StopTimes
from radishbridge.host.sockets import is_closed_by_peer, reset
from radishbridge.records import Failure, LimitSettings, ResultCode
from radishbridge.routing import request_fingerprint
from radishbridge.steering import HomeRegion, RouteRule, ServerState, unit_hash

# A refused caller comes back after this many seconds, spread by the second figure, so that
# those refused together do not return together: a queue at a backend server empties within it.
RETURN_AFTER_S = 0.15
RETURN_SPREAD_S = 0.25
# Longest wait in seconds that a caller over its rate is told.
RETURN_MAX_S = 5.0
# Longest wait in seconds of a request that comes while the host starts. Reading the configuration
# takes some 0.2 s once the listener is open, less than a caller needs to find another host.
START_WAIT_S = 0.5
# Connections that may fail before a request is given up; nothing was sent on them.
CONNECTS_MAX = 3
SERVER_ERROR = 500

_DROPPED = HOP_BY_HOP | {"content-length", "date", "server"}
_STARTING = Failure(ResultCode.HOST_STARTING, "no configuration is known yet")
_NO_ROUTE = Failure(ResultCode.SERVICE_UNKNOWN, "no route has this host and path")
_KEY_UNKNOWN = Failure(ResultCode.KEY_UNKNOWN, "the key is not known")
_KEY_MISSING = Failure(ResultCode.KEY_MISSING, "the request carries no key")
_OVER_RATE = Failure(ResultCode.RATE_EXCEEDED, "the workspace is over its rate")
_POISON = Failure(ResultCode.NO_BACKEND, "the request crashed backend servers before")
_NO_ROOM = Failure(ResultCode.NO_BACKEND, "no backend server has room")
_HOME_FULL = Failure(ResultCode.NO_BACKEND, "the only region that may run it has no room")
_CALLER_GONE = Failure(ResultCode.CALLER_GONE, "the caller left before the request was sent")
_LEAVING = Failure(ResultCode.HOST_LEAVING, "the host stops before the request would be answered")
_LATE = Failure(ResultCode.DEADLINE_EXCEEDED, "the deadline passed")

logger = logging.getLogger(__name__)


class Rates(t.Protocol):
    """Decides whether a workspace is within its rate."""

    async def admit(self, workspace: str) -> float | None:
        """Return ``None`` where a request may run, otherwise the seconds until one may."""


class RequestForwarder:
    """Answers callers' requests from backend servers.

    :param dialect: names of headers.
    :param rates: rates of workspaces over all hosts.
    :param limits: bounds on bodies.
    :param stop: when the host ends, once it is shutting down.
    """

    __slots__ = (
        "access_log",
        "board",
        "crashes",
        "dialect",
        "in_flight",
        "leaving",
        "limits",
        "pool",
        "rates",
        "rng",
        "stop",
    )

    def __init__(
        self,
        board: Board,
        dialect: Dialect,
        pool: BackendPool,
        rates: Rates,
        access_log: AccessLog,
        limits: LimitSettings,
        rng: random.Random,
    ) -> None:
        self.board = board
        self.dialect = dialect
        self.pool = pool
        self.crashes = CrashWatch(board, pool)
        self.rates = rates
        self.access_log = access_log
        self.limits = limits
        self.rng = rng
        self.in_flight = 0
        self.leaving = False
        self.stop = StopTimes()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        context = RequestContext(request, time.monotonic())
        self.in_flight += 1
        try:
            result = await self._answer(context)
            response = self._response(context, result)
            # Where a caller has closed its half only, it sees a reset and not a refusal.
            if context.code is ResultCode.CALLER_GONE and request.transport is not None:
                reset(request.transport)
            if self.leaving:
                response.force_close()
            return response
        except asyncio.CancelledError:
            context.code = ResultCode.CALLER_GONE
            raise
        finally:
            self.in_flight -= 1
            self.access_log.record(context, time.monotonic())

    async def _answer(self, context: RequestContext) -> BackendResponse | Failure:
        if not self.board.is_ready:
            await self._await_start()
        failure = self._admit(context)
        if failure is None:
            failure = await self._meter(context)
        if failure is not None:
            return failure
        try:
            async with asyncio.timeout_at(context.deadline):
                return await self._serve(context)
        except TimeoutError:
            return context.failure_for_caller(_LATE)

    async def _await_start(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_WAIT_S):
                await self.board.ready.wait()

    def _admit(self, context: RequestContext) -> Failure | None:
        configuration = self.board.configuration
        if configuration is None or not self.board.is_ready:
            return _STARTING
        request = context.request
        facts = self.dialect.read_request(request.headers)
        if isinstance(facts, Failure):
            return facts
        context.metadata = facts
        context.configuration_version = configuration.version
        path = request.raw_path.partition("?")[0]
        route = configuration.match(_host_name(request), path)
        if route is None:
            return _NO_ROUTE
        context.route = route
        context.deadline = _deadline(context, route, facts)
        if configuration.requires_keys and not route.is_open:
            workspace = configuration.keys.get(facts.key)
            if workspace is None:
                return _KEY_UNKNOWN if facts.key else _KEY_MISSING
            context.workspace = workspace
        context.allowed_regions = configuration.homes(route, context.workspace)
        return None

    async def _meter(self, context: RequestContext) -> Failure | None:
        if not context.workspace:
            return None
        wait_s = await self.rates.admit(context.workspace)
        if wait_s is None:
            return None
        context.retry_after_s = min(RETURN_MAX_S, wait_s + self._spread())
        return _OVER_RATE

    async def _serve(self, context: RequestContext) -> BackendResponse | Failure:
        body = RequestBody(context.request, self.limits)
        failure = await body.open()
        if failure is not None:
            return failure
        if body.buffered is None:
            context.body = b"".join(
                [part async for part in t.cast(t.AsyncIterator[bytes], body.data())]
            )
        else:
            context.body = body.buffered
        request = context.request
        context.fingerprint = request_fingerprint(
            context.workspace, request.method, request.raw_path, context.body
        )
        if self.board.poison.check(context.fingerprint, context.arrived_at) is not None:
            return _POISON
        point = unit_hash(context.metadata.request_id, "split")
        context.service = context.route.pick_service(point)
        context.rank = self._rank(context)
        context.routing_key = (
            context.metadata.affinity if context.route.has_affinity else context.metadata.request_id
        )
        self.board.budget(context.service, context.arrived_at).note_request(time.monotonic())
        if context.home_region is None:
            return await self._attempts(context)
        return await self._serve_at_home(context, context.home_region)

    async def _serve_at_home(
        self, context: RequestContext, home: HomeRegion
    ) -> BackendResponse | Failure:
        now = time.monotonic()
        meter = self.board.home_meter(home, now)
        meter.note_request(now)
        if not self.board.home_room.admits(home):
            return self._give_up(context, _HOME_FULL)
        meter.start(now)
        try:
            return await self._attempts(context)
        finally:
            meter.finish()

    def _rank(self, context: RequestContext) -> int:
        configuration = self.board.configuration
        if configuration is None:
            return 0
        return configuration.rank(context.service, context.route, context.workspace)

    async def _attempts(self, context: RequestContext) -> BackendResponse | Failure:
        last: BackendResponse | Failure = _NO_ROOM
        connects = 0
        while True:
            now = time.monotonic()
            objection = self._objection(context)
            if objection is not None:
                return self._give_up(context, objection)
            state = self._choose(context, now)
            if state is None:
                return self._give_up(context, last)
            if context.send_count and not self.board.budget(context.service, now).take():
                return self._give_up(context, last)
            attempt, last = await self._run(self._attempt(context, state))
            if attempt.outcome is AttemptOutcome.UNSENT:
                connects += 1
            if not self._may_repeat(context, attempt, connects):
                return self._give_up(context, last)

    async def _run(self, attempt: Attempt) -> AttemptResult:
        context = attempt.context
        if not context.route.repeatable:
            return AttemptResult(attempt, await attempt.run())
        usual_s = self.board.selector.medians.get(context.service, 0.0)
        return await Hedge(context, usual_s, self._second).run(attempt)

    def _second(self, first: Attempt) -> Attempt | None:
        context, now = first.context, time.monotonic()
        # A first attempt that is still connecting will be sent too.
        sends = context.send_count + (first.outcome is AttemptOutcome.UNSENT)
        if sends >= context.route.attempts:
            return None
        state = self._choose(context, now)
        if state is None or not self.board.budget(context.service, now).take():
            return None
        return self._attempt(context, state)

    def _attempt(self, context: RequestContext, state: ServerState) -> Attempt:
        return Attempt(
            context, state, self.dialect, self.pool, self.board, self.crashes, self._objection
        )

    def _objection(self, context: RequestContext) -> Failure | None:
        # Any wait may have come before: for a body, a rate, a connection, an earlier attempt.
        if is_closed_by_peer(context.request.transport):
            return _CALLER_GONE
        usual_s = self.board.selector.medians.get(context.service, 0.0)
        if not self.stop.leaves_time(time.monotonic(), context.deadline, usual_s):
            return _LEAVING
        return None

    def _choose(self, context: RequestContext, now: float) -> ServerState | None:
        needs = self.board.needs(context.service, context.route, context.routing_key)
        choices = (
            self.board.selector.choose(
                need._replace(homes=context.allowed_regions, rank=context.rank), context.tried, now
            )
            for need in needs
        )
        return next((state for state in choices if state is not None), None)

    def _may_repeat(self, context: RequestContext, attempt: Attempt, connects: int) -> bool:
        if attempt.outcome is AttemptOutcome.ANSWERED or connects >= CONNECTS_MAX:
            return False
        if self._objection(context) is not None:
            return False
        if attempt.outcome is AttemptOutcome.UNSENT:
            return True
        if context.send_count >= context.route.attempts:
            return False
        if self.board.poison.check(context.fingerprint, time.monotonic()) is not None:
            return False
        return attempt.outcome is AttemptOutcome.NOT_RUN or context.route.repeatable

    def _give_up(
        self, context: RequestContext, last: BackendResponse | Failure
    ) -> BackendResponse | Failure:
        if isinstance(last, BackendResponse):
            return last
        context.retry_after_s = self._spread()
        return context.failure_for_caller(last)

    def _spread(self) -> float:
        return RETURN_AFTER_S + RETURN_SPREAD_S * self.rng.random()

    def _response(self, context: RequestContext, result: BackendResponse | Failure) -> web.Response:
        if isinstance(result, BackendResponse):
            context.status = result.status
            return _answer_response(result)
        context.code = result.code
        context.reason = result.reason
        response = _refusal(result, context.retry_after_s)
        context.status = response.status
        return response


def _deadline(context: RequestContext, route: RouteRule, facts: RequestFacts) -> float:
    allowed_s = route.timeout_s
    if facts.deadline_s is not None:
        allowed_s = min(allowed_s, facts.deadline_s)
    return context.arrived_at + allowed_s


def _host_name(request: web.BaseRequest) -> str:
    return request.headers.get("Host", "").partition(":")[0].lower()


def _answer_response(answer: BackendResponse) -> web.Response:
    headers: CIMultiDict[str] = CIMultiDict()
    for name, value in answer.headers:
        text = name.decode("latin-1")
        if text.lower() not in _DROPPED:
            headers.add(text, value.decode("utf-8", "surrogateescape"))
    return web.Response(status=answer.status, headers=headers, body=answer.body or None)


def _refusal(failure: Failure, retry_after_s: float) -> web.Response:
    info = failure.info
    status = info.http_status or SERVER_ERROR
    headers = {"Content-Type": "text/plain"}
    if retry_after_s > 0.0 and status in (429, 503):
        headers["Retry-After"] = f"{retry_after_s:.2f}"
    text = f"{int(failure.code)} {failure.reason}\n"
    return web.Response(status=status, text=text, headers=headers)
