"""One attempt to get a response from one backend server."""

from __future__ import annotations

import asyncio
import logging
import typing as t

from radishbridge.entry import uptime
from radishbridge.entry.backends import (
    BackendConnection,
    BackendPool,
    BackendResponse,
    HeaderList,
    request_head,
)
from radishbridge.entry.context import (
    MAY_HAVE_RUN_OUTCOMES,
    AbandonedAttempt,
    AttemptOutcome,
    RequestContext,
)
from radishbridge.entry.crashes import CrashDetector
from radishbridge.entry.protocol import HeaderCodec, ResponseMetadata
from radishbridge.entry.refusals import Judgement, ServerAnswer, Verdict, judge
from radishbridge.entry.steering_state import SteeringState
from radishbridge.host.sockets import round_trip_s
from radishbridge.records import Failure, ResultCode
from radishbridge.steering import Choice, ServerState
from radishbridge.steering.servers import FAILURES_TO_EJECT
from radishbridge.steering.usage_counts import AttemptEnding

logger = logging.getLogger(__name__)

_SERVER_LEFT = Failure(
    ResultCode.NO_BACKEND, "the backend server left or paused while the connection opened"
)

SERVER_ERROR = 500
FIRST_SUCCESS = 200
FIRST_REDIRECT = 300
# A server that sheds requests while less than this fraction of its slots is in use counts as
# failing.
SHEDDING_UTILIZATION_MIN = 0.9


