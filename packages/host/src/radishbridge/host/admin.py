"""The listener for operators: liveness, readiness, metrics, configuration in force."""

from __future__ import annotations

import msgspec
from aiohttp import web
from prometheus_client import generate_latest

from radishbridge.host.metrics import Metrics
from radishbridge.records import InForce
from radishbridge.store import Replica


class AdminApi:
    """Handlers of the operators' listener."""

    __slots__ = ("host", "metrics", "replica")

    def __init__(self, host: str, replica: Replica, metrics: Metrics) -> None:
        self.host = host
        self.replica = replica
        self.metrics = metrics

    def application(self) -> web.Application:
        """Build the application that serves the handlers."""
        application = web.Application()
        application.router.add_get("/live", self.live)
        application.router.add_get("/ready", self.ready)
        application.router.add_get("/metrics", self.prometheus)
        application.router.add_get("/v1/in-force/{kind}/{name}", self.in_force)
        return application

    async def live(self, request: web.Request) -> web.Response:
        """Answer 200 while the process runs."""
        return web.Response(text="live\n")

    async def ready(self, request: web.Request) -> web.Response:
        """Answer 200 once the configuration is complete."""
        if self.replica.complete:
            return web.Response(text="ready\n")
        return web.Response(status=503, text="starting\n")

    async def prometheus(self, request: web.Request) -> web.Response:
        """Answer with all metrics in Prometheus' text form."""
        return web.Response(body=generate_latest(self.metrics.registry), content_type="text/plain")

    async def in_force(self, request: web.Request) -> web.Response:
        """Answer which version of a record is in force."""
        at = (request.match_info["kind"], request.match_info["name"])
        record = self.replica.records.get(at)
        report = InForce(
            host=self.host,
            revision=self.replica.revision,
            version=0 if record is None else record.version,
        )
        return web.Response(body=msgspec.json.encode(report), content_type="application/json")
