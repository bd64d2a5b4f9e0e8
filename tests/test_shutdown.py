from __future__ import annotations

import asyncio
import contextlib

import pytest
from aiohttp import web
from entry_world import reply, running, stall
from in_process import Harness
from steering_world import make_route

from radishbridge.host.connections import CallerServer
from radishbridge.host.listener import Listener
from radishbridge.host.shutdown import Shutdown
from radishbridge.records import LimitSettings

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class SlowForwarder:
    """Answers each request after a delay."""

    def __init__(self, latency_s: float) -> None:
        self.latency_s = latency_s
        self.in_flight = 0
        self.leaving = False

    async def handle(self, request: web.BaseRequest) -> web.Response:
        self.in_flight += 1
        await asyncio.sleep(self.latency_s)
        self.in_flight -= 1
        response = web.Response(text="whole")
        if self.leaving:
            response.force_close()
        return response


@contextlib.asynccontextmanager
async def serving(latency_s: float):
    forwarder = SlowForwarder(latency_s)
    limits = LimitSettings(shutdown_lookup_s=0.1, shutdown_s=5.0)
    server = CallerServer(forwarder.handle, limits)
    runner = web.ServerRunner(server)
    await runner.setup()
    listener = Listener(runner, "127.0.0.1:0")
    await listener.start()
    address = listener.socket.getsockname()
    yield Shutdown(forwarder, server, listener, limits), address
    await runner.cleanup()


class TestShutdown:
    @pytest.mark.parametrize("delay_s", [0.0, 0.09, 0.12, 0.2, 0.28])
    async def test_a_request_is_answered_whenever_it_arrives(self, delay_s):
        async with serving(latency_s=0.3) as (shutdown, address):
            reader, writer = await asyncio.open_connection(*address)
            stopping = asyncio.create_task(shutdown.run())
            await asyncio.sleep(delay_s)
            writer.write(REQUEST)
            response = await reader.read()
            assert response.endswith(b"whole")
            await stopping

    async def test_an_idle_connection_is_closed(self):
        async with serving(latency_s=0.0) as (shutdown, address):
            reader, _ = await asyncio.open_connection(*address)
            await shutdown.run()
            assert await reader.read() == b""


SHUTDOWN_LOOKUP_S = 0.4
SHUTDOWN_S = 1.0
LATENCY_S = 0.5
PARTIAL_REQUEST = (
    "POST {path} HTTP/1.1\r\nHost: one.example\r\nRequest-Id: r1\r\nAffinity-Key: 7\r\n"
    "Authorization: Bearer secret-of-school-17\r\nContent-Length: 10\r\n\r\n12345"
)


class FakeListener:
    async def stop(self) -> None:
        pass


async def respond_slowly(request: web.BaseRequest) -> web.StreamResponse:
    await request.read()
    await asyncio.sleep(LATENCY_S)
    return await reply()(request)


