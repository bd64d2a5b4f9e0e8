"""HTTP API for operators: liveness, readiness, metrics, status, explanations and burn."""

from __future__ import annotations

import time

import msgspec
from aiohttp import web
from prometheus_client import generate_latest

from radishbridge.host.explain import Explainer
from radishbridge.host.metrics import Metrics
from radishbridge.host.problem import problem_response
from radishbridge.host.state import HostState
from radishbridge.records import Failure, ResultCode


class AdminApi:
    """Request handlers of the operators' listener."""

    __slots__ = ("explainer", "metrics", "state")

    def __init__(self, state: HostState, explainer: Explainer, metrics: Metrics) -> None:
        self.state = state
        self.explainer = explainer
        self.metrics = metrics

    def application(self) -> web.Application:
        """Return the application with all routes."""
        application = web.Application()
        application.router.add_get("/live", self.live)
        application.router.add_get("/ready", self.ready)
        application.router.add_get("/metrics", self.prometheus)
        application.router.add_get("/v1/in-force/{kind}/{name}", self.in_force)
        application.router.add_get("/v1/status", self.status)
        application.router.add_get("/v1/explain", self.explain)
        application.router.add_get("/v1/burn", self.burn)
        return application

    async def live(self, request: web.Request) -> web.Response:
        """Answer 200 while the process runs."""
        return web.Response(text="live\n")

    async def ready(self, request: web.Request) -> web.Response:
        """Answer 200 while callers should be directed to this host."""
        if self.state.ready:
            return web.Response(text="ready\n")
        reason = "leaving" if self.state.forwarder.leaving else "starting"
        return web.Response(status=503, text=f"{reason}\n")

    async def prometheus(self, request: web.Request) -> web.Response:
        """Answer with all metrics in the Prometheus text format."""
        return web.Response(body=generate_latest(self.metrics.registry), content_type="text/plain")

    async def in_force(self, request: web.Request) -> web.Response:
        """Answer with the version of a record that is in force."""
        return _json(self.state.in_force(request.match_info["kind"], request.match_info["name"]))

    async def status(self, request: web.Request) -> web.Response:
        """Answer with the state of the host."""
        return _json(self.state.status(time.monotonic()))

    async def explain(self, request: web.Request) -> web.Response:
        """Answer with an explanation of how a request would be handled."""
        query = request.query
        if "path" not in query:
            return problem_response(
                Failure(ResultCode.REQUEST_MALFORMED, "the parameter path is missing")
            )
        explanation = self.explainer.explain(
            query["path"],
            query.get("method", "GET"),
            query.get("workspace", ""),
            time.monotonic(),
        )
        return _json(explanation)

    async def burn(self, request: web.Request) -> web.Response:
        """Answer with the counts for the report on error budget burn."""
        return _json(self.metrics.burn.report(self.state.settings.host))


def _json(value: msgspec.Struct) -> web.Response:
    return web.Response(body=msgspec.json.encode(value), content_type="application/json")
