"""Callers that disconnect: their requests are neither sent nor continued."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
import typing as t

import pytest
from entry_world import World, reply, running, shed, stall
from in_process import WITH_KEY, Harness, until
from steering_world import make_route

from radishbridge.entry.backends import BackendConnection, BackendPool, request_head
from radishbridge.host.sockets import CLOSE_TIMEOUT_MS
from radishbridge.records import Failure
from radishbridge.steering import RetryBudget

# Longest wait for an expected event.
EVENT_TIMEOUT_S = 5.0
LOOP_BLOCKED_S = 0.1
BODY_BYTES = 200_000
NON_REPEATABLE = make_route(repeatable=False, attempts=2)


def head(method: str = "GET", request_id: str = "r1", length: int = 0) -> bytes:
    lines = [
        f"{method} /devices/7 HTTP/1.1",
        "Host: one.example",
        f"Request-Id: {request_id}",
        "Affinity-Key: 7",
        "Request-Deadline-Ms: 30000",
        *([f"Content-Length: {length}"] if length else []),
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def connect(address: str) -> socket.socket:
    host, _, port = address.partition(":")
    return socket.create_connection((host, int(port)))


def connect_caller(world: World) -> socket.socket:
    return connect(world.url.removeprefix("http://"))


def disconnect(caller: socket.socket) -> None:
    caller.close()


def disconnect_with_reset(caller: socket.socket) -> None:
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.close()


async def wait_until_idle(world: World) -> None:
    await until(lambda: not world.forwarder.in_flight)
    await asyncio.sleep(0.05)


class DisconnectingBudget(RetryBudget):
    """Grants a retry at the moment at which the caller disconnects."""

    def __init__(self, caller: socket.socket) -> None:
        super().__init__(1.0, 100.0, 10.0, time.monotonic())
        self.caller = caller

    def take_token(self) -> bool:
        disconnect(self.caller)
        time.sleep(LOOP_BLOCKED_S)
        return super().take_token()


class TestCallerThatLeftBeforeItsRequestIsSent:
    """Callers send requests and disconnect while the host's event loop is blocked."""

    @pytest.mark.parametrize("disconnecting", [disconnect, disconnect_with_reset])
    async def test_request_is_not_sent_on_an_idle_connection(self, disconnecting):
        async with running(reply()) as (world, backends):
            await world.request()
            with connect_caller(world) as caller:
                await asyncio.sleep(0.05)
                caller.sendall(head())
                disconnecting(caller)
                time.sleep(LOOP_BLOCKED_S)
                await wait_until_idle(world)
            assert len(backends[0].requests) == 1

    async def test_request_is_not_retried_at_another_server(self):
        async with running(shed(), shed(), route=NON_REPEATABLE) as (world, backends):
            pool = world.forwarder.pool
            for state in world.steering_state.selector.states.values():
                address = state.server.address
                pool.release(address, await pool.open(address))
            caller = connect_caller(world)
            world.steering_state.retry_budgets["catalogue"] = DisconnectingBudget(caller)
            await asyncio.sleep(0.05)
            caller.sendall(head())
            await until(lambda: caller.fileno() < 0)
            await wait_until_idle(world)
            assert sum(len(backend.requests) for backend in backends) == 1

    @pytest.mark.parametrize("disconnecting", [disconnect, disconnect_with_reset])
    async def test_request_is_not_sent_by_a_host_with_its_own_records(self, disconnecting):
        async with Harness() as host:
            server = await host.add_backend()
            await host.get("/catalogue/public/1")
            with connect(host.address) as caller:
                await asyncio.sleep(0.05)
                caller.sendall(b"GET /catalogue/public/1 HTTP/1.1\r\nHost: h\r\n\r\n")
                disconnecting(caller)
                time.sleep(LOOP_BLOCKED_S)
                await until(lambda: not host.forwarder.in_flight)
                await asyncio.sleep(0.05)
            assert server.requests == 1


class TestCallerWhoseConnectionIsNotRead:
    """A caller pipelines requests behind one that takes long, and disconnects.

    The host does not read the pipelined bytes, so that its event loop does not see the close.
    """

    @pytest.mark.parametrize(
        "further",
        [
            b"".join(head(request_id=f"p{number}") for number in range(200)),
            head("POST", "p", 900_000) + b"x" * 900_000,
        ],
        ids=["200 requests", "a large body"],
    )
    async def test_request_is_cancelled(self, further):
        async with running(stall, route=make_route(timeout_s=60.0)) as (world, backends):
            caller = connect_caller(world)
            caller.sendall(head() + further)
            await until(lambda: backends[0].requests)
            disconnect(caller)
            await until(lambda: backends[0].cancelled)


class BlockedServer:
    """A server that receives only a few bytes, as behind a cut link, until ``receive_all``."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.listener.settimeout(EVENT_TIMEOUT_S)
        host, port = self.listener.getsockname()
        self.address = f"{host}:{port}"

    def receive_all(self) -> int:
        """Return the bytes that arrive until the connection ends."""
        connection, _ = self.listener.accept()
        received = 0
        with connection, contextlib.suppress(ConnectionResetError):
            connection.settimeout(EVENT_TIMEOUT_S)
            while chunk := connection.recv(65_536):
                received += len(chunk)
        return received


class TestServerBehindALinkThatHoldsBytesUp:
    """Callers disconnect while the link to a server is cut: requests must not arrive later."""

    @contextlib.asynccontextmanager
    async def exchanging(self, address: str, body: bytes) -> t.AsyncIterator[BackendConnection]:
        pool = BackendPool()
        connection = await pool.open(address)
        assert not isinstance(connection, Failure)
        post = request_head("POST", "/", [], len(body))
        exchange = asyncio.create_task(connection.exchange(post, body, False))
        await asyncio.sleep(0.05)
        yield connection
        exchange.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await exchange
        pool.close()

    async def test_unacknowledged_bytes_do_not_arrive_later(self):
        server = BlockedServer()
        async with self.exchanging(server.address, b"x" * BODY_BYTES):
            pass
        assert await asyncio.to_thread(server.receive_all) < BODY_BYTES
        server.listener.close()

    async def test_unacknowledged_bytes_of_a_host_with_its_own_records_do_not_arrive_later(self):
        server = BlockedServer()
        async with Harness() as host:
            host.add_address("held-up", server.address)
            url, body = host.url("/catalogue/once/1"), b"x" * BODY_BYTES
            request = asyncio.create_task(host.caller.post(url, data=body, headers=WITH_KEY))
            await until(lambda: host.forwarder.in_flight)
            await asyncio.sleep(0.2)
            request.cancel()
            await until(lambda: not host.forwarder.in_flight)
            assert await asyncio.to_thread(server.receive_all) < BODY_BYTES
        server.listener.close()

    async def test_close_is_retransmitted_after_a_cut(self):
        async def serve(reader, writer):
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with self.exchanging(f"{host}:{port}", b"x") as connection:
            sock = connection.transport.get_extra_info("socket")
            connection.abandon()
            assert connection.unacknowledged_bytes == 0
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == CLOSE_TIMEOUT_MS
        server.close()