class Attempt:
    """One request sent to one backend server.

    :param state: the server, whose load and health are updated from the outcome.
    :param choice: by which the server was selected.
    :param check_before_send: returns why the request must no longer be sent; ``None`` if it may.
    :param needs_new_connection: no idle connection is used, after the server dropped one.
    :param connection_dropped: the server had dropped the connection while it was idle.
    :param started_at: monotonic time in seconds at which the attempt began.
    :param sent_at: monotonic time in seconds at which the request was sent.
    :param asked_for_pause: the response said that the server wants no requests for a while.
    :param ending: how the attempt ended, once it has.
    :param answer: what the server answered; ``None`` without a complete response.
    :param is_silent: the server sent no response for longer than usual.
    """

    __slots__ = (
        "answer",
        "asked_for_pause",
        "check_before_send",
        "choice",
        "connection_dropped",
        "context",
        "crash_detector",
        "ending",
        "header_codec",
        "is_silent",
        "needs_new_connection",
        "outcome",
        "pool",
        "sent_at",
        "started_at",
        "state",
        "steering_state",
    )

    def __init__(
        self,
        context: RequestContext,
        state: ServerState,
        choice: Choice,
        header_codec: HeaderCodec,
        pool: BackendPool,
        steering_state: SteeringState,
        crash_detector: CrashDetector,
        check_before_send: t.Callable[[RequestContext], Failure | None],
        needs_new_connection: bool = False,
    ) -> None:
        self.context = context
        self.state = state
        self.choice = choice
        self.header_codec = header_codec
        self.pool = pool
        self.steering_state = steering_state
        self.crash_detector = crash_detector
        self.check_before_send = check_before_send
        self.needs_new_connection = needs_new_connection
        self.connection_dropped = False
        self.started_at = uptime.now()
        self.sent_at = self.started_at
        self.outcome = AttemptOutcome.UNSENT
        self.ending = AttemptEnding.CANCELLED
        self.is_silent = False
        self.asked_for_pause = False
        self.answer: ServerAnswer | None = None

    async def run(self) -> BackendResponse | Failure:
        """Send the request and return the response, or why there is none."""
        self.context.attempts.append(self)
        self.context.tried.append(self.state.server.name)
        self.state.start(self.started_at)
        try:
            return await self._run()
        except asyncio.CancelledError:
            self._record_cancellation()
            raise
        finally:
            self.state.finish()
            if self.steering_state.usage is not None:
                ran = self.outcome in MAY_HAVE_RUN_OUTCOMES
                ending = self.ending if ran else AttemptEnding.NOT_RUN
                self.steering_state.usage.finish(self, ending, uptime.now())

    async def _run(self) -> BackendResponse | Failure:
        server = self.state.server
        connection = await self._connect()
        if isinstance(connection, Failure):
            self._count_failure(connection.reason, FAILURES_TO_EJECT)
            return connection
        failure = self.check_before_send(self.context)
        if failure is not None:
            self.pool.release(server.address, connection)
            return failure
        if not self.steering_state.selector.takes_requests(self.state, uptime.now()):
            connection.close()
            return _SERVER_LEFT
        self.outcome = AttemptOutcome.MAY_HAVE_RUN
        self.sent_at = uptime.now()
        self.context.send_count += 1
        self.pool.sent_ids.record(
            self.context.metadata.request_id, self.context.number, self.sent_at
        )
        if self.steering_state.usage is not None:
            self.steering_state.usage.begin(
                self,
                self.context.workspace,
                self.context.service,
                self.state.occupancy(self.sent_at),
                round_trip_s(connection.transport),
                self.sent_at,
            )
        try:
            response = await self._exchange(connection)
        except asyncio.CancelledError:
            self._record_abandoned(connection)
            raise
        if isinstance(response, Failure):
            self.ending = AttemptEnding.BROKEN
            if connection.was_dropped_while_idle(self.sent_at, uptime.now()):
                return self._record_drop(response)
            return self._record_exchange_failure(response)
        return self._process_response(response, connection)

    async def _connect(self) -> BackendConnection | Failure:
        address = self.state.server.address
        # Without an id, nothing tells the response from a late one to an earlier request.
        if self.needs_new_connection or not self.context.metadata.request_id:
            return await self.pool.open(address)
        return await self.pool.acquire(
            address, not self.context.route.repeatable, self.context.metadata.request_id
        )

    async def _exchange(self, connection: BackendConnection) -> BackendResponse | Failure:
        context = self.context
        request = context.request
        remaining_s = max(0.0, context.deadline - uptime.now())
        headers = self.header_codec.server_headers(
            request.raw_headers, self.state.server, context.workspace, remaining_s
        )
        sized = request.body_exists or bool(context.body)
        head = request_head(
            request.method, request.raw_path, headers, len(context.body) if sized else None
        )
        return await connection.exchange(
            head,
            context.body,
            request.method == "HEAD",
            self._read_head,
            context.metadata.request_id,
        )

    def _read_head(self, status: int, headers: HeaderList) -> None:
        # Read before the body, which may take long.
        notice = self.header_codec.read_notice(status, headers)
        if notice is None or notice.request_id != self.context.metadata.request_id:
            return
        server = self.state.server
        if notice.is_leaving and self.steering_state.record_leaving(server):
            self.pool.close_idle(server.address)
        if notice.pause_s:
            self.asked_for_pause = True
            self.steering_state.record_pause(server, notice.pause_s)
        if notice.odd_header:
            self.steering_state.record_odd_header(server, notice.odd_header)

    def _process_response(
        self, response: BackendResponse, connection: BackendConnection
    ) -> BackendResponse | Failure:
        self.ending = AttemptEnding.ANSWERED
        metadata = self.header_codec.read_response(response.status, response.headers)
        request_id = self.context.metadata.request_id
        judgement = judge(
            response.status,
            metadata,
            request_id,
            self.state.server.name,
            self.pool.sent_ids.has_another_sender(request_id, self.context.number),
        )
        self.answer = ServerAnswer(response.status, judgement.proves_not_run, connection.requests)
        now = uptime.now()
        if judgement.verdict is Verdict.FOREIGN:
            connection.close()
            return self._record_exchange_failure(
                Failure(ResultCode.BACKEND_FAILED, judgement.reason)
            )
        self.state.record_response(now)
        if metadata.load is not None:
            self.steering_state.load_exchange.record(self.state, metadata.load, now)
        self._release_connection(connection, judgement)
        if judgement.proves_not_run:
            return self._record_refusal(judgement, metadata)
        if metadata.is_signed:
            self.steering_state.crash_reports.record_completed_run(self.context.fingerprint, now)
        if judgement.verdict in (Verdict.LATE_COPY, Verdict.UNPROVEN):
            return self._record_unproven_refusal(judgement)
        return self._process_own_response(response, metadata, now)

    def _release_connection(self, connection: BackendConnection, judgement: Judgement) -> None:
        server = self.state.server
        # After a refusal that may be a late copy, the response to this request is still to come.
        is_late_copy = judgement.verdict is Verdict.LATE_COPY
        if self.state.is_leaving or not self.context.metadata.request_id or is_late_copy:
            connection.close()
        connection.may_idle_long = server.service in self.pool.rules.long_idle_services
        self.pool.release(server.address, connection)

    def _process_own_response(
        self, response: BackendResponse, metadata: ResponseMetadata, now: float
    ) -> BackendResponse | Failure:
        success = FIRST_SUCCESS <= response.status < FIRST_REDIRECT
        if success and (not metadata.is_signed or metadata.is_encoded):
            return self._record_exchange_failure(
                Failure(
                    ResultCode.BACKEND_FAILED,
                    "the response is not the server's own: it is unsigned or encoded",
                )
            )
        self._record_response(response.status >= SERVER_ERROR, now)
        if success:
            # Other responses may take no run, as if all objects were warm.
            loads = self.steering_state.selector.loads
            loads.record_run(self.state, self.choice, now - self.sent_at)
            self.steering_state.record_response_size(self.context.service, len(response.body))
        failed = response.status >= SERVER_ERROR and self.context.route.repeatable
        self.outcome = AttemptOutcome.FAILED if failed else AttemptOutcome.ANSWERED
        return response

    def _record_unproven_refusal(self, judgement: Judgement) -> Failure:
        # The outcome stays that the request may have run.
        if judgement.is_servers_fault:
            self._count_failure(judgement.reason)
            self._record_latency(True)
        return Failure(ResultCode.BACKEND_FAILED, judgement.reason)

    def _record_refusal(self, judgement: Judgement, metadata: ResponseMetadata) -> Failure:
        self.outcome = AttemptOutcome.NOT_RUN
        if judgement.verdict is Verdict.MISDIRECTED:
            self._count_failure("the address belongs to another server now", FAILURES_TO_EJECT)
            return Failure(ResultCode.BACKEND_REFUSED, "the address belongs to another server now")
        load = metadata.load
        if self.asked_for_pause:
            return Failure(ResultCode.BACKEND_REFUSED, "the backend server asked for a pause")
        if load is None or load.running + load.waiting < SHEDDING_UTILIZATION_MIN * load.slots:
            self._count_failure("it shed a request although it had free slots")
        return Failure(ResultCode.BACKEND_REFUSED, "the backend server shed the request")

    def _record_response(self, failed: bool, now: float) -> None:
        latency_s = now - self.started_at
        if failed:
            self._count_failure("it responded with a server error")
        else:
            self.state.record_success(latency_s, now)
            if self.context.route.has_affinity:
                self.state.mark_object_warm(self.context.routing_key, now)
        self._record_latency(failed)

    def _record_exchange_failure(self, failure: Failure) -> Failure:
        self._count_failure(failure.reason)
        self.crash_detector.check_server(self.context.fingerprint, self.state.server)
        self._record_latency(True)
        return failure

    def _record_drop(self, failure: Failure) -> Failure:
        # Neither a failure of the server nor a latency; but a crash looks the same.
        server = self.state.server
        self.crash_detector.check_server(self.context.fingerprint, server)
        self.connection_dropped = True
        self.pool.rules.record_drop(server.address)
        logger.info(
            "server dropped an idle connection",
            extra={"id": self.context.metadata.request_id, "server": server.name},
        )
        return failure

    def record_silence(self) -> None:
        """Count the server's silence as a failure of it; the attempt continues."""
        self.is_silent = True
        self._count_failure("it sent no response for longer than usual")

    def _record_abandoned(self, connection: BackendConnection) -> None:
        if connection.unacknowledged_bytes:
            # The reset discards bytes that are still under way, so the server most likely does not
            # begin. It is no proof, so that only the usage counts rely on it: the outcome stays.
            self.ending = AttemptEnding.NOT_RUN
        running_ms = round((uptime.now() - self.sent_at) * 1000.0)
        self.context.abandoned.append(
            AbandonedAttempt(self.state.server.name, running_ms, connection.unacknowledged_bytes)
        )

    def _record_cancellation(self) -> None:
        deadline_passed = uptime.now() >= self.context.deadline
        if self.outcome is AttemptOutcome.UNSENT or not (deadline_passed or self.is_silent):
            return
        if not self.is_silent:
            self._count_failure("it sent no response before the deadline")
        # The elapsed time is a lower bound of the response's latency.
        self._record_latency(deadline_passed)

    def _count_failure(self, reason: str, weight: int = 1) -> None:
        now = uptime.now()
        if self.state.record_failure(now, weight):
            logger.info(
                "server ejected",
                extra={
                    "server": self.state.server.name,
                    "service": self.state.server.service,
                    "id": self.context.metadata.request_id,
                    "for_s": round(self.state.ejected_until - now, 2),
                    "ejections": self.state.ejections,
                    "reason": reason,
                },
            )

    def _record_latency(self, failed: bool) -> None:
        context = self.context
        latency_s = uptime.now() - self.started_at
        self.steering_state.record_response(
            context.service,
            context.route,
            self.state.server,
            context.routing_key,
            latency_s,
            failed,
        )
