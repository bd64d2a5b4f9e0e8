"""The way of one request: checks, attempts at backend servers, answer."""

from __future__ import annotations

import asyncio
import logging
import time

from aiohttp import web

from radishbridge.host.attempt import Attempt
from radishbridge.host.backends import BackendClient
from radishbridge.host.claims import ClaimGuard
from radishbridge.host.exchange import Exchange
from radishbridge.host.gate import Gate
from radishbridge.host.metrics import Metrics
from radishbridge.host.problem import problem_response
from radishbridge.host.relay import CallerGoneError, finish_answer
from radishbridge.host.shutdown import ShutdownSchedule
from radishbridge.records import Failure, LimitSettings, ResultCode
from radishbridge.routing import AttemptOutcome, FailedAttempt, Permit, RetryLimiter, Router

# Weight of the newest answer in the mean time to one.
NEW_SAMPLE = 0.05

_LEAVING = Failure(ResultCode.HOST_LEAVING, "the host stops before the request would be answered")
_LEFT = Failure(ResultCode.NO_BACKEND, "the backend server left while a connection opened")

logger = logging.getLogger(__name__)


class Forwarder:
    """Answers callers' requests from backend servers.

    :param client: connections to backend servers.
    :param gate: checks that come before the choice of a backend server.
    :param claims: claims idempotency keys; ``None`` leaves them unclaimed.
    :param shutdown_schedule: when the host refuses requests and ends, once it is shutting down.
    :param usual_s: mean time to an answer in seconds, by service.
    """

    __slots__ = (
        "claims",
        "client",
        "gate",
        "in_flight",
        "leaving",
        "limits",
        "metrics",
        "retries",
        "router",
        "shutdown_schedule",
        "usual_s",
    )

    def __init__(
        self,
        client: BackendClient,
        gate: Gate,
        router: Router,
        metrics: Metrics,
        limits: LimitSettings,
        claims: ClaimGuard | None = None,
    ) -> None:
        self.client = client
        self.gate = gate
        self.router = router
        self.metrics = metrics
        self.limits = limits
        self.claims = claims
        self.retries = RetryLimiter()
        self.in_flight = 0
        self.leaving = False
        self.shutdown_schedule = ShutdownSchedule()
        self.usual_s: dict[str, float] = {}

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        exchange = Exchange(request, self.limits, time.monotonic())
        self.in_flight += 1
        try:
            return await self._answer(exchange)
        except asyncio.CancelledError:
            exchange.code = ResultCode.CALLER_GONE
            raise
        finally:
            self.in_flight -= 1
            self.metrics.note(exchange, time.monotonic())

    async def _answer(self, exchange: Exchange) -> web.StreamResponse:
        failure = await self.gate.admit(exchange)
        if failure is not None:
            return await self._refuse(exchange, failure)
        try:
            async with asyncio.timeout_at(exchange.deadline.at):
                answer = await self._forward(exchange)
                if not isinstance(answer, Failure):
                    return await self._finish(exchange, answer)
        except TimeoutError:
            if exchange.response is not None:
                exchange.cut(ResultCode.DEADLINE_EXCEEDED)
                return exchange.response
            late = Failure(ResultCode.DEADLINE_BEFORE_SENT, "the deadline passed")
            answer = exchange.truthful(late)
        return await self._refuse(exchange, answer)

    async def _forward(self, exchange: Exchange) -> web.StreamResponse | Failure:
        try:
            failure = await exchange.body.prepare()
            if failure is not None:
                return failure
            if exchange.target.route.repeatable or self.claims is None:
                return await self._attempts(exchange)
            return await self.claims.run_once(exchange, self._attempts)
        except CallerGoneError:
            return Failure(ResultCode.CALLER_GONE, "the caller went away")

    async def _refuse(self, exchange: Exchange, failure: Failure) -> web.StreamResponse:
        exchange.code = failure.code
        retry_after_s = 0.0
        if failure.code is ResultCode.RATE_EXCEEDED:
            retry_after_s = self.gate.retry_after_s(exchange.workspace)
        response = problem_response(failure, retry_after_s)
        if failure.code in _CLOSING:
            response.force_close()
        if failure.code is ResultCode.CALLER_GONE:
            return response
        try:
            async with asyncio.timeout(self.limits.idle_s):
                return await self._finish(exchange, response)
        except TimeoutError:
            exchange.cut(failure.code)
            return response

    async def _finish(self, exchange: Exchange, response: web.StreamResponse) -> web.StreamResponse:
        exchange.response = response
        if exchange.cut_off:
            return response
        if self.leaving:
            response.force_close()
        try:
            await finish_answer(exchange.request, response)
        except CallerGoneError:
            exchange.code = ResultCode.CALLER_GONE
        return response

    async def _attempts(self, exchange: Exchange) -> web.StreamResponse | Failure:
        target = exchange.target
        self.retries.record_request(target.name)
        tried: list[str] = []
        failure: Failure | None = None
        while True:
            permit = self.router.acquire(target, tried, time.monotonic())
            if isinstance(permit, Failure):
                return exchange.truthful(permit if failure is None else failure)
            attempt = Attempt(exchange, permit, self._obstacle)
            answer = await self._attempt(attempt, permit)
            if not isinstance(answer, Failure):
                return answer
            failure = answer
            tried.append(permit.backend.name)
            if not self._may_retry(exchange, attempt, len(tried)):
                return exchange.truthful(failure)

    async def _attempt(self, attempt: Attempt, permit: Permit) -> web.StreamResponse | Failure:
        try:
            answer = await attempt.run(self.client)
        finally:
            self.router.release(permit, attempt.outcome, time.monotonic())
            self._note_time(permit.service, attempt.outcome)
        if isinstance(answer, Failure):
            logger.info(
                "attempt failed: %s",
                answer.reason,
                extra={
                    "service": permit.service,
                    "backend": permit.backend.name,
                    "code": int(answer.code),
                },
            )
        return answer

    def _obstacle(self, exchange: Exchange, permit: Permit) -> Failure | None:
        # A server may leave while a connection to it opens.
        if not self.router.is_valid(permit):
            return _LEFT
        return self._objection(exchange)

    def _objection(self, exchange: Exchange) -> Failure | None:
        usual_s = self.usual_s.get(exchange.target.name, 0.0)
        if self.shutdown_schedule.allows_request(time.monotonic(), exchange.deadline.at, usual_s):
            return None
        return _LEAVING

    def _note_time(self, service: str, outcome: AttemptOutcome) -> None:
        if outcome.abandoned or outcome.failed or outcome.shed:
            return
        held_s = self.usual_s.get(service, outcome.latency_s)
        self.usual_s[service] = held_s + NEW_SAMPLE * (outcome.latency_s - held_s)

    def _may_retry(self, exchange: Exchange, attempt: Attempt, attempts: int) -> bool:
        failed = FailedAttempt(
            attempts=attempts,
            not_run=attempt.not_run,
            repeatable=exchange.target.route.repeatable,
            replayable=exchange.body.replayable and exchange.body.failure is None,
            response_started=exchange.response is not None,
            remaining_s=exchange.deadline.remaining_s(time.monotonic()),
        )
        if self._objection(exchange) is not None:
            return False
        return self.retries.allow(exchange.target.name, failed)


# The rest of the body is not worth reading, or the connection itself is one too many.
_CLOSING = frozenset(
    {
        ResultCode.CONNECTIONS_EXCEEDED,
        ResultCode.REQUEST_INCOMPLETE,
        ResultCode.REQUEST_MALFORMED,
        ResultCode.REQUEST_TOO_LARGE,
    }
)
