from __future__ import annotations

import asyncio
import contextlib
import time

import pytest
from raw_server import RawConnection, raw_server

from radishbridge.entry.backends import BackendPool, BackendResponse, request_head
from radishbridge.host.sockets import reset as reset_connection
from radishbridge.records import Failure, ResultCode

# More than the kernel buffers of a connection hold.
LARGE = bytes(8 * 1_048_576)
COMPLETE = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 4\r\n\r\ngood"


class ScriptedServer:
    """Responds to each request with the next bytes of a script; ``None`` resets the connection.

    :param closes: closes the connection after the first response.
    """

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
                response = self.script.pop(0)
                if response is None:
                    writer.transport.abort()
                    return
                writer.write(response)
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


async def exchange(pool: BackendPool, address: str, at_most_once: bool = False):
    connection = await pool.acquire(address, at_most_once)
    assert not isinstance(connection, Failure)
    response = await connection.exchange(request_head("GET", "/", [], None), b"", False)
    pool.release(address, connection)
    return response


class TestAnswers:
    """Complete responses are returned; incomplete or invalid ones are failures."""

    @pytest.mark.parametrize(
        "script",
        [
            COMPLETE,
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
            b"HTTP/1.1 100 Continue\r\n\r\n" + COMPLETE,
        ],
    )
    async def test_complete_response_is_returned(self, script):
        async with serving(ScriptedServer(script)) as (pool, address):
            result = await exchange(pool, address)
            assert isinstance(result, BackendResponse)
            assert (result.status, result.body) == (200, b"good")

    @pytest.mark.parametrize(
        "script",
        [
            None,
            b"nonsense\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ngood",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n",
            b"HTTP/1.1 200 OK\r\nConte",
        ],
    )
    async def test_broken_response_is_a_failure(self, script):
        async with serving(ScriptedServer(script, closes=True)) as (pool, address):
            result = await exchange(pool, address)
            assert isinstance(result, Failure)
            assert result.code is ResultCode.BACKEND_FAILED

    async def test_response_without_a_length_ends_with_its_connection(self):
        script = ScriptedServer(b"HTTP/1.1 200 OK\r\n\r\ngood", closes=True)
        async with serving(script) as (pool, address):
            result = await exchange(pool, address)
            assert isinstance(result, BackendResponse)
            assert result.body == b"good"

    async def test_response_without_a_length_that_is_reset_is_a_failure(self):
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
        exchange_task = asyncio.create_task(
            connection.exchange(b"GET / HTTP/1.1\r\n\r\n", b"x", False)
        )
        assert isinstance(await exchange_task, Failure)
        server.close()


class TestReuse:
    """A connection is reused only while it holds no foreign bytes and the server keeps it open."""

    async def test_connection_is_reused(self):
        script = ScriptedServer(COMPLETE, COMPLETE)
        async with serving(script) as (pool, address):
            await exchange(pool, address)
            await exchange(pool, address)
            assert script.connections == 1

    @pytest.mark.parametrize(
        "first",
        [
            COMPLETE + COMPLETE,
            COMPLETE + b"trailing bytes",
            COMPLETE.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"),
        ],
    )
    async def test_connection_that_may_hold_foreign_bytes_is_not_reused(self, first):
        script = ScriptedServer(first, COMPLETE)
        async with serving(script) as (pool, address):
            assert isinstance(await exchange(pool, address), BackendResponse)
            result = await exchange(pool, address)
            assert isinstance(result, BackendResponse)
            assert result.body == b"good"
            assert script.connections == 2

    @pytest.mark.parametrize("extra", [COMPLETE, b"HTTP/1.1 503 Busy\r\nRequ", b"trailing bytes"])
    async def test_connection_with_foreign_bytes_is_closed_at_once(self, extra):
        async with serving(ScriptedServer(COMPLETE + extra, COMPLETE)) as (pool, address):
            connection = await pool.acquire(address, False)
            await connection.exchange(request_head("GET", "/", [], None), b"", False)
            pool.release(address, connection)
            assert connection.transport.is_closing()

    async def test_connection_whose_request_is_not_sent_whole_is_closed(self):
        async def answer_early(connection: RawConnection, request_id: str) -> None:
            connection.write(COMPLETE.decode())
            await asyncio.sleep(10.0)

        async with raw_server(answer_early) as raw:
            pool = BackendPool()
            connection = await pool.acquire(raw.address, False)
            # The head announces no body, so that the server answers without reading it.
            response = await connection.exchange(request_head("PUT", "/", [], None), LARGE, False)
            pool.release(raw.address, connection)
            assert isinstance(response, BackendResponse)
            assert not pool.has_idle(raw.address)

    async def test_connection_that_receives_bytes_while_idle_is_not_reused(self):
        writers: list[asyncio.StreamWriter] = []

        async def send_unrequested_bytes(reader, writer):
            writers.append(writer)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(COMPLETE)
            await asyncio.sleep(0.01)
            writer.write(COMPLETE.replace(b"good", b"late"))

        server = await asyncio.start_server(send_unrequested_bytes, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        pool = BackendPool()
        await exchange(pool, f"{host}:{port}")
        connection = pool.idle[f"{host}:{port}"][0]
        while not connection.must_close:
            await asyncio.sleep(0.005)
        assert not connection.is_reusable(time.monotonic(), 3.0)
        # A writer that is collected after the event loop was closed raises an error.
        writers[0].close()
        await writers[0].wait_closed()
        server.close()

    async def test_non_repeatable_request_reuses_only_recently_used_connections(self):
        script = ScriptedServer(COMPLETE, COMPLETE)
        async with serving(script) as (pool, address):
            await exchange(pool, address)
            pool.idle[address][0].idle_since -= 1.0
            await exchange(pool, address, at_most_once=True)
            assert script.connections == 2

    @pytest.mark.parametrize(
        ("announced", "reusable"), [(b"timeout=1", False), (b"timeout=9", True)]
    )
    async def test_announced_idle_timeout_is_respected(self, announced, reusable):
        response = COMPLETE.replace(b"\r\n\r\n", b"\r\nKeep-Alive: " + announced + b"\r\n\r\n")
        async with serving(ScriptedServer(response, COMPLETE)) as (pool, address):
            await exchange(pool, address)
            connection = pool.idle[address][0]
            assert connection.is_reusable(connection.idle_since + 0.7, 3.0) is reusable


class TestFailures:
    """Connections that can't be opened, and requests that are cancelled."""

    async def test_port_without_a_listener_fails_before_anything_is_sent(self):
        async with serving(ScriptedServer()) as (_, address):
            pass
        result = await BackendPool().acquire(address, False)
        assert isinstance(result, Failure)
        assert result.code is ResultCode.BACKEND_REFUSED

    async def test_cancellation_closes_the_connection(self):
        async with serving(ScriptedServer(b"")) as (pool, address):
            connection = await pool.acquire(address, False)
            task = asyncio.create_task(connection.exchange(b"GET / HTTP/1.1\r\n\r\n", b"", False))
            await asyncio.sleep(0.01)
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            assert connection.must_close
