"""A request forwarder with scripted backend servers, without a platform."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import time
import typing as t

import aiohttp
from aiohttp import web
from prometheus_client import CollectorRegistry
from steering_world import make_route, make_server

from radishbridge.entry import (
    AccessLog,
    BackendPool,
    Bounds,
    RequestForwarder,
    SteeringState,
    uptime,
)
from radishbridge.host.connections import CallerServer
from radishbridge.host.pipelining import Pipelining
from radishbridge.host.tasks import Supervisor
from radishbridge.platform.headers import PlatformHeaderCodec
from radishbridge.records import LimitSettings
from radishbridge.steering import Configuration, RouteRule, ServiceRule, WorkspaceRule

Responder = t.Callable[[web.BaseRequest], t.Awaitable[web.StreamResponse]]
GENEROUS_BOUNDS = Bounds(retry_ratio=2.0, retry_allowance=1000.0)


class ScriptedBackend:
    """A backend server that records its requests and responds by a function.

    :param cancelled: number of requests that were cancelled because their connection closed.
    """

    def __init__(self, respond: Responder) -> None:
        self.respond = respond
        self.requests: list[web.BaseRequest] = []
        self.cancelled = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.requests.append(request)
        try:
            return await self.respond(request)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


def reply(status: int = 200, body: bytes = b"good", **headers: str) -> Responder:
    """Return a function that sends a signed response with the request's id.

    :param headers: further headers, with underscores for hyphens.
    """

    async def respond(request: web.BaseRequest) -> web.Response:
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        all_headers = {
            "Request-Id": request.headers.get("Request-Id", ""),
            "Response-Signature": "signed",
            **named,
        }
        return web.Response(status=status, body=body, headers=all_headers)

    return respond


def shed() -> Responder:
    """Return a function that refuses requests as not run, with a full server."""
    return reply(503, b"", Not_Executed="1", Server_Load="4,12,4")


async def hang_up(request: web.BaseRequest) -> web.Response:
    """Close the connection instead of responding."""
    assert request.transport is not None
    request.transport.abort()
    return web.Response()


async def stall(request: web.BaseRequest) -> web.Response:
    """Never respond."""
    await asyncio.sleep(60.0)
    return web.Response()


class LocalRates:
    """Rate admission of a fleet of one host."""

    def __init__(self, steering_state: SteeringState) -> None:
        self.steering_state = steering_state

    async def admit(self, workspace: str) -> float | None:
        now = time.monotonic()
        limiter = self.steering_state.rate_limiter(workspace, now)
        return None if limiter.admit(self.steering_state.fleet_share, now) else limiter.wait_s()


class World:
    """A forwarder and its backend servers."""

    def __init__(
        self,
        forwarder: RequestForwarder,
        steering_state: SteeringState,
        session: aiohttp.ClientSession,
        url: str,
        server: CallerServer,
    ) -> None:
        self.server = server
        self.forwarder = forwarder
        self.steering_state = steering_state
        self.session = session
        self.url = url
        self.numbers = itertools.count(1)

    async def request(self, path: str = "/devices/7", method: str = "GET", **headers: str):
        """Send a request, by default with an id of its own; return status, body and headers."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        fixed = {"Host": "one.example", "Affinity-Key": "7"}
        all_headers = {**fixed, "Request-Id": f"r{next(self.numbers)}", **named}
        async with self.session.request(method, self.url + path, headers=all_headers) as response:
            return response.status, await response.read(), response.headers


@contextlib.asynccontextmanager
async def running(
    *responders: Responder,
    route: RouteRule | None = None,
    workspaces: t.Iterable[WorkspaceRule] = (),
    keys: t.Mapping[str, str] | None = None,
) -> t.AsyncIterator[tuple[World, list[ScriptedBackend]]]:
    """Run a forwarder with one backend server for each responder."""
    async with contextlib.AsyncExitStack() as stack:
        steering_state = SteeringState("host", None, GENEROUS_BOUNDS)
        steering_state.configuration = Configuration(
            1, [route or make_route()], [ServiceRule(name="catalogue")], workspaces, keys
        )
        steering_state.ready.set()
        backends = [ScriptedBackend(respond) for respond in responders]
        for number, backend in enumerate(backends):
            address = await _listen(stack, web.Server(backend.handle, handler_cancellation=True))
            steering_state.selector.put(make_server(number, address=address), time.monotonic())
        pool = BackendPool()
        stack.callback(pool.close)
        limits = LimitSettings()
        access_log = AccessLog(CollectorRegistry())
        rates = LocalRates(steering_state)
        forwarder = RequestForwarder(
            steering_state, PlatformHeaderCodec(), pool, rates, access_log, limits, random.Random(1)
        )
        pipelining = Pipelining(uptime.now, lambda: not forwarder.leaving, pool.memory)
        server = CallerServer(
            forwarder.handle,
            limits,
            pipelining=pipelining,
            failure_headers=forwarder.header_codec.failure_headers,
        )
        Supervisor(stack).start("disconnects", server.watch_disconnects)
        address = await _listen(stack, server)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        yield World(forwarder, steering_state, session, f"http://{address}", server), backends


async def _listen(stack: contextlib.AsyncExitStack, server: web.Server) -> str:
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    return f"{host}:{port}"
