"""Callers that leave: nothing is begun or goes on for them."""

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

# Longest wait for what has to come, in seconds.
PATIENCE_S = 5.0
HELD_UP_S = 0.1
BODY_BYTES = 200_000
ONCE = make_route(repeatable=False, attempts=2)


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


def call(world: World) -> socket.socket:
    return connect(world.url.removeprefix("http://"))


def leave(caller: socket.socket) -> None:
    caller.close()


def leave_with_a_reset(caller: socket.socket) -> None:
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.close()


async def idle(world: World) -> None:
    await until(lambda: not world.forwarder.in_flight)
    await asyncio.sleep(0.05)


class DepartureBudget(RetryBudget):
    """Grants a repeat at the very moment at which the caller leaves."""

    def __init__(self, caller: socket.socket) -> None:
        super().__init__(1.0, 100.0, 10.0, time.monotonic())
        self.caller = caller

    def take_token(self) -> bool:
        leave(self.caller)
        time.sleep(HELD_UP_S)
        return super().take_token()


class TestCallerThatLeftBeforeItsRequestIsSent:
    """Load pattern: the host's loop is held up while callers send requests and leave."""

    @pytest.mark.parametrize("leaving", [leave, leave_with_a_reset])
    async def test_its_request_is_not_sent_on_a_kept_connection(self, leaving):
        async with running(reply()) as (world, backends):
            await world.ask()
            with call(world) as caller:
                await asyncio.sleep(0.05)
                caller.sendall(head())
                leaving(caller)
                time.sleep(HELD_UP_S)
                await idle(world)
            assert len(backends[0].seen) == 1

    async def test_it_is_not_sent_once_more_elsewhere(self):
        async with running(shed(), shed(), route=ONCE) as (world, backends):
            pool = world.forwarder.pool
            for state in world.steering_state.selector.states.values():
                address = state.server.address
                pool.release(address, await pool.open(address))
            caller = call(world)
            world.steering_state.retry_budgets["catalogue"] = DepartureBudget(caller)
            await asyncio.sleep(0.05)
            caller.sendall(head())
            await until(lambda: caller.fileno() < 0)
            await idle(world)
            assert sum(len(backend.seen) for backend in backends) == 1

    @pytest.mark.parametrize("leaving", [leave, leave_with_a_reset])
    async def test_nor_by_a_host_with_records_of_its_own(self, leaving):
        async with Harness() as host:
            server = await host.add_backend()
            await host.get("/catalogue/public/1")
            with connect(host.address) as caller:
                await asyncio.sleep(0.05)
                caller.sendall(b"GET /catalogue/public/1 HTTP/1.1\r\nHost: h\r\n\r\n")
                leaving(caller)
                time.sleep(HELD_UP_S)
                await until(lambda: not host.forwarder.in_flight)
                await asyncio.sleep(0.05)
            assert server.requests == 1


class TestCallerWhoseConnectionIsNotRead:
    """Load pattern: a caller sends further requests behind one that takes long, and leaves."""

    @pytest.mark.parametrize(
        "further",
        [
            b"".join(head(request_id=f"p{number}") for number in range(200)),
            head("POST", "p", 900_000) + b"x" * 900_000,
        ],
        ids=["200 requests", "a large body"],
    )
    async def test_its_request_is_given_up(self, further):
        async with running(stall, route=make_route(timeout_s=60.0)) as (world, backends):
            caller = call(world)
            caller.sendall(head() + further)
            await until(lambda: backends[0].seen)
            leave(caller)
            await until(lambda: backends[0].cancelled)


class HeldUpServer:
    """A server whose link holds bytes up: it takes few of them until it is let loose."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.listener.settimeout(PATIENCE_S)
        host, port = self.listener.getsockname()
        self.address = f"{host}:{port}"

    def receive_all(self) -> int:
        """Return the bytes that arrive until the connection ends."""
        connection, _ = self.listener.accept()
        received = 0
        with connection, contextlib.suppress(ConnectionResetError):
            connection.settimeout(PATIENCE_S)
            while part := connection.recv(65_536):
                received += len(part)
        return received


class TestServerBehindALinkThatHoldsBytesUp:
    """Load pattern: callers leave while the link to a server is cut."""

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

    async def test_what_was_held_up_does_not_reach_it_later(self):
        server = HeldUpServer()
        async with self.exchanging(server.address, b"x" * BODY_BYTES):
            pass
        assert await asyncio.to_thread(server.receive_all) < BODY_BYTES
        server.listener.close()

    async def test_nor_from_a_host_with_records_of_its_own(self):
        server = HeldUpServer()
        async with Harness() as host:
            host.add_address("held-up", server.address)
            url, body = host.url("/catalogue/once/1"), b"x" * BODY_BYTES
            asking = asyncio.create_task(host.caller.post(url, data=body, headers=WITH_KEY))
            await until(lambda: host.forwarder.in_flight)
            await asyncio.sleep(0.2)
            asking.cancel()
            await until(lambda: not host.forwarder.in_flight)
            assert await asyncio.to_thread(server.receive_all) < BODY_BYTES
        server.listener.close()

    async def test_the_close_of_what_has_arrived_outlasts_a_cut(self):
        async def serve(reader, writer):
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with self.exchanging(f"{host}:{port}", b"x") as connection:
            sock = connection.transport.get_extra_info("socket")
            connection.abandon()
            assert connection.unacknowledged == 0
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == CLOSE_TIMEOUT_MS
        server.close()
