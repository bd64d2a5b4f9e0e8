"""Forwards requests to backend servers: checks, attempts, retries and the response."""

from __future__ import annotations

import asyncio
import logging
import time

from aiohttp import web

from radishbridge.host.attempt import Attempt
from radishbridge.host.backends import BackendClient
from radishbridge.host.checks import RequestChecker
from radishbridge.host.claims import ClaimGuard
from radishbridge.host.context import RequestContext
from radishbridge.host.metrics import Metrics
from radishbridge.host.problem import problem_response
from radishbridge.host.relay import CallerGoneError, finish_response
from radishbridge.host.shutdown import ShutdownSchedule
from radishbridge.records import Failure, LimitSettings, ResultCode
from radishbridge.routing import AttemptOutcome, FailedAttempt, Permit, RetryLimiter, Router

# Weight of the newest response in the moving average of a service's latency.
LATENCY_SAMPLE_WEIGHT = 0.05

_SHUTTING_DOWN = Failure(
    ResultCode.HOST_LEAVING, "the host is shutting down and would stop before the request ends"
)
_SERVER_LEFT = Failure(
    ResultCode.NO_BACKEND, "the backend server was drained or removed while the connection opened"
)

logger = logging.getLogger(__name__)


class Forwarder:
    """Answers callers' requests from backend servers.

    :param client: sends requests to backend servers.
    :param checker: checks each request before a backend server is chosen.
    :param claims: claims idempotency keys; ``None`` ignores them.
    :param shutdown_schedule: when the host refuses requests and ends, once it is shutting down.
    :param mean_latencies_s: moving average of the seconds until a response, by service.
    """

    __slots__ = (
        "checker",
        "claims",
        "client",
        "in_flight",
        "leaving",
        "limits",
        "mean_latencies_s",
        "metrics",
        "retry_limiter",
        "router",
        "shutdown_schedule",
    )

    def __init__(
        self,
        client: BackendClient,
        checker: RequestChecker,
        router: Router,
        metrics: Metrics,
        limits: LimitSettings,
        claims: ClaimGuard | None = None,
    ) -> None:
        self.client = client
        self.checker = checker
        self.router = router
        self.metrics = metrics
        self.limits = limits
        self.claims = claims
        self.retry_limiter = RetryLimiter()
        self.in_flight = 0
        self.leaving = False
        self.shutdown_schedule = ShutdownSchedule()
        self.mean_latencies_s: dict[str, float] = {}

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        context = RequestContext(request, self.limits, time.monotonic())
        self.in_flight += 1
        try:
            return await self._answer(context)
        except asyncio.CancelledError:
            context.code = ResultCode.CALLER_GONE
            raise
        finally:
            self.in_flight -= 1
            self.metrics.record(context, time.monotonic())

    async def _answer(self, context: RequestContext) -> web.StreamResponse:
        failure = await self.checker.check(context)
        if failure is not None:
            return await self._refuse(context, failure)
        try:
            async with asyncio.timeout_at(context.deadline.at):
                result = await self._forward(context)
                if not isinstance(result, Failure):
                    return await self._finish(context, result)
        except TimeoutError:
            if context.response is not None:
                context.abort_response(ResultCode.DEADLINE_EXCEEDED)
                return context.response
            timeout = Failure(ResultCode.DEADLINE_BEFORE_SENT, "the deadline passed")
            result = context.failure_for_caller(timeout)
        return await self._refuse(context, result)

    async def _forward(self, context: RequestContext) -> web.StreamResponse | Failure:
        try:
            failure = await context.body.prepare()
            if failure is not None:
                return failure
            if context.service_route.route.repeatable or self.claims is None:
                return await self._run_attempts(context)
            return await self.claims.run_once(context, self._run_attempts)
        except CallerGoneError:
            return Failure(ResultCode.CALLER_GONE, "the caller disconnected")

    async def _refuse(self, context: RequestContext, failure: Failure) -> web.StreamResponse:
        # The last place where a failure may say that a request did not run although it may have.
        failure = context.failure_for_caller(failure)
        context.code = failure.code
        retry_after_s = 0.0
        if failure.code is ResultCode.RATE_EXCEEDED:
            retry_after_s = self.checker.retry_after_s(context.workspace)
        response = problem_response(failure, retry_after_s)
        if failure.code in _CONNECTION_CLOSING_CODES:
            response.force_close()
        if failure.code is ResultCode.CALLER_GONE:
            return response
        try:
            async with asyncio.timeout(self.limits.idle_s):
                return await self._finish(context, response)
        except TimeoutError:
            context.abort_response(failure.code)
            return response

    async def _finish(
        self, context: RequestContext, response: web.StreamResponse
    ) -> web.StreamResponse:
        context.response = response
        if context.response_aborted:
            return response
        if self.leaving:
            response.force_close()
        try:
            await finish_response(context.request, response)
        except CallerGoneError:
            context.code = ResultCode.CALLER_GONE
        return response

    async def _run_attempts(self, context: RequestContext) -> web.StreamResponse | Failure:
        service_route = context.service_route
        self.retry_limiter.record_request(service_route.name)
        tried: list[str] = []
        failure: Failure | None = None
        while True:
            permit = self.router.acquire(service_route, tried, time.monotonic())
            if isinstance(permit, Failure):
                return context.failure_for_caller(permit if failure is None else failure)
            attempt = Attempt(context, permit, self._check_before_send)
            result = await self._run_attempt(attempt, permit)
            if not isinstance(result, Failure):
                return result
            failure = result
            tried.append(permit.backend.name)
            if not self._may_retry(context, attempt, len(tried)):
                return context.failure_for_caller(failure)

    async def _run_attempt(self, attempt: Attempt, permit: Permit) -> web.StreamResponse | Failure:
        try:
            result = await attempt.run(self.client)
        finally:
            self.router.release(permit, attempt.outcome, time.monotonic())
            self._record_latency(permit.service, attempt.outcome)
        if isinstance(result, Failure):
            logger.info(
                "attempt failed: %s",
                result.reason,
                extra={
                    "service": permit.service,
                    "backend": permit.backend.name,
                    "code": int(result.code),
                },
            )
        return result

    def _check_before_send(self, context: RequestContext, permit: Permit) -> Failure | None:
        # The server may be drained or removed while a connection to it opens.
        if not self.router.is_valid(permit):
            return _SERVER_LEFT
        return self._check_shutdown(context)

    def _check_shutdown(self, context: RequestContext) -> Failure | None:
        mean_latency_s = self.mean_latencies_s.get(context.service_route.name, 0.0)
        if self.shutdown_schedule.allows_request(
            time.monotonic(), context.deadline.at, mean_latency_s
        ):
            return None
        return _SHUTTING_DOWN

    def _record_latency(self, service: str, outcome: AttemptOutcome) -> None:
        if outcome.abandoned or outcome.failed or outcome.shed:
            return
        previous_s = self.mean_latencies_s.get(service, outcome.latency_s)
        self.mean_latencies_s[service] = previous_s + LATENCY_SAMPLE_WEIGHT * (
            outcome.latency_s - previous_s
        )

    def _may_retry(self, context: RequestContext, attempt: Attempt, attempts: int) -> bool:
        failed = FailedAttempt(
            attempts=attempts,
            not_run=attempt.not_run,
            repeatable=context.service_route.route.repeatable,
            replayable=context.body.replayable and context.body.failure is None,
            response_started=context.response is not None,
            remaining_s=context.deadline.remaining_s(time.monotonic()),
        )
        if self._check_shutdown(context) is not None:
            return False
        return self.retry_limiter.allow(context.service_route.name, failed)


# Refusals that close the connection: the rest of the body is not read, or the workspace has too
# many connections.
_CONNECTION_CLOSING_CODES = frozenset(
    {
        ResultCode.CONNECTIONS_EXCEEDED,
        ResultCode.REQUEST_INCOMPLETE,
        ResultCode.REQUEST_CUT_OFF,
        ResultCode.REQUEST_MALFORMED,
        ResultCode.REQUEST_TOO_LARGE,
    }
)
