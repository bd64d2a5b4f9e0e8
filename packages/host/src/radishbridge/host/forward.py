"""The way of one request: key, rate, backend server, answer."""

from __future__ import annotations

import time

import aiohttp
from aiohttp import web

from radishbridge.host.headers import answer_headers, request_headers
from radishbridge.host.keys import KeyRing
from radishbridge.host.metrics import Metrics
from radishbridge.host.problem import problem_response
from radishbridge.records import Failure, ResultCode
from radishbridge.routing import AttemptOutcome, Permit, Router, ServiceRoute
from radishbridge.shares import Admission
from radishbridge.store import Replica

CHUNK_BYTES = 65_536


class Forwarder:
    """Answers callers' requests from backend servers.

    :param admission: rate limits; ``None`` admits all.
    """

    __slots__ = ("admission", "keys", "metrics", "replica", "router", "session")

    def __init__(
        self,
        session: aiohttp.ClientSession,
        replica: Replica,
        keys: KeyRing,
        router: Router,
        metrics: Metrics,
        admission: Admission | None = None,
    ) -> None:
        self.session = session
        self.replica = replica
        self.keys = keys
        self.router = router
        self.metrics = metrics
        self.admission = admission

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        target = self.router.find(request.path)
        if isinstance(target, Failure):
            return self._refuse("", target)
        refusal = self._authorize(request, target)
        if refusal is not None:
            return self._refuse(target.name, refusal)
        permit = self.router.choose(target, (), time.monotonic())
        if isinstance(permit, Failure):
            return self._refuse(target.name, permit)
        return await self._attempt(request, target, permit)

    def _authorize(self, request: web.BaseRequest, target: ServiceRoute) -> Failure | None:
        if not self.replica.complete:
            return Failure(ResultCode.HOST_STARTING, "the configuration is not complete yet")
        if target.route.open:
            return None
        workspace = self.keys.authenticate(request.headers)
        if isinstance(workspace, Failure):
            return workspace
        if self.admission is None:
            return None
        return self.admission.admit(workspace, time.monotonic())

    def _refuse(self, service: str, failure: Failure) -> web.Response:
        self.metrics.requests.labels(service, failure.code.name).inc()
        return problem_response(failure)

    async def _attempt(
        self, request: web.BaseRequest, target: ServiceRoute, permit: Permit
    ) -> web.StreamResponse:
        started_at = time.monotonic()
        outcome = AttemptOutcome(0.0, failed=True)
        try:
            async with self.session.request(
                request.method,
                f"http://{permit.backend.address}{request.raw_path}",
                headers=request_headers(request.headers),
                data=request.content if request.body_exists else None,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=target.service.deadline_s),
            ) as answer:
                outcome = AttemptOutcome(time.monotonic() - started_at, answer.status >= 500)
                return await self._relay(request, target, answer)
        except aiohttp.ClientConnectorError:
            return self._refuse(
                target.name, Failure(ResultCode.BACKEND_REFUSED, "no connection was made")
            )
        except TimeoutError:
            return self._refuse(
                target.name, Failure(ResultCode.DEADLINE_EXCEEDED, "the deadline passed")
            )
        except aiohttp.ClientError:
            return self._refuse(
                target.name, Failure(ResultCode.BACKEND_FAILED, "the connection broke")
            )
        finally:
            self.router.release(permit, outcome, time.monotonic())

    async def _relay(
        self, request: web.BaseRequest, target: ServiceRoute, answer: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            status=answer.status, reason=answer.reason, headers=answer_headers(answer.headers)
        )
        await response.prepare(request)
        async for chunk in answer.content.iter_chunked(CHUNK_BYTES):
            await response.write(chunk)
        await response.write_eof()
        self.metrics.requests.labels(target.name, ResultCode.OK.name).inc()
        return response
