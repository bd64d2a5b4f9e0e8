"""Backend servers that send endless responses: the host aborts them early, with little memory."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp
import pytest
from entry_world import World, running, stall
from steering_world import make_route, make_server

from radishbridge.entry import Kind
from radishbridge.entry.backends import (
    RESPONSE_BYTES_MAX,
    BackendPool,
    BackendResponse,
    request_head,
)
from radishbridge.entry.memory import ALWAYS_ALLOWED_BYTES, ResponseMemory
from radishbridge.platform import store as platform_store
from radishbridge.platform.store import PlatformStore
from radishbridge.records import Failure, ResultCode
from radishbridge.store import HttpStore
from radishbridge.store import http as store_http

# Longest wait of a caller, which is much longer than sending too many bytes takes.
CALLER_TIMEOUT_S = 10.0
# Bytes that a server may send before the host closes: the largest response and those in transit.
SENT_BYTES_MAX = RESPONSE_BYTES_MAX + 16 * 1_048_576
# A head is small, but socket buffers hold some megabytes.
HEAD_SENT_BYTES_MAX = 12 * 1_048_576

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_HEADS = {
    "one value": (OK + b"X: ", b"a" * 65_536),
    "lines": (OK, b"X-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n" * 1_600),
    "empty lines": (b"", b"\r\n" * 32_768),
    "informational heads": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2_000),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n" * 1_600),
    "chunk extension": (CHUNKED + b"5;", b"a" * 65_536),
    "no response at all": (b"\x00\x01", b"a" * 65_536),
}
ENDLESS_BODIES = {
    "chunks": (CHUNKED, b"10000\r\n" + b"a" * 65_536 + b"\r\n"),
    "no length": (OK + b"\r\n", b"a" * 65_536),
    "a length of many terabytes": (OK + b"Content-Length: 99999999999999\r\n\r\n", b"a" * 65_536),
}


LISTINGS = {
    "own api": lambda session, address: (
        HttpStore(session, f"http://{address}", CALLER_TIMEOUT_S).list(["service"])
    ),
    "platform": lambda session, address: PlatformStore(session, address).list(Kind.SERVER),
}


class EndlessServer:
    """Sends a first part and then the same bytes until the host closes the connection.

    :param rest: bytes that are repeated; if empty, nothing follows and the connection stays open.
    """

    def __init__(self, first: bytes, rest: bytes) -> None:
        self.first = first
        self.rest = rest
        self.sent_bytes = 0
        self.closed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.first)
            if not self.rest:
                await reader.read()
                writer.close()
            while not writer.is_closing():
                writer.write(self.rest)
                self.sent_bytes += len(self.rest)
                await writer.drain()
        self.closed.set()
        writer.close()


@contextlib.asynccontextmanager
async def serving(first: bytes, rest: bytes):
    endless = EndlessServer(first, rest)
    server = await asyncio.start_server(endless.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    yield endless, f"{host}:{port}"
    server.close()


@contextlib.asynccontextmanager
async def serving_once(response: bytes):
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    yield f"{host}:{port}"
    server.close()


async def exchange(address: str, memory: ResponseMemory | None = None) -> object:
    pool = BackendPool(memory)
    connection = await pool.open(address)
    assert not isinstance(connection, Failure)
    async with asyncio.timeout(CALLER_TIMEOUT_S):
        return await connection.exchange(request_head("GET", "/", [], None), b"", False)


class TestExchange:
    """One endless response is aborted at the limit for heads or bodies."""

    async def sent_until_closed(self, first: bytes, rest: bytes) -> int:
        async with serving(first, rest) as (server, address):
            result = await exchange(address)
            assert isinstance(result, Failure)
            assert result.code is ResultCode.BACKEND_FAILED
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                await server.closed.wait()
            return server.sent_bytes

    @pytest.mark.parametrize(("first", "rest"), ENDLESS_HEADS.values(), ids=ENDLESS_HEADS)
    async def test_endless_head_is_aborted_early(self, first, rest):
        assert await self.sent_until_closed(first, rest) < HEAD_SENT_BYTES_MAX

    @pytest.mark.parametrize(("first", "rest"), ENDLESS_BODIES.values(), ids=ENDLESS_BODIES)
    async def test_endless_body_is_aborted_at_the_largest_response(self, first, rest):
        assert await self.sent_until_closed(first, rest) < SENT_BYTES_MAX

    async def test_response_in_many_small_chunks_is_complete(self):
        async with serving_once(CHUNKED + b"1\r\na\r\n" * 300_000 + b"0\r\n\r\n") as address:
            response = await exchange(address)
        assert isinstance(response, BackendResponse)
        assert len(response.body) == 300_000


class PeakMemory(ResponseMemory):
    """Records the peak of the buffered bytes."""

    peak_bytes = 0

    def add(self, size: int) -> None:
        super().add(size)
        self.peak_bytes = max(self.peak_bytes, self.buffered_bytes)


class TestManyAtOnce:
    """A server sends endless bodies to all its requests: together they must not fill the memory."""

    LIMIT_BYTES = 4 * 1_048_576

    async def test_all_responses_together_stay_within_the_memory_limit(self):
        memory = PeakMemory(self.LIMIT_BYTES)
        async with serving(*ENDLESS_BODIES["chunks"]) as (_, address):
            results = await asyncio.gather(*(exchange(address, memory) for _ in range(12)))
        assert all(isinstance(result, Failure) for result in results)
        assert memory.buffered_bytes == 0
        # Each may reach the size that is always allowed, plus one read of the socket.
        assert memory.peak_bytes < self.LIMIT_BYTES + 12 * (ALWAYS_ALLOWED_BYTES + 262_144)

    async def test_responses_below_the_size_always_allowed_stay_within_the_memory_limit(self):
        # Guards against a sum without bound, since none of the responses is large by itself.
        memory = PeakMemory(self.LIMIT_BYTES)
        first = OK + b"Content-Length: 1000000\r\n\r\n"
        async with serving(first + b"a" * 900_000, b"") as (_, address):
            exchanges = [asyncio.create_task(exchange(address, memory)) for _ in range(40)]
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                while sum(one.done() for one in exchanges) < 30:
                    await asyncio.sleep(0.01)
            async with serving_once(CHUNKED + b"4\r\ngood\r\n0\r\n\r\n") as other:
                assert isinstance(await exchange(other, memory), BackendResponse)
            for one in exchanges:
                one.cancel()
            results = await asyncio.gather(*exchanges, return_exceptions=True)
        aborted = [result for result in results if isinstance(result, Failure)]
        assert len(aborted) == memory.aborted >= 30
        assert memory.peak_bytes < self.LIMIT_BYTES + 262_144
        assert memory.buffered_bytes == 0
        assert not memory.unfinished

    async def test_small_response_is_still_received(self):
        memory = ResponseMemory(1_048_576)
        memory.add(memory.large_limit_bytes + 1)
        async with serving_once(CHUNKED + b"4\r\ngood\r\n0\r\n\r\n") as address:
            response = await exchange(address, memory)
        assert isinstance(response, BackendResponse)
        assert memory.buffered_bytes == memory.large_limit_bytes + 1


class TestCaller:
    """A caller whose server sends an endless response gets a failure."""

    async def request_status(self, world: World, address: str) -> int:
        world.steering_state.selector.put(make_server(0, address=address), 0.0)
        async with asyncio.timeout(CALLER_TIMEOUT_S):
            return (await world.request())[0]

    @pytest.mark.parametrize("kind", ["lines", "informational heads"])
    async def test_caller_gets_a_failure_long_before_the_deadline(self, kind):
        route = make_route(repeatable=False, timeout_s=600.0)
        async with serving(*ENDLESS_HEADS[kind]) as (_, address):
            async with running(stall, route=route) as (world, _):
                assert await self.request_status(world, address) == 502


class TestStore:
    """A store sends an endless response, and its client would wait until the call times out."""

    FIRST = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"

    @pytest.mark.parametrize("api", LISTINGS)
    async def test_response_is_aborted_at_the_limit(self, api, monkeypatch):
        monkeypatch.setattr(store_http, "RESPONSE_BYTES_MAX", 1_048_576)
        monkeypatch.setattr(platform_store, "CALL_TIMEOUT_S", CALLER_TIMEOUT_S)
        async with serving(self.FIRST, b" " * 65_536) as (server, address):
            async with aiohttp.ClientSession() as session:
                result = await LISTINGS[api](session, address)
                assert isinstance(result, Failure)
                assert result.reason == "ClientPayloadError"
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                await server.closed.wait()
