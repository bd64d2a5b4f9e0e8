"""One attempt to get an answer from one backend server."""

from __future__ import annotations

import asyncio
import contextvars
import time
import typing as t

import aiohttp
import yarl

from radishbridge.host.exchange import Exchange
from radishbridge.host.headers import NOT_RUN_HEADER, request_headers
from radishbridge.host.relay import CallerGoneError, relay_answer
from radishbridge.records import Failure, ResultCode
from radishbridge.routing import AttemptOutcome, Permit

if t.TYPE_CHECKING:
    from aiohttp import web

CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTION_S = 10.0
SHED_STATUS = 503
SERVER_ERROR_STATUS = 500

_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
_ADDED_BY_SESSION = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


class Attempt:
    """One request sent to one backend server.

    :param sent: the request, or a part of it, may have reached the backend server.
    :param outcome: what the router learns of the backend server.
    """

    __slots__ = ("exchange", "outcome", "permit", "sent", "started_at")

    def __init__(self, exchange: Exchange, permit: Permit) -> None:
        self.exchange = exchange
        self.permit = permit
        self.sent = False
        self.started_at = time.monotonic()
        self.outcome = AttemptOutcome(0.0, abandoned=True)

    @property
    def not_run(self) -> bool:
        """Whether the request provably did not run."""
        return not self.sent or self.outcome.shed

    async def run(self, session: aiohttp.ClientSession) -> web.StreamResponse | Failure:
        """Send the request and pass the answer on; cancellation closes the connection."""
        _current.set(self)
        try:
            async with self._send(session) as answer:
                self._note_answer(answer)
                if self.outcome.shed:
                    return Failure(ResultCode.BACKEND_REFUSED, "the backend server shed it")
                return await relay_answer(self.exchange, answer)
        except CallerGoneError:
            self.outcome = AttemptOutcome(0.0, abandoned=True)
            raise
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return self._note_error(error)
        except asyncio.CancelledError:
            self._note_cancellation()
            raise
        finally:
            self.exchange.may_have_run |= not self.not_run

    def _send(
        self, session: aiohttp.ClientSession
    ) -> t.AsyncContextManager[aiohttp.ClientResponse]:
        exchange = self.exchange
        request = exchange.request
        return session.request(
            request.method,
            # The target goes on as it was checked, without any quoting or normalisation.
            yarl.URL(f"http://{self.permit.backend.address}{request.raw_path}", encoded=True),
            headers=request_headers(request, exchange.deadline, self.started_at),
            data=exchange.body.data(),
            allow_redirects=False,
        )

    def _note_answer(self, answer: aiohttp.ClientResponse) -> None:
        shed = answer.status == SHED_STATUS and answer.headers.get(NOT_RUN_HEADER) == "1"
        failed = answer.status >= SERVER_ERROR_STATUS and not shed
        latency_s = time.monotonic() - self.started_at
        self.outcome = AttemptOutcome(latency_s, failed=failed, shed=shed)

    def _note_error(self, error: Exception) -> web.StreamResponse | Failure:
        exchange = self.exchange
        if exchange.body.failure is None:
            self.outcome = AttemptOutcome(time.monotonic() - self.started_at, failed=True)
        if exchange.response is not None:
            exchange.cut(ResultCode.BACKEND_FAILED)
            return exchange.response
        if exchange.body.failure is not None:
            return exchange.body.failure
        if not self.sent:
            return Failure(ResultCode.BACKEND_REFUSED, "no connection was made")
        return Failure(ResultCode.BACKEND_FAILED, f"the connection broke: {type(error).__name__}")

    def _note_cancellation(self) -> None:
        now = time.monotonic()
        deadline = self.exchange.deadline
        if now >= deadline.at and not deadline.by_caller:
            self.outcome = AttemptOutcome(now - self.started_at, failed=True)


_current: contextvars.ContextVar[Attempt] = contextvars.ContextVar("attempt")


class _MarkingRequest(aiohttp.ClientRequest):
    """Notes on the attempt that sending begins, and sends once only.

    The session would by itself repeat a request of an idempotent method on a new connection.
    Only the route says whether a request may be repeated, so the second send is refused.
    """

    async def send(self, conn: aiohttp.connector.Connection) -> aiohttp.ClientResponse:
        attempt = _current.get()
        if attempt.sent:
            raise aiohttp.ServerDisconnectedError
        attempt.sent = True
        return await super().send(conn)


def open_backend_session() -> aiohttp.ClientSession:
    """Return a client session for attempts; the caller closes it."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=IDLE_CONNECTION_S),
        request_class=_MarkingRequest,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=_ADDED_BY_SESSION,
        auto_decompress=False,
        timeout=_TIMEOUT,
    )
