from __future__ import annotations

import asyncio
import contextlib
import time

import pytest

from radishbridge.entry.backends import BackendPool, BackendResponse, request_head
from radishbridge.host.sockets import reset as reset_connection
from radishbridge.records import Failure, ResultCode

WHOLE = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 4\r\n\r\ngood"


class ScriptedServer:
    """Answers each request with the next bytes of a script; ``None`` resets the connection."""

    def __init__(self, *script: bytes | None, closes: bool = False) -> None:
        self.script = list(script)
        self.closes = closes
        self.connections = 0
        self.requests: list[bytes] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while self.script:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                answer = self.script.pop(0)
                if answer is None:
                    writer.transport.abort()
                    return
                writer.write(answer)
                await writer.drain()
                if self.closes:
                    break
        writer.close()


@contextlib.asynccontextmanager
async def serving(script: ScriptedServer):
    server = await asyncio.start_server(script.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    pool = BackendPool()
    yield pool, f"{host}:{port}"
    pool.close()
    server.close()


async def exchange(pool: BackendPool, address: str, runs_once: bool = False):
    connection = await pool.acquire(address, runs_once)
    assert not isinstance(connection, Failure)
    answer = await connection.exchange(request_head("GET", "/", [], None), b"", False)
    pool.release(address, connection)
    return answer


class TestAnswers:
    @pytest.mark.parametrize(
        "answer",
        [
            WHOLE,
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
            b"HTTP/1.1 100 Continue\r\n\r\n" + WHOLE,
        ],
    )
    async def test_a_whole_answer_is_returned(self, answer):
        async with serving(ScriptedServer(answer)) as (pool, address):
            got = await exchange(pool, address)
            assert isinstance(got, BackendResponse)
            assert (got.status, got.body) == (200, b"good")

    @pytest.mark.parametrize(
        "answer",
        [
            None,
            b"nonsense\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ngood",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n",
            b"HTTP/1.1 200 OK\r\nConte",
        ],
    )
    async def test_a_broken_answer_is_a_failure(self, answer):
        async with serving(ScriptedServer(answer, closes=True)) as (pool, address):
            got = await exchange(pool, address)
            assert isinstance(got, Failure)
            assert got.code is ResultCode.BACKEND_FAILED

    async def test_an_answer_without_a_length_ends_with_its_connection(self):
        script = ScriptedServer(b"HTTP/1.1 200 OK\r\n\r\ngood", closes=True)
        async with serving(script) as (pool, address):
            got = await exchange(pool, address)
            assert isinstance(got, BackendResponse)
            assert got.body == b"good"

    async def test_one_without_a_length_that_is_reset_is_not_whole(self):
        async def reset(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\ngo")
            await writer.drain()
            await asyncio.sleep(0.02)
            reset_connection(writer.transport)

        server = await asyncio.start_server(reset, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        pool = BackendPool()
        connection = await pool.acquire(f"{host}:{port}", False)
        exchanging = asyncio.create_task(
            connection.exchange(b"GET / HTTP/1.1\r\n\r\n", b"x", False)
        )
        assert isinstance(await exchanging, Failure)
        server.close()


class TestReuse:
    async def test_a_connection_serves_again(self):
        script = ScriptedServer(WHOLE, WHOLE)
        async with serving(script) as (pool, address):
            await exchange(pool, address)
            await exchange(pool, address)
            assert script.connections == 1

    @pytest.mark.parametrize(
        "first",
        [
            WHOLE + WHOLE,
            WHOLE + b"trailing bytes",
            WHOLE.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"),
        ],
    )
    async def test_a_connection_that_may_hold_foreign_bytes_is_not_used_again(self, first):
        script = ScriptedServer(first, WHOLE)
        async with serving(script) as (pool, address):
            assert isinstance(await exchange(pool, address), BackendResponse)
            got = await exchange(pool, address)
            assert isinstance(got, BackendResponse)
            assert got.body == b"good"
            assert script.connections == 2

    async def test_bytes_that_come_while_it_idles_spoil_a_connection(self):
        async def chatter(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(WHOLE)
            await asyncio.sleep(0.01)
            writer.write(WHOLE.replace(b"good", b"late"))

        server = await asyncio.start_server(chatter, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        pool = BackendPool()
        await exchange(pool, f"{host}:{port}")
        held = pool.idle[f"{host}:{port}"][0]
        while not held.spoiled:
            await asyncio.sleep(0.005)
        assert not held.may_serve(time.monotonic(), 3.0)
        server.close()

    async def test_what_may_run_once_only_gets_a_connection_used_just_now(self):
        script = ScriptedServer(WHOLE, WHOLE)
        async with serving(script) as (pool, address):
            await exchange(pool, address)
            pool.idle[address][0].idle_since -= 1.0
            await exchange(pool, address, runs_once=True)
            assert script.connections == 2

    @pytest.mark.parametrize(("announced", "served"), [(b"timeout=1", False), (b"timeout=9", True)])
    async def test_an_announced_idle_time_is_kept(self, announced, served):
        answer = WHOLE.replace(b"\r\n\r\n", b"\r\nKeep-Alive: " + announced + b"\r\n\r\n")
        async with serving(ScriptedServer(answer, WHOLE)) as (pool, address):
            await exchange(pool, address)
            held = pool.idle[address][0]
            assert held.may_serve(held.idle_since + 0.7, 3.0) is served


class TestFailures:
    async def test_a_port_without_a_listener_is_refused_before_anything_is_sent(self):
        async with serving(ScriptedServer()) as (_, address):
            pass
        got = await BackendPool().acquire(address, False)
        assert isinstance(got, Failure)
        assert got.code is ResultCode.BACKEND_REFUSED

    async def test_cancellation_closes_the_connection(self):
        async with serving(ScriptedServer(b"")) as (pool, address):
            connection = await pool.acquire(address, False)
            task = asyncio.create_task(connection.exchange(b"GET / HTTP/1.1\r\n\r\n", b"", False))
            await asyncio.sleep(0.01)
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            assert connection.spoiled
