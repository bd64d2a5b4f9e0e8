"""A store and fake hosts in the test process, against which tests run the client."""

from __future__ import annotations

import collections
import contextlib
import json
import pathlib
import time
import typing as t

import msgspec
from aiohttp import web
from aiohttp.test_utils import TestServer

from radishbridge.client import run
from radishbridge.records import (
    SCHEMA_VERSIONS,
    BurnReport,
    Candidate,
    Explanation,
    HostStatus,
    InForce,
    RejectedRecord,
)
from radishbridge.store import HostEntry
from radishbridge_standin.objects import ObjectApi
from radishbridge_standin.table import ObjectTable, Write

SERVICE = {
    "path_prefix": "/catalogue/",
    "backends": [
        {"name": f"cat-{n}", "address": f"127.0.0.1:{n}", "region": "r", "data_center": "d"}
        | {"version": str(n)}
        for n in (1, 2)
    ],
}


class FakeHost:
    """A host's admin listener; it has every stored record in force unless ``lags`` is set.

    ``on_in_force_request`` is called for each request to ``/v1/in-force``; ``queries`` holds the
    query parameters of the requests to ``/v1/explain``.
    """

    def __init__(self, name: str, store: ObjectTable) -> None:
        self.name = name
        self.store = store
        self.lags = False
        self.on_in_force_request: t.Callable[[], None] = lambda: None
        self.rejected: list[RejectedRecord] = []
        self.burn_report = BurnReport(host=name, interval_s=60, counts=[])
        self.queries: list[dict[str, str]] = []
        application = web.Application()
        application.router.add_get("/v1/in-force/{kind}/{name}", self.in_force)
        application.router.add_get("/v1/status", self.status)
        application.router.add_get("/v1/explain", self.explain)
        application.router.add_get("/v1/burn", self.burn)
        self.server = TestServer(application)

    def make_entry(self) -> HostEntry:
        address = f"127.0.0.1:{self.server.port}"
        location = {"region": "r", "data_center": "d"}
        addresses = {"address": address, "admin_address": address, "peer_address": address}
        return HostEntry(name=self.name, **location, **addresses)

    async def in_force(self, request: web.Request) -> web.Response:
        self.on_in_force_request()
        stored = self.store.objects.get((request.match_info["kind"], request.match_info["name"]))
        version = stored.version if stored and not self.lags else 0
        return _json(InForce(host=self.name, revision=self.store.revision, version=version))

    async def status(self, request: web.Request) -> web.Response:
        status = HostStatus(
            host=self.name,
            region="r",
            data_center="d",
            revision=self.store.revision,
            ready=True,
            leaving=False,
            fresh_age_s=0.5,
            in_flight=3,
            rejected=self.rejected,
        )
        return _json(status)

    async def explain(self, request: web.Request) -> web.Response:
        self.queries.append(dict(request.query))
        candidate = Candidate(
            backend="cat-1",
            region="r",
            data_center="d",
            version="1",
            slots=4,
            in_flight=1,
            verdict="eligible",
        )
        explanation = Explanation(
            host=self.name,
            code=0,
            service="catalogue",
            route_prefix="",
            steps=["the path belongs to service catalogue"],
            candidates=[candidate],
        )
        return _json(explanation)

    async def burn(self, request: web.Request) -> web.Response:
        return _json(self.burn_report)


class FakeFleet:
    """A store and fake hosts.

    ``write_refusals`` says for each of the next writes whether the store refuses it with 503.
    """

    def __init__(self, hosts: int) -> None:
        self.store = ObjectTable()
        self.write_refusals: collections.deque[bool] = collections.deque()
        application = ObjectApi(self.store).application()
        application.middlewares.append(self._refuse_writes)
        self.server = TestServer(application)
        self.hosts = [FakeHost(f"host-{n}", self.store) for n in range(1, hosts + 1)]

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.server.port}"

    async def run_client(self, *arguments: str) -> int:
        return await run(["--store", self.url, *arguments])

    def spec(self, kind: str, name: str) -> dict[str, t.Any]:
        spec: dict[str, t.Any] = self.value(kind, name)["spec"]
        return spec

    def value(self, kind: str, name: str) -> dict[str, t.Any]:
        value: dict[str, t.Any] = msgspec.json.decode(self.store.objects[kind, name].value)
        return value

    async def put_record(self, kind: str, name: str, spec: dict[str, t.Any]) -> None:
        stored = self.store.objects.get((kind, name))
        value = json.dumps({"schema": SCHEMA_VERSIONS[kind], "spec": spec}).encode()
        version = stored.version if stored else 0
        assert self.store.write(Write(kind=kind, name=name, value=value, expected_version=version))

    @web.middleware
    async def _refuse_writes(self, request: web.Request, handler: t.Any) -> web.StreamResponse:
        if request.method == "PUT" and self.write_refusals and self.write_refusals.popleft():
            return web.Response(status=503)
        response: web.StreamResponse = await handler(request)
        return response


@contextlib.asynccontextmanager
async def fake_fleet(hosts: int = 2) -> t.AsyncIterator[FakeFleet]:
    fleet = FakeFleet(hosts)
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(fleet.server)
        for host in fleet.hosts:
            await stack.enter_async_context(host.server)
        fleet.store.set_hosts([host.make_entry() for host in fleet.hosts])
        yield fleet


def write_records(path: pathlib.Path, *records: tuple[str, str, dict[str, t.Any]]) -> str:
    document = [{"kind": kind, "name": name, "spec": spec} for kind, name, spec in records]
    path.write_text(json.dumps(document))
    return str(path)


def current_time_s() -> int:
    return int(time.time())


def _json(value: msgspec.Struct) -> web.Response:
    return web.Response(body=msgspec.json.encode(value), content_type="application/json")
