"""A host and its backend servers in the event loop of a test."""

from __future__ import annotations

import asyncio
import contextlib
import random
import typing as t

import aiohttp
import msgspec
from aiohttp import web

from radishbridge.host.backends import BackendClient
from radishbridge.host.checks import RequestChecker
from radishbridge.host.connections import CallerServer
from radishbridge.host.forward import Forwarder
from radishbridge.host.keys import KeyRing, key_digest
from radishbridge.host.metrics import Metrics
from radishbridge.records import (
    Backend,
    Key,
    LimitSettings,
    RecordBody,
    Route,
    Service,
    Workspace,
    encode_record,
)
from radishbridge.routing import LocalRouter
from radishbridge.store import Freshness, Replica, StoredObject
from radishbridge_standin.backend import BackendServer

LOOPBACK = "127.0.0.1"
SECRET = "secret-of-school-17"
WITH_KEY = {"Authorization": f"Bearer {SECRET}"}
ROUTES = [
    Route(prefix="/public", open=True),
    Route(prefix="/once", repeatable=False),
]


async def until(condition: t.Callable[[], bool], timeout_s: float = 5.0) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)


class Harness:
    """One host with the service ``catalogue`` in front of some backend servers."""

    def __init__(self, limits: LimitSettings | None = None) -> None:
        self.limits = limits or LimitSettings()
        self.stack = contextlib.AsyncExitStack()
        self.replica = Replica()
        self.metrics = Metrics()
        self.router = LocalRouter("oberbayern", "ob-a", random.Random(7))
        keys = KeyRing()
        self.replica.listeners += [keys.update, self.router.update]
        freshness = Freshness(self.replica, "oberbayern", 1e9)
        self.checker = RequestChecker(self.replica, keys, self.router, self.limits, freshness)
        self.servers: list[BackendServer] = []
        self.backends: list[Backend] = []
        self.version = 0

    async def __aenter__(self) -> Harness:
        client = BackendClient()
        self.stack.push_async_callback(client.close)
        self.forwarder = Forwarder(client, self.checker, self.router, self.metrics, self.limits)
        self.server = CallerServer(self.forwarder.handle, self.limits)
        self.checker.server = self.server
        runner = web.ServerRunner(self.server, shutdown_timeout=1.0)
        self.address = await self._listen(runner)
        self.caller = await self.stack.enter_async_context(aiohttp.ClientSession())
        self.put_record("workspace", "school-17", Workspace())
        self.put_record("key", "school-17-a", Key(workspace="school-17", digest=key_digest(SECRET)))
        self.replica.advance(1)
        self.replica.record_store_read(1, self.replica.clock(), 0)
        self.replica.complete = True
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self.stack.aclose()

    async def add_backend(self, **options: t.Any) -> BackendServer:
        """Start one more backend server."""
        server = BackendServer(f"cat-{len(self.servers) + 1}", **options)
        address = await self._listen(web.ServerRunner(server.server(), shutdown_timeout=0.2))
        self.servers.append(server)
        self.add_address(server.name, address)
        return server

    def add_address(self, name: str, address: str) -> None:
        """Add the record of a backend server that was not started here, or does not exist."""
        backend = Backend(name=name, address=address, region="oberbayern", data_center="ob-a")
        self.backends.append(backend)
        self.put_service()

    def put_service(self, **fields: t.Any) -> None:
        """Replace the record of the service.

        :param fields: fields that differ from the defaults.
        """
        defaults = {"path_prefix": "/catalogue/", "routes": ROUTES, "backends": self.backends}
        self.put_record("service", "catalogue", Service(**(defaults | fields)))

    def put_record(self, kind: str, name: str, body: RecordBody) -> None:
        """Apply a new version of a record."""
        self.version += 1
        value = msgspec.Raw(encode_record(kind, body))
        stored = StoredObject(kind=kind, name=name, version=self.version, value=value)
        assert self.replica.apply(stored)

    def url(self, path: str = "/catalogue/devices/1") -> str:
        """Return the URL of a path at the host."""
        return f"http://{self.address}{path}"

    async def get(self, path: str, **options: t.Any) -> tuple[int, bytes]:
        """Send a GET request with the key; return status and body."""
        async with self.caller.get(self.url(path), headers=WITH_KEY, **options) as response:
            return response.status, await response.read()

    async def open_connection(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a TCP connection to the host."""
        host, _, port = self.address.partition(":")
        return await asyncio.open_connection(host, int(port))

    async def _listen(self, runner: web.ServerRunner) -> str:
        await runner.setup()
        self.stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, LOOPBACK, 0).start()
        return f"{LOOPBACK}:{runner.addresses[0][1]}"


def problem_code(body: bytes) -> int:
    """Return the result code in a problem body."""
    code = msgspec.json.decode(body)["code"]
    assert isinstance(code, int)
    return code
