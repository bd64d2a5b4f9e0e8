from __future__ import annotations

import asyncio
import contextlib

import pytest
from aiohttp import web
from entry_world import reply, running
from in_process import Harness
from steering_world import make_route

from radishbridge.host.connections import CallerServer
from radishbridge.host.listener import Listener
from radishbridge.host.shutdown import Shutdown
from radishbridge.records import LimitSettings

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class SlowFront:
    """Answers each request after a while."""

    def __init__(self, takes_s: float) -> None:
        self.takes_s = takes_s
        self.in_flight = 0
        self.leaving = False

    async def handle(self, request: web.BaseRequest) -> web.Response:
        self.in_flight += 1
        await asyncio.sleep(self.takes_s)
        self.in_flight -= 1
        response = web.Response(text="whole")
        if self.leaving:
            response.force_close()
        return response


@contextlib.asynccontextmanager
async def serving(takes_s: float):
    front = SlowFront(takes_s)
    limits = LimitSettings(shutdown_lookup_s=0.1, shutdown_s=5.0)
    server = CallerServer(front.handle, limits)
    runner = web.ServerRunner(server)
    await runner.setup()
    listener = Listener(runner, "127.0.0.1:0")
    await listener.start()
    address = listener.socket.getsockname()
    yield Shutdown(front, server, listener, limits), address
    await runner.cleanup()


class TestShutdown:
    @pytest.mark.parametrize("delay_s", [0.0, 0.09, 0.12, 0.2, 0.28])
    async def test_a_request_that_was_read_is_answered_whenever_it_came(self, delay_s):
        async with serving(takes_s=0.3) as (shutdown, address):
            reader, writer = await asyncio.open_connection(*address)
            stopping = asyncio.create_task(shutdown.run())
            await asyncio.sleep(delay_s)
            writer.write(REQUEST)
            answer = await reader.read()
            assert answer.endswith(b"whole")
            await stopping

    async def test_an_idle_connection_is_closed(self):
        async with serving(takes_s=0.0) as (shutdown, address):
            reader, _ = await asyncio.open_connection(*address)
            await shutdown.run()
            assert await reader.read() == b""


LOOKUP_S = 0.4
OPEN_S = 1.0
WORK_S = 0.5
LATE_BODY = (
    "POST {path} HTTP/1.1\r\nHost: one.example\r\nRequest-Id: r1\r\nAffinity-Key: 7\r\n"
    "Authorization: Bearer secret-of-school-17\r\nContent-Length: 10\r\n\r\n12345"
)


class NoListener:
    async def stop(self) -> None:
        pass


async def slow(request: web.BaseRequest) -> web.StreamResponse:
    await request.read()
    await asyncio.sleep(WORK_S)
    return await reply()(request)


async def post_late(address: str, path: str, whole_at_s: float) -> bytes:
    """Return the first line of the answer to a request whose body ends late in a stop."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(LATE_BODY.format(path=path).encode())
    await asyncio.sleep(whole_at_s)
    try:
        writer.write(b"67890")
        return (await reader.read(65_536)).partition(b"\r\n")[0]
    except ConnectionError:
        return b""


class TestRequestLateInAStop:
    """What can't be answered before the end is refused while it has not run, and not cut later."""

    LIMITS = LimitSettings(shutdown_lookup_s=LOOKUP_S, shutdown_s=OPEN_S)

    @pytest.mark.parametrize("usual_s", [0.0, WORK_S])
    @pytest.mark.parametrize("whole_at_s", [0.1, 0.35, 0.5, 0.8, 1.1, 1.3])
    async def test_it_is_answered_or_refused_and_not_passed_on(self, whole_at_s, usual_s):
        route = make_route(timeout_s=9.0, repeatable=False)
        async with running(slow, route=route) as (world, backends):
            world.steering_state.selector.median_latencies = (
                {"catalogue": usual_s} if usual_s else {}
            )
            shutdown = Shutdown(world.forwarder, world.server, NoListener(), self.LIMITS)
            stopping = asyncio.create_task(shutdown.run())
            answer = await post_late(world.url[7:], "/devices/7", whole_at_s)
            await stopping
        passed_on = bool(backends[0].requests)
        assert answer[:12] == (b"HTTP/1.1 200" if passed_on else b"HTTP/1.1 503")

    async def test_a_request_that_ends_in_time_by_its_own_deadline_is_passed_on(self):
        route = make_route(timeout_s=0.9, repeatable=False)
        async with running(slow, route=route) as (world, backends):
            shutdown = Shutdown(world.forwarder, world.server, NoListener(), self.LIMITS)
            stopping = asyncio.create_task(shutdown.run())
            answer = await post_late(world.url[7:], "/devices/7", 0.3)
            await stopping
        assert answer[:12] == b"HTTP/1.1 200"
        assert len(backends[0].requests) == 1

    async def test_a_second_attempt_is_not_begun_that_would_be_cut(self):
        async def broken(request: web.BaseRequest) -> web.StreamResponse:
            await asyncio.sleep(WORK_S)
            return web.Response(status=500)

        route = make_route(timeout_s=9.0, attempts=3)
        async with running(broken, broken, route=route) as (world, backends):
            shutdown = Shutdown(world.forwarder, world.server, NoListener(), self.LIMITS)
            stopping = asyncio.create_task(shutdown.run())
            await post_late(world.url[7:], "/devices/7", 0.2)
            await stopping
        assert sum(len(backend.requests) for backend in backends) == 1

    @pytest.mark.parametrize("usual_s", [0.0, WORK_S])
    @pytest.mark.parametrize("whole_at_s", [0.1, 0.5, 1.1, 1.3])
    async def test_the_same_holds_for_a_host_with_records_of_its_own(self, whole_at_s, usual_s):
        async with Harness(self.LIMITS) as host:
            server = await host.add_backend(service_time_s=WORK_S)
            host.forwarder.usual_s = {"catalogue": usual_s} if usual_s else {}
            shutdown = Shutdown(host.forwarder, host.server, NoListener(), self.LIMITS)
            await asyncio.sleep(0.0)
            began = asyncio.create_task(
                post_late(host.address, "/catalogue/once/1", LOOKUP_S + whole_at_s)
            )
            await asyncio.sleep(LOOKUP_S)
            stopping = asyncio.create_task(shutdown.run())
            answer = await began
            await stopping
        assert answer[:12] == (b"HTTP/1.1 200" if server.requests else b"HTTP/1.1 503")
