"""Processing of a caller's request: checks, attempts at backend servers, response."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import time
import typing as t

from aiohttp import web

from radishbridge.entry import uptime
from radishbridge.entry.access_log import AccessLog
from radishbridge.entry.attempt import Attempt
from radishbridge.entry.backends import BackendPool, BackendResponse
from radishbridge.entry.context import AttemptOutcome, RequestContext
from radishbridge.entry.crashes import CrashDetector
from radishbridge.entry.hedge import AttemptResult, Hedge
from radishbridge.entry.protocol import HeaderCodec, RequestMetadata
from radishbridge.entry.refusals import REFUSAL_STATUSES, Evidence
from radishbridge.entry.request_body import BodyReader, is_large
from radishbridge.entry.responses import response_from_backend, response_from_failure
from radishbridge.entry.steering_state import SteeringState
from radishbridge.host.pipelining import arrival_time, wait_to_respond, wait_to_run
from radishbridge.host.shutdown import ShutdownSchedule
from radishbridge.host.sockets import is_closed_by_peer, reset
from radishbridge.records import Failure, LimitSettings, ResultCode
from radishbridge.routing import request_fingerprint
from radishbridge.steering import (
    CallerLimits,
    Choice,
    HomeRegion,
    RouteRule,
    ServerCriteria,
    ServerState,
    retry_delay_s,
    unit_hash,
)

# Retry-After of a refusal: a fixed delay and a random one, so that callers refused together don't
# retry together. The queue of a backend server drains within that time.
RETRY_AFTER_S = 0.15
RETRY_AFTER_JITTER_S = 0.25
# Longest Retry-After for a caller that exceeds its rate.
RATE_RETRY_AFTER_MAX_S = 5.0
# Longest wait of a request that arrives while the host starts. Reading the configuration takes
# some 0.2 s after the listener opens, which is less than a caller needs to find another host.
STARTUP_WAIT_S = 0.5
# Failed connections after which a request is given up; nothing was sent on them.
CONNECT_FAILURES_MAX = 3

_STARTING = Failure(ResultCode.HOST_STARTING, "the host has no configuration yet")
_NO_ROUTE = Failure(ResultCode.SERVICE_UNKNOWN, "no route matches this host and path")
_KEY_UNKNOWN = Failure(ResultCode.KEY_UNKNOWN, "the key is not known")
_KEY_MISSING = Failure(ResultCode.KEY_MISSING, "the request carries no key")
_OVER_RATE = Failure(ResultCode.RATE_EXCEEDED, "the workspace is over its rate")
_CRASHED_SERVERS = Failure(ResultCode.NO_BACKEND, "the same request crashed backend servers before")
_NO_CAPACITY = Failure(ResultCode.NO_BACKEND, "no backend server has capacity")
_HOME_REGION_FULL = Failure(
    ResultCode.NO_BACKEND, "the only region that may run the request has no capacity"
)
_CALLER_GONE = Failure(
    ResultCode.CALLER_GONE, "the caller disconnected before the request was sent"
)
_SHUTTING_DOWN = Failure(
    ResultCode.HOST_LEAVING, "the host is shutting down and would stop before the request ends"
)
_ANSWERED = Failure(ResultCode.NO_BACKEND, "the request was answered before it was sent")
_NOT_REACHED = "the connection closed before the request's turn"
_DEADLINE_PASSED = Failure(ResultCode.DEADLINE_EXCEEDED, "the deadline passed")

logger = logging.getLogger(__name__)


class SupportsAdmit(t.Protocol):
    """Admission control by the rates of workspaces."""

    async def admit(self, workspace: str) -> float | None:
        """Return ``None`` if a request may run, otherwise the seconds until one may."""


class RequestForwarder:
    """Forwards callers' requests to backend servers and returns their responses.

    :param header_codec: reads and writes the platform's headers.
    :param rates: admission control by the rates of workspaces over all hosts.
    :param limits: limits on request bodies.
    :param leaving: the host is shutting down, so that responses close their connections.
    :param shutdown_schedule: times of the shutdown, once it has begun.
    """

    __slots__ = (
        "access_log",
        "body_reader",
        "crash_detector",
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
        rates: SupportsAdmit,
        access_log: AccessLog,
        limits: LimitSettings,
        rng: random.Random,
    ) -> None:
        self.steering_state = steering_state
        self.header_codec = header_codec
        self.pool = pool
        self.crash_detector = CrashDetector(steering_state.crash_reports, pool)
        self.rates = rates
        self.access_log = access_log
        self.limits = limits
        self.body_reader = BodyReader(limits)
        self.rng = rng
        self.in_flight = 0
        self.leaving = False
        self.shutdown_schedule = ShutdownSchedule()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Process one request and return its response."""
        context = RequestContext(request, arrival_time(request, uptime.now()))
        self.in_flight += 1
        try:
            result = await self._process(context)
            response = self._create_response(context, result)
            # A caller that closed only its sending side gets a reset instead of a refusal.
            if context.code is ResultCode.CALLER_GONE and request.transport is not None:
                reset(request.transport)
            size = len(result.body) if isinstance(result, BackendResponse) else 0
            finished_at = uptime.now()
            await wait_to_respond(request, size)
            context.held_s = uptime.now() - finished_at
            if self.leaving:
                response.force_close()
            return response
        except asyncio.CancelledError:
            context.code = ResultCode.CALLER_GONE
            raise
        finally:
            self.in_flight -= 1
            self.body_reader.release(context)
            self.access_log.record(context, uptime.now())

    async def _process(self, context: RequestContext) -> BackendResponse | Failure:
        if not self.steering_state.is_ready:
            await self._wait_for_startup()
        failure = self._check_request(context)
        if failure is None:
            if not context.route.repeatable:
                context.reason = _NOT_REACHED
                await wait_to_run(context.request)
                context.reason = ""
            failure = await self._check_rate(context)
        if failure is not None:
            return failure
        try:
            async with asyncio.timeout(context.deadline - uptime.now()):
                return await self._forward(context)
        except TimeoutError:
            return context.failure_for_caller(_DEADLINE_PASSED)

    async def _wait_for_startup(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STARTUP_WAIT_S):
                await self.steering_state.ready.wait()

    def _check_request(self, context: RequestContext) -> Failure | None:
        configuration = self.steering_state.configuration
        if configuration is None or not self.steering_state.is_ready:
            return _STARTING
        request = context.request
        metadata = self.header_codec.read_request(request.headers)
        if isinstance(metadata, Failure):
            return metadata
        context.metadata = metadata
        context.configuration_version = configuration.version
        path = request.raw_path.partition("?")[0]
        route = configuration.match(_host_name(request), path)
        if route is None:
            return _NO_ROUTE
        context.route = route
        context.deadline = _deadline(context, route, metadata)
        if configuration.requires_keys and not route.is_public:
            workspace = configuration.keys.get(metadata.key)
            if workspace is None:
                return _KEY_UNKNOWN if metadata.key else _KEY_MISSING
            context.workspace = workspace
        context.allowed_regions = configuration.allowed_regions(route, context.workspace)
        return None

    async def _check_rate(self, context: RequestContext) -> Failure | None:
        if not context.workspace:
            return None
        wait_s = await self.rates.admit(context.workspace)
        if wait_s is None:
            return None
        context.retry_after_s = min(RATE_RETRY_AFTER_MAX_S, wait_s + self._retry_delay_s())
        return _OVER_RATE

    async def _forward(self, context: RequestContext) -> BackendResponse | Failure:
        point = unit_hash(context.metadata.request_id, "split")
        context.service = context.route.pick_service(point)
        context.rank = self._rank(context)
        context.routing_key = (
            context.metadata.affinity if context.route.has_affinity else context.metadata.request_id
        )
        failure = await self._read_body(context)
        if failure is not None:
            return failure
        request = context.request
        context.fingerprint = request_fingerprint(
            context.workspace, request.method, request.raw_path, context.body
        )
        if (
            self.steering_state.crash_reports.poison.check(context.fingerprint, uptime.now())
            is not None
        ):
            return _CRASHED_SERVERS
        self.steering_state.retry_budget(context.service, context.arrived_at).record_request(
            uptime.now()
        )
        if context.home_region is None:
            return await self._run_attempts(context)
        return await self._forward_to_home_region(context, context.home_region)

    async def _read_body(self, context: RequestContext) -> Failure | None:
        # Reading a large body that no server has room for would cost its caller that time.
        if is_large(context) and not self._has_room(context):
            context.retry_after_s = self._retry_delay_s()
            return _NO_CAPACITY
        configuration = self.steering_state.configuration
        limits = CallerLimits() if configuration is None else configuration.limits
        body = await self.body_reader.read(context, limits.body_bytes)
        if isinstance(body, Failure):
            context.retry_after_s = self._retry_delay_s()
            return body
        context.body = body
        return None

    def _has_room(self, context: RequestContext) -> bool:
        now = uptime.now()
        selector = self.steering_state.selector
        return any(selector.has_room(criteria, now) for criteria in self._criteria(context))

    async def _forward_to_home_region(
        self, context: RequestContext, home: HomeRegion
    ) -> BackendResponse | Failure:
        now = uptime.now()
        meter = self.steering_state.home_meter(home, now)
        meter.record_request(now)
        if not self.steering_state.home_admission.admits(home):
            return self._give_up(context, _HOME_REGION_FULL)
        meter.start(now)
        try:
            return await self._run_attempts(context)
        finally:
            meter.finish()

    def _rank(self, context: RequestContext) -> int:
        configuration = self.steering_state.configuration
        if configuration is None:
            return 0
        return configuration.rank(context.service, context.route, context.workspace)

    async def _run_attempts(self, context: RequestContext) -> BackendResponse | Failure:
        last_result: BackendResponse | Failure = _NO_CAPACITY
        connect_failures = 0
        dropped_choice: Choice | None = None
        while True:
            now = uptime.now()
            failure = self._check_before_send(context)
            if failure is not None:
                return self._give_up(context, failure)
            choice = dropped_choice or self._choose_server(context, now)
            if choice.state is None:
                context.refused_choice = choice
                return self._give_up(context, last_result)
            if (
                context.send_count
                and not self.steering_state.retry_budget(context.service, now).take_token()
            ):
                return self._give_up(context, last_result)
            attempt, last_result = await self._run_with_hedging(
                self._create_attempt(context, choice.state, choice, dropped_choice is not None)
            )
            dropped_choice = attempt.choice if attempt.connection_dropped else None
            if attempt.outcome is AttemptOutcome.UNSENT:
                connect_failures += 1
                if context.send_count:
                    # Nothing was sent, so that the retry has not been made.
                    self.steering_state.retry_budget(context.service, now).return_token()
            if not self._may_retry(context, attempt, connect_failures):
                return self._give_up(context, last_result)

    async def _run_with_hedging(self, attempt: Attempt) -> AttemptResult:
        context = attempt.context
        if not context.route.repeatable:
            return AttemptResult(attempt, await attempt.run())
        selector = self.steering_state.selector
        median_s = selector.median_latencies.get(context.service, 0.0)
        typical_latency_s = selector.loads.silence_latency_s(context.service, median_s)
        return await Hedge(context, typical_latency_s, self._create_second_attempt).run(attempt)

    def _create_second_attempt(self, first: Attempt) -> Attempt | None:
        context, now = first.context, uptime.now()
        # A first attempt that is still connecting is going to be sent as well.
        send_count = context.send_count + (first.outcome is AttemptOutcome.UNSENT)
        if send_count >= context.route.attempts:
            return None
        if self.steering_state.crash_reports.poison.is_rejected(context.fingerprint, now):
            return None
        choice = self._choose_server(context, now)
        if choice.state is None:
            return None
        if not self.steering_state.retry_budget(context.service, now).take_token():
            return None
        return self._create_attempt(context, choice.state, choice)

    def _create_attempt(
        self,
        context: RequestContext,
        state: ServerState,
        choice: Choice | None = None,
        needs_new_connection: bool = False,
    ) -> Attempt:
        return Attempt(
            context,
            state,
            choice or Choice(state),
            self.header_codec,
            self.pool,
            self.steering_state,
            self.crash_detector,
            self._check_before_send,
            needs_new_connection,
        )

    def _check_before_send(self, context: RequestContext) -> Failure | None:
        # Checked anew before each send: the request may have waited for its body, its rate, a
        # connection or an earlier attempt.
        if context.status:
            # The response may say that the request will never run.
            return _ANSWERED
        if is_closed_by_peer(context.request.transport):
            return _CALLER_GONE
        # A host that was paused may get here before its timers fire.
        remaining_s = context.deadline - uptime.now()
        if remaining_s <= 0.0:
            return _DEADLINE_PASSED
        typical_latency_s = self.steering_state.selector.median_latencies.get(context.service, 0.0)
        now = time.monotonic()
        if not self.shutdown_schedule.allows_request(now, now + remaining_s, typical_latency_s):
            return _SHUTTING_DOWN
        return None

    def _choose_server(self, context: RequestContext, now: float) -> Choice:
        selector = self.steering_state.selector
        # A server that is sick may crash by itself, so that a suspect goes to another one first.
        crashed = self.steering_state.crash_reports.poison.crashed_backends(
            context.fingerprint, now
        )
        excluded = [[*context.tried, *crashed], context.tried] if crashed else [context.tried]
        choices = (
            selector.decide(criteria, names, now)
            for names in excluded
            for criteria in self._criteria(context)
        )
        refused = Choice(None)
        for choice in choices:
            if choice.state is not None:
                return choice
            refused = choice
        return refused

    def _criteria(self, context: RequestContext) -> list[ServerCriteria]:
        by_preference = self.steering_state.server_criteria(
            context.service, context.route, context.routing_key
        )
        now = uptime.now()
        return [
            criteria._replace(
                home_regions=context.allowed_regions,
                rank=context.rank,
                target_s=context.route.target_s,
                remaining_s=context.deadline - now,
            )
            for criteria in by_preference
        ]

    def _may_retry(self, context: RequestContext, attempt: Attempt, connect_failures: int) -> bool:
        if attempt.outcome is AttemptOutcome.ANSWERED or connect_failures >= CONNECT_FAILURES_MAX:
            return False
        if self._check_before_send(context) is not None:
            return False
        if attempt.outcome is AttemptOutcome.UNSENT:
            return True
        if context.send_count >= context.route.attempts:
            return False
        if self.steering_state.crash_reports.poison.is_rejected(context.fingerprint, uptime.now()):
            return False
        return attempt.outcome is AttemptOutcome.NOT_RUN or context.route.repeatable

    def _give_up(
        self, context: RequestContext, last_result: BackendResponse | Failure
    ) -> BackendResponse | Failure:
        if isinstance(last_result, BackendResponse):
            return last_result
        usual_s = self._retry_delay_s()
        if context.refused_choice is not None:
            remaining_s = context.deadline - uptime.now()
            usual_s = retry_delay_s(context.refused_choice, usual_s, remaining_s, self.rng.random())
        context.retry_after_s = usual_s + self._pause_s(context)
        return context.failure_for_caller(last_result)

    def _pause_s(self, context: RequestContext) -> float:
        # The first end of a pause if all servers that may run the request have asked for one.
        now = uptime.now()
        selector = self.steering_state.selector
        return min(
            (selector.seconds_until_pause_ends(one, now) for one in self._criteria(context)),
            default=0.0,
        )

    def _retry_delay_s(self) -> float:
        return RETRY_AFTER_S + RETRY_AFTER_JITTER_S * self.rng.random()

    def _create_response(
        self, context: RequestContext, result: BackendResponse | Failure
    ) -> web.Response:
        result = self._withhold_unproven_refusal(context, result)
        if isinstance(result, BackendResponse):
            context.status = result.status
            return response_from_backend(result)
        context.code = result.code
        context.reason = result.reason
        headers = self.header_codec.failure_headers(context.request.raw_headers)
        response = response_from_failure(result, context.retry_after_s, headers)
        context.status = response.status
        return response

    def _withhold_unproven_refusal(
        self, context: RequestContext, result: BackendResponse | Failure
    ) -> BackendResponse | Failure:
        # Whatever led to the result: callers repeat a request after one of these statuses.
        if isinstance(result, BackendResponse):
            status, origin = result.status, "a server's answer"
        else:
            status, origin = result.info.http_status, result.reason
        if status not in REFUSAL_STATUSES or context.not_run_evidence is not Evidence.NONE:
            return result
        self.access_log.withheld.labels(status).inc()
        reason = f"nothing proves that the request did not run, as {status} says: {origin}"
        return Failure(ResultCode.BACKEND_FAILED, reason)


def _deadline(context: RequestContext, route: RouteRule, metadata: RequestMetadata) -> float:
    allowed_s = route.timeout_s
    if metadata.deadline_s is not None:
        allowed_s = min(allowed_s, metadata.deadline_s)
    return context.arrived_at + allowed_s


def _host_name(request: web.BaseRequest) -> str:
    return request.headers.get("Host", "").partition(":")[0].lower()