async def post_slowly(address: str, path: str, completed_after_s: float) -> bytes:
    """Send a request whose body is completed late in a shutdown; return the status line.

    :param completed_after_s: seconds until the rest of the body is sent.
    :return: the status line, empty if the connection was reset.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(PARTIAL_REQUEST.format(path=path).encode())
    await asyncio.sleep(completed_after_s)
    try:
        writer.write(b"67890")
        return (await reader.read(65_536)).partition(b"\r\n")[0]
    except ConnectionError:
        return b""


class TestRequestLateInShutdown:
    """A request that would not end before the host stops is refused before it is sent."""

    LIMITS = LimitSettings(shutdown_lookup_s=SHUTDOWN_LOOKUP_S, shutdown_s=SHUTDOWN_S)

    @pytest.mark.parametrize("typical_latency_s", [0.0, LATENCY_S])
    @pytest.mark.parametrize("completed_after_s", [0.1, 0.35, 0.5, 0.8, 1.1, 1.3])
    async def test_it_is_answered_or_refused_without_being_forwarded(
        self, completed_after_s, typical_latency_s
    ):
        route = make_route(timeout_s=9.0, repeatable=False)
        async with running(respond_slowly, route=route) as (world, backends):
            world.steering_state.selector.median_latencies = (
                {"catalogue": typical_latency_s} if typical_latency_s else {}
            )
            shutdown = Shutdown(world.forwarder, world.server, FakeListener(), self.LIMITS)
            stopping = asyncio.create_task(shutdown.run())
            status_line = await post_slowly(world.url[7:], "/devices/7", completed_after_s)
            await stopping
        forwarded = bool(backends[0].requests)
        assert status_line[:12] == (b"HTTP/1.1 200" if forwarded else b"HTTP/1.1 503")

    async def test_a_request_whose_deadline_is_before_the_end_is_forwarded(self):
        route = make_route(timeout_s=0.9, repeatable=False)
        async with running(respond_slowly, route=route) as (world, backends):
            shutdown = Shutdown(world.forwarder, world.server, FakeListener(), self.LIMITS)
            stopping = asyncio.create_task(shutdown.run())
            status_line = await post_slowly(world.url[7:], "/devices/7", 0.3)
            await stopping
        assert status_line[:12] == b"HTTP/1.1 200"
        assert len(backends[0].requests) == 1

    @pytest.mark.parametrize("is_at_server", [False, True])
    async def test_the_end_never_looks_as_if_a_request_at_a_server_was_not_read(self, is_at_server):
        route = make_route(timeout_s=9.0, repeatable=False)
        async with running(stall, route=route) as (world, backends):
            host, port = world.url[7:].split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            if is_at_server:
                writer.write(PARTIAL_REQUEST.format(path="/devices/7").encode() + b"67890")
                while not backends[0].requests:
                    await asyncio.sleep(0.01)
            limits = LimitSettings(shutdown_lookup_s=0.05, shutdown_s=0.3)
            await Shutdown(world.forwarder, world.server, FakeListener(), limits).run()
            if is_at_server:
                with pytest.raises(ConnectionResetError):
                    await reader.read()
            else:
                assert await reader.read() == b""

    async def test_a_retry_that_would_be_interrupted_is_not_started(self):
        async def respond_with_error(request: web.BaseRequest) -> web.StreamResponse:
            await asyncio.sleep(LATENCY_S)
            return web.Response(status=500)

        route = make_route(timeout_s=9.0, attempts=3)
        async with running(respond_with_error, respond_with_error, route=route) as (
            world,
            backends,
        ):
            shutdown = Shutdown(world.forwarder, world.server, FakeListener(), self.LIMITS)
            stopping = asyncio.create_task(shutdown.run())
            await post_slowly(world.url[7:], "/devices/7", 0.2)
            await stopping
        assert sum(len(backend.requests) for backend in backends) == 1

    @pytest.mark.parametrize("typical_latency_s", [0.0, LATENCY_S])
    @pytest.mark.parametrize("completed_after_s", [0.1, 0.5, 1.1, 1.3])
    async def test_the_same_applies_to_the_daemon(self, completed_after_s, typical_latency_s):
        async with Harness(self.LIMITS) as host:
            server = await host.add_backend(service_time_s=LATENCY_S)
            host.forwarder.mean_latencies_s = (
                {"catalogue": typical_latency_s} if typical_latency_s else {}
            )
            shutdown = Shutdown(host.forwarder, host.server, FakeListener(), self.LIMITS)
            await asyncio.sleep(0.0)
            posting = asyncio.create_task(
                post_slowly(
                    host.address, "/catalogue/once/1", SHUTDOWN_LOOKUP_S + completed_after_s
                )
            )
            await asyncio.sleep(SHUTDOWN_LOOKUP_S)
            stopping = asyncio.create_task(shutdown.run())
            status_line = await posting
            await stopping
        assert status_line[:12] == (b"HTTP/1.1 200" if server.requests else b"HTTP/1.1 503")


class TestBodyThatArrivesWhileConnectionsAreClosed:
    """A request whose head was read just now must get the rest of its body.

    The connection looked idle until the handler had begun; the rest of the body was dropped, and
    the request waited until its deadline.
    """

    async def test_it_is_answered(self):
        route = make_route(timeout_s=2.0, repeatable=False)
        async with running(reply(), route=route) as (world, backends):
            host, port = world.url[7:].split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            while not world.server.connections or world.server.connections[0]._waiter is None:
                await asyncio.sleep(0.0)
            shutdown = Shutdown(world.forwarder, world.server, FakeListener(), LimitSettings())
            world.forwarder.leaving = True
            # Received in the same step of the event loop in which the connections are closed.
            world.server.connections[0].data_received(
                PARTIAL_REQUEST.format(path="/devices/7").encode()
            )
            await shutdown._close_idle()
            writer.write(b"67890")
            response = await reader.read()
        assert response[9:12] == b"200"
        assert len(backends[0].requests) == 1
