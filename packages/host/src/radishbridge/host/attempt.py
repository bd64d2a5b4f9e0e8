"""One attempt to get an answer from one backend server."""

from __future__ import annotations

import asyncio
import time
import typing as t

import aiohttp

from radishbridge.host.backends import BackendClient
from radishbridge.host.exchange import Exchange
from radishbridge.host.headers import NOT_RUN_HEADER, request_headers
from radishbridge.host.relay import CallerGoneError, relay_answer
from radishbridge.host.sockets import is_closed_by_peer
from radishbridge.records import Failure, ResultCode
from radishbridge.routing import AttemptOutcome, Permit

if t.TYPE_CHECKING:
    from aiohttp import web

SHED_STATUS = 503
SERVER_ERROR_STATUS = 500


class Attempt:
    """One request sent to one backend server.

    :param obstacle: tells why the request must not be sent now; ``None`` where it may.
    :param sent: the request, or a part of it, may have reached the backend server.
    :param outcome: what the router learns of the backend server.
    """

    __slots__ = ("exchange", "obstacle", "outcome", "permit", "sent", "started_at")

    def __init__(
        self,
        exchange: Exchange,
        permit: Permit,
        obstacle: t.Callable[[Exchange, Permit], Failure | None],
    ) -> None:
        self.exchange = exchange
        self.obstacle = obstacle
        self.permit = permit
        self.sent = False
        self.started_at = time.monotonic()
        self.outcome = AttemptOutcome(0.0, abandoned=True)

    @property
    def not_run(self) -> bool:
        """Whether the request provably did not run."""
        return not self.sent or self.outcome.shed

    async def run(self, client: BackendClient) -> web.StreamResponse | Failure:
        """Send the request and pass the answer on; cancellation closes the connection."""
        try:
            sent = await self._send(client)
            if isinstance(sent, Failure):
                return sent
            async with sent as answer:
                if self.outcome.shed:
                    return Failure(ResultCode.BACKEND_REFUSED, "the backend server shed it")
                return await relay_answer(self.exchange, answer)
        except CallerGoneError:
            self.outcome = AttemptOutcome(0.0, abandoned=True)
            raise
        except (aiohttp.ClientError, aiohttp.http.HttpProcessingError, OSError) as error:
            return self._note_error(error)
        except asyncio.CancelledError:
            self._note_cancellation()
            raise
        finally:
            self.exchange.may_have_run |= not self.not_run

    async def _send(self, client: BackendClient) -> aiohttp.ClientResponse | Failure:
        exchange = self.exchange
        address = self.permit.backend.address
        request = client.request(
            exchange.request.method,
            address,
            exchange.request.raw_path,
            request_headers(exchange.request, address, exchange.deadline, self.started_at),
            exchange.body.data(),
        )
        connection = await client.connect(request)
        if is_closed_by_peer(exchange.request.transport):
            connection.release()
            raise CallerGoneError
        obstacle = self.obstacle(exchange, self.permit)
        if obstacle is not None:
            connection.release()
            return obstacle
        self.sent = True
        protocol = connection.protocol
        answer = await client.send(request, connection)
        self._note_answer(answer)
        if self.outcome.shed and protocol is not None:
            # Nothing tells whose refusal it is: once more on this connection, it would pass for
            # that of the next request.
            protocol.close()
        return answer

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
