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
from radishbridge.entry.backends import (
    BackendPool,
    BackendResponse,
)
from radishbridge.entry.crashes import (
    CrashDetector,
)
from radishbridge.entry.hedge import Hedge, Outcome
from radishbridge.entry.protocol import (
    HeaderCodec,
    RequestMetadata,
)
from radishbridge.entry.steering_state import SteeringState
from radishbridge.entry.task import AttemptEnd, RequestTask
from radishbridge.host.bodies import RequestBody
from radishbridge.host.headers import HOP_BY_HOP
from radishbridge.host.shutdown import ShutdownSchedule
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

    :param header_codec: reads and writes the platform's headers.
    :param rates: rates of workspaces over all hosts.
    :param limits: bounds on bodies.
    :param shutdown_schedule: when the host refuses requests and ends, once it is shutting down.
    """

    __slots__ = (
        "access_log",
        "crashes",
        "header_codec",
        "in_flight",
        "leaving",
        "limits",
        "pool",
        "rates",
        "rng",
        "shutdown_schedule",
        "steering_state",
    )

    def __init__(
        self,
        steering_state: SteeringState,
        header_codec: HeaderCodec,
        pool: BackendPool,
        rates: Rates,
        access_log: AccessLog,
        limits: LimitSettings,
        rng: random.Random,
    ) -> None:
        self.steering_state = steering_state
        self.header_codec = header_codec
        self.pool = pool
        self.crashes = CrashDetector(steering_state, pool)
        self.rates = rates
        self.access_log = access_log
        self.limits = limits
        self.rng = rng
        self.in_flight = 0
        self.leaving = False
        self.shutdown_schedule = ShutdownSchedule()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        task = RequestTask(request, time.monotonic())
        self.in_flight += 1
        try:
            result = await self._answer(task)
            response = self._response(task, result)
            # Where a caller has closed its half only, it sees a reset and not a refusal.
            if task.code is ResultCode.CALLER_GONE and request.transport is not None:
                reset(request.transport)
            if self.leaving:
                response.force_close()
            return response
        except asyncio.CancelledError:
            task.code = ResultCode.CALLER_GONE
            raise
        finally:
            self.in_flight -= 1
            self.access_log.record(task, time.monotonic())

    async def _answer(self, task: RequestTask) -> BackendResponse | Failure:
        if not self.steering_state.is_ready:
            await self._await_start()
        failure = self._admit(task)
        if failure is None:
            failure = await self._meter(task)
        if failure is not None:
            return failure
        try:
            async with asyncio.timeout_at(task.deadline):
                return await self._serve(task)
        except TimeoutError:
            return task.truthful(_LATE)

    async def _await_start(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_WAIT_S):
                await self.steering_state.ready.wait()

    def _admit(self, task: RequestTask) -> Failure | None:
        configuration = self.steering_state.configuration
        if configuration is None or not self.steering_state.is_ready:
            return _STARTING
        request = task.request
        facts = self.header_codec.read_request(request.headers)
        if isinstance(facts, Failure):
            return facts
        task.facts = facts
        task.version = configuration.version
        path = request.raw_path.partition("?")[0]
        route = configuration.match(_host_name(request), path)
        if route is None:
            return _NO_ROUTE
        task.route = route
        task.deadline = _deadline(task, route, facts)
        if configuration.requires_keys and not route.is_public:
            workspace = configuration.keys.get(facts.key)
            if workspace is None:
                return _KEY_UNKNOWN if facts.key else _KEY_MISSING
            task.workspace = workspace
        task.homes = configuration.allowed_regions(route, task.workspace)
        return None

    async def _meter(self, task: RequestTask) -> Failure | None:
        if not task.workspace:
            return None
        wait_s = await self.rates.admit(task.workspace)
        if wait_s is None:
            return None
        task.retry_after_s = min(RETURN_MAX_S, wait_s + self._spread())
        return _OVER_RATE

    async def _serve(self, task: RequestTask) -> BackendResponse | Failure:
        body = RequestBody(task.request, self.limits)
        failure = await body.prepare()
        if failure is not None:
            return failure
        if body.buffered is None:
            task.body = b"".join(
                [part async for part in t.cast(t.AsyncIterator[bytes], body.data())]
            )
        else:
            task.body = body.buffered
        request = task.request
        task.fingerprint = request_fingerprint(
            task.workspace, request.method, request.raw_path, task.body
        )
        if self.steering_state.poison.check(task.fingerprint, task.arrived_at) is not None:
            return _POISON
        point = unit_hash(task.facts.request_id, "split")
        task.service = task.route.pick_service(point)
        task.rank = self._rank(task)
        task.key = task.facts.affinity if task.route.has_affinity else task.facts.request_id
        self.steering_state.retry_budget(task.service, task.arrived_at).record_request(
            time.monotonic()
        )
        if task.home is None:
            return await self._attempts(task)
        return await self._serve_at_home(task, task.home)

    async def _serve_at_home(
        self, task: RequestTask, home: HomeRegion
    ) -> BackendResponse | Failure:
        now = time.monotonic()
        meter = self.steering_state.home_meter(home, now)
        meter.record_request(now)
        if not self.steering_state.home_admission.admits(home):
            return self._give_up(task, _HOME_FULL)
        meter.start(now)
        try:
            return await self._attempts(task)
        finally:
            meter.finish()

    def _rank(self, task: RequestTask) -> int:
        configuration = self.steering_state.configuration
        if configuration is None:
            return 0
        return configuration.rank(task.service, task.route, task.workspace)

    async def _attempts(self, task: RequestTask) -> BackendResponse | Failure:
        last: BackendResponse | Failure = _NO_ROOM
        connects = 0
        while True:
            now = time.monotonic()
            objection = self._objection(task)
            if objection is not None:
                return self._give_up(task, objection)
            state = self._choose(task, now)
            if state is None:
                return self._give_up(task, last)
            if task.sends and not self.steering_state.retry_budget(task.service, now).take_token():
                return self._give_up(task, last)
            attempt, last = await self._run(self._attempt(task, state))
            if attempt.end is AttemptEnd.UNSENT:
                connects += 1
            if not self._may_repeat(task, attempt, connects):
                return self._give_up(task, last)

    async def _run(self, attempt: Attempt) -> Outcome:
        task = attempt.task
        if not task.route.repeatable:
            return Outcome(attempt, await attempt.run())
        usual_s = self.steering_state.selector.median_latencies.get(task.service, 0.0)
        return await Hedge(task, usual_s, self._second).run(attempt)

    def _second(self, first: Attempt) -> Attempt | None:
        task, now = first.task, time.monotonic()
        # A first attempt that is still connecting will be sent too.
        sends = task.sends + (first.end is AttemptEnd.UNSENT)
        if sends >= task.route.attempts:
            return None
        state = self._choose(task, now)
        if state is None or not self.steering_state.retry_budget(task.service, now).take_token():
            return None
        return self._attempt(task, state)

    def _attempt(self, task: RequestTask, state: ServerState) -> Attempt:
        return Attempt(
            task,
            state,
            self.header_codec,
            self.pool,
            self.steering_state,
            self.crashes,
            self._objection,
        )

    def _objection(self, task: RequestTask) -> Failure | None:
        # Any wait may have come before: for a body, a rate, a connection, an earlier attempt.
        if is_closed_by_peer(task.request.transport):
            return _CALLER_GONE
        usual_s = self.steering_state.selector.median_latencies.get(task.service, 0.0)
        if not self.shutdown_schedule.allows_request(time.monotonic(), task.deadline, usual_s):
            return _LEAVING
        return None

    def _choose(self, task: RequestTask, now: float) -> ServerState | None:
        needs = self.steering_state.needs(task.service, task.route, task.key)
        choices = (
            self.steering_state.selector.choose(
                criteria._replace(home_regions=task.homes, rank=task.rank), task.tried, now
            )
            for criteria in needs
        )
        return next((state for state in choices if state is not None), None)

    def _may_repeat(self, task: RequestTask, attempt: Attempt, connects: int) -> bool:
        if attempt.end is AttemptEnd.ANSWERED or connects >= CONNECTS_MAX:
            return False
        if self._objection(task) is not None:
            return False
        if attempt.end is AttemptEnd.UNSENT:
            return True
        if task.sends >= task.route.attempts:
            return False
        if self.steering_state.poison.check(task.fingerprint, time.monotonic()) is not None:
            return False
        return attempt.end is AttemptEnd.NOT_RUN or task.route.repeatable

    def _give_up(
        self, task: RequestTask, last: BackendResponse | Failure
    ) -> BackendResponse | Failure:
        if isinstance(last, BackendResponse):
            return last
        task.retry_after_s = self._spread()
        return task.truthful(last)

    def _spread(self) -> float:
        return RETURN_AFTER_S + RETURN_SPREAD_S * self.rng.random()

    def _response(self, task: RequestTask, result: BackendResponse | Failure) -> web.Response:
        if isinstance(result, BackendResponse):
            task.status = result.status
            return _answer_response(result)
        task.code = result.code
        task.reason = result.reason
        response = _refusal(result, task.retry_after_s)
        task.status = response.status
        return response


def _deadline(task: RequestTask, route: RouteRule, facts: RequestMetadata) -> float:
    allowed_s = route.timeout_s
    if facts.deadline_s is not None:
        allowed_s = min(allowed_s, facts.deadline_s)
    return task.arrived_at + allowed_s


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
