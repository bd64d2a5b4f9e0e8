"""One attempt to get an answer from one backend server."""

from __future__ import annotations

import asyncio
import logging
import time
import typing as t

from radishbridge.entry.backends import (
    BackendConnection,
    BackendPool,
    BackendResponse,
    request_head,
)
from radishbridge.entry.crashes import (
    CrashDetector,
)
from radishbridge.entry.protocol import (
    HeaderCodec,
    ResponseMetadata,
)
from radishbridge.entry.steering_state import SteeringState
from radishbridge.entry.task import Abandoned, AttemptEnd, RequestTask
from radishbridge.records import Failure, ResultCode
from radishbridge.steering import ServerState
from radishbridge.steering.servers import FAILURES_TO_EJECT

logger = logging.getLogger(__name__)

_LEFT = Failure(ResultCode.NO_BACKEND, "the backend server left while a connection opened")

SERVER_ERROR = 500
FIRST_SUCCESS = 200
FIRST_REDIRECT = 300
# A server that sheds although it reports at most this part of its slots in use is failing.
SHEDS_WHILE_FREE = 0.9


class Attempt:
    """One request sent to one backend server.

    :param state: the server, whose load and health the outcome updates.
    :param objection: tells why the request must not be sent now; ``None`` where it may.
    """

    __slots__ = (
        "crashes",
        "end",
        "header_codec",
        "is_silent",
        "objection",
        "pool",
        "sent_at",
        "started_at",
        "state",
        "steering_state",
        "task",
    )

    def __init__(
        self,
        task: RequestTask,
        state: ServerState,
        header_codec: HeaderCodec,
        pool: BackendPool,
        steering_state: SteeringState,
        crashes: CrashDetector,
        objection: t.Callable[[RequestTask], Failure | None],
    ) -> None:
        self.task = task
        self.state = state
        self.header_codec = header_codec
        self.pool = pool
        self.steering_state = steering_state
        self.crashes = crashes
        self.objection = objection
        self.started_at = time.monotonic()
        self.sent_at = self.started_at
        self.end = AttemptEnd.UNSENT
        self.is_silent = False

    async def run(self) -> BackendResponse | Failure:
        """Send the request and return the answer, or why there is none."""
        self.task.attempts.append(self)
        self.task.tried.append(self.state.server.name)
        self.state.start(self.started_at)
        try:
            return await self._run()
        except asyncio.CancelledError:
            self._note_cancellation()
            raise
        finally:
            self.state.finish()

    async def _run(self) -> BackendResponse | Failure:
        server = self.state.server
        connection = await self.pool.acquire(server.address, not self.task.route.repeatable)
        if isinstance(connection, Failure):
            self._count_failure(connection.reason, FAILURES_TO_EJECT)
            return connection
        objection = self.objection(self.task)
        if objection is not None:
            self.pool.release(server.address, connection)
            return objection
        if not self.steering_state.selector.takes_requests(self.state):
            connection.close()
            return _LEFT
        self.end = AttemptEnd.MAY_HAVE_RUN
        self.sent_at = time.monotonic()
        self.task.sends += 1
        try:
            answer = await self._exchange(connection)
        except asyncio.CancelledError:
            self._note_abandoned(connection)
            raise
        if isinstance(answer, Failure):
            return self._note_break(answer)
        return self._judge(answer, connection)

    async def _exchange(self, connection: BackendConnection) -> BackendResponse | Failure:
        task = self.task
        request = task.request
        remaining_s = max(0.0, task.deadline - time.monotonic())
        headers = self.header_codec.server_headers(
            request.raw_headers, self.state.server, task.workspace, remaining_s
        )
        sized = request.body_exists or bool(task.body)
        head = request_head(
            request.method, request.raw_path, headers, len(task.body) if sized else None
        )
        return await connection.exchange(head, task.body, request.method == "HEAD")

    def _judge(
        self, answer: BackendResponse, connection: BackendConnection
    ) -> BackendResponse | Failure:
        facts = self.header_codec.read_response(answer.status, answer.headers)
        now = time.monotonic()
        if facts.request_id != self.task.facts.request_id:
            # Nor is a refusal without an id believed: it may be an earlier request's, once more.
            connection.close()
            named = "belongs to another request" if facts.request_id else "names no request"
            return self._note_break(Failure(ResultCode.BACKEND_FAILED, f"the answer {named}"))
        self.state.record_response(now)
        if facts.load is not None:
            self.state.record_load(facts.load, now)
        self.pool.release(self.state.server.address, connection)
        if facts.not_run or facts.misdirected:
            return self._note_refusal(facts, now)
        success = FIRST_SUCCESS <= answer.status < FIRST_REDIRECT
        if success and (not facts.is_signed or facts.is_encoded):
            return self._note_break(
                Failure(ResultCode.BACKEND_FAILED, "the answer is not the server's own")
            )
        self._note_answer(answer.status >= SERVER_ERROR, now)
        if success:
            self.steering_state.record_response_size(self.task.service, len(answer.body))
        failed = answer.status >= SERVER_ERROR and self.task.route.repeatable
        self.end = AttemptEnd.FAILED if failed else AttemptEnd.ANSWERED
        return answer

    def _note_refusal(self, facts: ResponseMetadata, now: float) -> Failure:
        self.end = AttemptEnd.NOT_RUN
        if facts.misdirected:
            self._count_failure("another server has the address", FAILURES_TO_EJECT)
            return Failure(ResultCode.BACKEND_REFUSED, "another server has the address")
        load = facts.load
        if load is None or load.running + load.waiting < SHEDS_WHILE_FREE * load.slots:
            self._count_failure("it sheds although it has free slots")
        return Failure(ResultCode.BACKEND_REFUSED, "the backend server shed it")

    def _note_answer(self, failed: bool, now: float) -> None:
        latency_s = now - self.started_at
        if failed:
            self._count_failure("it answers with failures")
        else:
            self.state.record_success(latency_s, now)
            if self.task.route.has_affinity:
                self.state.mark_object_warm(self.task.key, now)
        self._tell_board(failed)

    def _note_break(self, failure: Failure) -> Failure:
        self._count_failure(failure.reason)
        self.crashes.check_server(self.task.fingerprint, self.state.server)
        self._tell_board(True)
        return failure

    def note_silence(self) -> None:
        """Count the server's silence against it; the attempt goes on."""
        self.is_silent = True
        self._count_failure("it is silent")

    def _note_abandoned(self, connection: BackendConnection) -> None:
        running_ms = round((time.monotonic() - self.sent_at) * 1000.0)
        self.task.abandoned.append(
            Abandoned(self.state.server.name, running_ms, connection.unacknowledged)
        )

    def _note_cancellation(self) -> None:
        late = time.monotonic() >= self.task.deadline
        if self.end is AttemptEnd.UNSENT or not (late or self.is_silent):
            return
        if not self.is_silent:
            self._count_failure("it does not answer")
        # The time so far is the least that the answer would have taken.
        self._tell_board(late)

    def _count_failure(self, reason: str, weight: int = 1) -> None:
        now = time.monotonic()
        if self.state.record_failure(now, weight):
            logger.info(
                "server left out",
                extra={
                    "server": self.state.server.name,
                    "service": self.state.server.service,
                    "id": self.task.facts.request_id,
                    "for_s": round(self.state.ejected_until - now, 2),
                    "ejections": self.state.ejections,
                    "reason": reason,
                },
            )

    def _tell_board(self, failed: bool) -> None:
        task = self.task
        latency_s = time.monotonic() - self.started_at
        self.steering_state.record_response(
            task.service, task.route, self.state.server, task.key, latency_s, failed
        )
