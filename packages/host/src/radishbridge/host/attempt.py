"""One attempt to get a response from one backend server."""

from __future__ import annotations

import asyncio
import time
import typing as t

import aiohttp

from radishbridge.host.backends import BackendClient
from radishbridge.host.context import RequestContext
from radishbridge.host.headers import NOT_RUN_HEADER, request_headers
from radishbridge.host.relay import CallerGoneError, relay_response
from radishbridge.host.sockets import is_closed_by_peer
from radishbridge.records import Failure, ResultCode
from radishbridge.routing import AttemptOutcome, Permit

if t.TYPE_CHECKING:
    from aiohttp import web

SHED_STATUS = 503
SERVER_ERROR_STATUS = 500


class Attempt:
    """One request sent to one backend server.

    :param check_before_send: returns why the request must no longer be sent; ``None`` if it may.
    :param sent: the request, or a part of it, may have reached the backend server.
    :param started_at: monotonic time in seconds at which the attempt began.
    :param outcome: what the router records about the backend server.
    """

    __slots__ = ("check_before_send", "context", "outcome", "permit", "sent", "started_at")

    def __init__(
        self,
        context: RequestContext,
        permit: Permit,
        check_before_send: t.Callable[[RequestContext, Permit], Failure | None],
    ) -> None:
        self.context = context
        self.check_before_send = check_before_send
        self.permit = permit
        self.sent = False
        self.started_at = time.monotonic()
        self.outcome = AttemptOutcome(0.0, abandoned=True)

    @property
    def not_run(self) -> bool:
        """Whether it is certain that the backend server did not run the request."""
        return not self.sent or self.outcome.shed

    async def run(self, client: BackendClient) -> web.StreamResponse | Failure:
        """Send the request and relay the response; cancellation closes the connection."""
        try:
            result = await self._send(client)
            if isinstance(result, Failure):
                return result
            async with result as response:
                if self.outcome.shed:
                    return Failure(
                        ResultCode.BACKEND_REFUSED, "the backend server shed the request"
                    )
                return await relay_response(self.context, response)
        except CallerGoneError:
            self.outcome = AttemptOutcome(0.0, abandoned=True)
            raise
        except (aiohttp.ClientError, aiohttp.http.HttpProcessingError, OSError) as error:
            return self._record_error(error)
        except asyncio.CancelledError:
            self._record_cancellation()
            raise
        finally:
            self.context.may_have_run |= not self.not_run

    async def _send(self, client: BackendClient) -> aiohttp.ClientResponse | Failure:
        context = self.context
        address = self.permit.backend.address
        request = client.build_request(
            context.request.method,
            address,
            context.request.raw_path,
            request_headers(context.request, address, context.deadline, self.started_at),
            context.body.data(),
        )
        connection = await client.connect(request)
        if is_closed_by_peer(context.request.transport):
            connection.release()
            raise CallerGoneError
        failure = self.check_before_send(context, self.permit)
        if failure is not None:
            connection.release()
            return failure
        self.sent = True
        protocol = connection.protocol
        response = await client.send(request, connection)
        self._record_response(response)
        if self.outcome.shed and protocol is not None:
            # A refusal does not name its request. A duplicate of it on a reused connection would be
            # taken for the refusal of the next request.
            protocol.close()
        return response

    def _record_response(self, response: aiohttp.ClientResponse) -> None:
        # Several values that differ contradict each other.
        values = set(response.headers.getall(NOT_RUN_HEADER, ()))
        shed = response.status == SHED_STATUS and values == {"1"}
        failed = response.status >= SERVER_ERROR_STATUS and not shed
        latency_s = time.monotonic() - self.started_at
        self.outcome = AttemptOutcome(latency_s, failed=failed, shed=shed)

    def _record_error(self, error: Exception) -> web.StreamResponse | Failure:
        context = self.context
        if context.body.failure is None:
            self.outcome = AttemptOutcome(time.monotonic() - self.started_at, failed=True)
        if context.response is not None:
            context.abort_response(ResultCode.BACKEND_FAILED)
            return context.response
        if context.body.failure is not None:
            return context.body.failure
        if not self.sent:
            return Failure(
                ResultCode.BACKEND_REFUSED, "the connection to the backend server failed"
            )
        return Failure(
            ResultCode.BACKEND_FAILED,
            f"the connection to the backend server broke: {type(error).__name__}",
        )

    def _record_cancellation(self) -> None:
        now = time.monotonic()
        deadline = self.context.deadline
        if now >= deadline.at and not deadline.by_caller:
            self.outcome = AttemptOutcome(now - self.started_at, failed=True)
