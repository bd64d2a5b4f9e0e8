"""Bytes of clients, cut anywhere, against the real connection class and its framing."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import math
import os
import typing as t

import pytest
from aiohttp import web
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from radishbridge.host.admission import Occupancy, connections_max
from radishbridge.host.bounded import BoundedConnection, BoundedServer, ClientLimits
from radishbridge.host.client_memory import ClientMemory, ExcessLog
from radishbridge.host.connections import CallerServer
from radishbridge.host.framing import (
    CHUNK_LINE_BYTES_MAX,
    CHUNK_OVERHEAD_BYTES_MAX,
    EMPTY_BYTES_MAX,
    Excess,
    Framing,
)
from radishbridge.peers.listener import PeerInput, PeerListener, ReceiveLimits
from radishbridge.records import LimitSettings

# Examples of each fuzzed test; more in manual runs: CLIENT_LIMITS_EXAMPLES=2000.
EXAMPLES = int(os.environ.get("CLIENT_LIMITS_EXAMPLES", "80"))
HEAD_MAX = 1_000
LIMITS = ClientLimits(HEAD_MAX, 10.0, 60.0)
GET = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
END = b"GET /end HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


class Echo:
    """A server that records the requests it gets and answers each with its path and body."""

    def __init__(self) -> None:
        self.seen: list[tuple[str, bytes]] = []
        self.errors: list[dict[str, t.Any]] = []

    async def handle(self, request: web.BaseRequest) -> web.Response:
        try:
            body = await request.read()
        except web.RequestPayloadError:
            return web.Response(status=400)
        self.seen.append((request.path, body))
        return web.Response(body=request.path.encode() + b" " + body)

    @contextlib.asynccontextmanager
    async def running(self) -> t.AsyncIterator[tuple[str, int]]:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: self.errors.append(context))
        handlers = CallerServer(self.handle, LimitSettings(), lambda: LIMITS)
        server = await loop.create_server(handlers, "127.0.0.1", 0)
        async with server:
            yield server.sockets[0].getsockname()[:2]
        await handlers.shutdown(0.1)

    async def exchange(self, pieces: t.Iterable[bytes], closes: bool = False) -> bytes:
        """Send pieces and return everything that is sent back until the close.

        :param closes: the client closes its side after a short time; requests that are not
            answered by then are cancelled.
        """
        async with self.running() as address:
            reader, writer = await asyncio.open_connection(*address)
            with contextlib.suppress(OSError):
                for piece in pieces:
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(0.0)
                if closes:
                    await asyncio.sleep(0.02)
                    writer.write_eof()
            received = b""
            with contextlib.suppress(OSError):
                async with asyncio.timeout(10.0):
                    received = await reader.read()
            writer.transport.abort()
            return received


def encode(body: bytes | None, chunk_bytes: int, number: int) -> bytes:
    """Return a request: without a body, with a length, or chunked if ``chunk_bytes`` is not 0."""
    if body is None:
        return GET % number
    start = b"POST /%d HTTP/1.1\r\nHost: h\r\n" % number
    if not chunk_bytes:
        return start + b"Content-Length: %d\r\n\r\n" % len(body) + body
    chunks = (body[at : at + chunk_bytes] for at in range(0, len(body), chunk_bytes))
    lines = b"".join(b"%x;e=1\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
    return start + b"Transfer-Encoding: chunked\r\n\r\n" + lines + b"0\r\nT: x\r\n\r\n"


def cut(data: bytes, places: list[int]) -> list[bytes]:
    """Cut bytes at places modulo their length."""
    ends = sorted({place % (len(data) + 1) for place in places} | {0, len(data)})
    return [data[start:end] for start, end in itertools.pairwise(ends)]


REQUESTS = st.lists(
    st.tuples(st.none() | st.binary(max_size=300), st.integers(0, 40)), min_size=1, max_size=40
)
CUTS = st.lists(st.integers(0, 10_000), max_size=30)
fuzzed = settings(
    derandomize=True,
    deadline=None,
    max_examples=EXAMPLES,
    suppress_health_check=[HealthCheck.too_slow],
)


class TestAnyPieces:
    @fuzzed
    @given(requests=REQUESTS, places=CUTS)
    def test_requests_arrive_whole_and_in_order(self, requests, places):
        """Guards against requests that are lost, joined or cut where the pieces are."""
        data = b"".join(encode(body, size, n) for n, (body, size) in enumerate(requests)) + END
        echo = Echo()
        asyncio.run(echo.exchange(cut(data, places)))
        expected = [(f"/{n}", body or b"") for n, (body, _) in enumerate(requests)]
        assert echo.seen == [*expected, ("/end", b"")]
        assert echo.errors == []

    @fuzzed
    @given(requests=REQUESTS, garbage=st.binary(min_size=1, max_size=2_000), places=CUTS)
    def test_garbage_causes_no_exception_and_no_response_of_its_own(
        self, requests, garbage, places
    ):
        """Guards against errors of the program and responses to requests that were not sent."""
        data = b"".join(encode(body, size, n) for n, (body, size) in enumerate(requests)) + garbage
        echo = Echo()
        received = asyncio.run(echo.exchange(cut(data, places), closes=True))
        assert echo.errors == []
        assert [path for path, _ in echo.seen][: len(requests)] == [
            f"/{n}" for n in range(len(requests))
        ][: len(echo.seen)]
        assert len(echo.seen) <= len(requests) + garbage.count(b"\n")
        assert received.count(b"HTTP/1.1 4") <= 1


class TestFraming:
    def excess(self, data: bytes, piece_bytes: int, chunked: bool = False) -> Excess | None:
        framing = Framing(HEAD_MAX)
        if chunked:
            framing.begin_body(None)
        for start in range(0, len(data), piece_bytes):
            piece = data[start : start + piece_bytes]
            position = framing.skip_empty_lines(piece, 0)
            while not isinstance(position, Excess) and position < len(piece):
                position = framing.take(piece, position)
            if isinstance(position, Excess):
                return position
        return None

    @pytest.mark.parametrize("piece_bytes", [1, 3, 50_000])
    @pytest.mark.parametrize(
        ("data", "chunked", "excess"),
        [
            (b"G" * HEAD_MAX, False, None),
            (b"G" * (HEAD_MAX + 1), False, Excess.HEAD),
            (b"\r\n" * (EMPTY_BYTES_MAX // 2), False, None),
            (b"\r\n" * EMPTY_BYTES_MAX, False, Excess.EMPTY_LINES),
            (b"1;" + b"e" * (CHUNK_LINE_BYTES_MAX - 2), True, None),
            (b"1;" + b"e" * CHUNK_LINE_BYTES_MAX, True, Excess.CHUNK_LINE),
            (b"0\r\n" + b"T" * HEAD_MAX, True, None),
            (b"0\r\n" + b"T: x\r\n" * HEAD_MAX, True, Excess.TRAILERS),
            (b"1\r\nx\r\n" * (CHUNK_OVERHEAD_BYTES_MAX // 8), True, None),
            (b"1\r\nx\r\n" * CHUNK_OVERHEAD_BYTES_MAX, True, Excess.CHUNKS),
            (b"6\r\n123456\r\n" * CHUNK_OVERHEAD_BYTES_MAX, True, None),
        ],
    )
    def test_bounds_hold_for_pieces_of_any_size(self, data, chunked, excess, piece_bytes):
        """Guards against a bound that a client evades by the size of its pieces."""
        assert self.excess(data, piece_bytes, chunked) is excess


class Held:
    """A client that holds a number of bytes."""

    def __init__(self, held_bytes: int) -> None:
        self.held_bytes = held_bytes
        self.peer_text = ""
        self.is_aborted = False

    def abort(self) -> None:
        self.is_aborted = True


class TestClientMemory:
    def test_the_largest_client_is_reset_first(self):
        """Guards against the reset of ordinary clients because of one that holds much."""
        memory = ClientMemory(ExcessLog(), 1_000)
        clients = [Held(100), Held(800), Held(90), Held(80)]
        for client in clients:
            memory.update(client, 0.0)
        assert [client.is_aborted for client in clients] == [False, True, False, False]
        assert memory.held_bytes == 270
        assert memory.excess_log.counts == {"client memory": 1}


class TestOccupancy:
    def test_clients_without_a_response_are_closed_before_idle_ones(self):
        """Guards against callers that lose their connections to clients that send nothing."""
        occupancy: Occupancy[str] = Occupancy()
        for name in ("served", "silent", "refused", "busy"):
            occupancy.add(name)
        for name, is_served in (("served", True), ("refused", False)):
            occupancy.begin(name)
            occupancy.end(name, is_served)
        occupancy.begin("busy")
        order = []
        while (name := occupancy.first_to_close()) is not None:
            occupancy.remove(name)
            order.append(name)
        assert order == ["silent", "refused", "served"]
        assert len(occupancy) == 1

    def test_a_request_of_a_closed_connection_is_not_counted(self):
        """Guards against connections that are counted for ever."""
        occupancy: Occupancy[str] = Occupancy()
        occupancy.add("closed")
        occupancy.remove("closed")
        occupancy.begin("closed")
        occupancy.end("closed", True)
        assert len(occupancy) == 0

    def test_shares_follow_the_settings(self):
        assert connections_max(4_100, 0.3) == 1_230
        assert connections_max(0, 0.3) >= 1


class TestTimeouts:
    """Timeouts in virtual time: a suspended process reads before it closes connections."""

    async def connect(self, server: BoundedServer) -> BoundedConnection:
        connection = server()
        assert isinstance(connection, BoundedConnection)
        connection.connection_made(Transport())
        return connection

    async def test_a_suspension_closes_no_connection(self, monkeypatch):
        now = 1_000.0
        monkeypatch.setattr("radishbridge.host.bounded.time.monotonic", lambda: now)
        server = CallerServer(Echo().handle, LimitSettings(), lambda: LIMITS)
        connection = await self.connect(server)
        server.sweep()
        now += 3_600.0
        server.sweep()
        assert connection.transport is not None
        for _ in range(200):
            now += 0.5
            server.sweep()
        assert connection.transport is None

    @pytest.mark.parametrize(
        ("read_bytes", "held"), [(100_000, 65_536), (1, 16_000_000 - 100)], ids=["slow", "hardly"]
    )
    async def test_a_response_that_is_read_slowly_is_not_held_against_its_caller(
        self, read_bytes, held, monkeypatch
    ):
        """Guards against large responses that are cut off because a caller's link is slow."""
        now = 0.0
        monkeypatch.setattr("radishbridge.host.bounded.time.monotonic", lambda: now)
        server = CallerServer(Echo().handle, LimitSettings(), lambda: LIMITS)
        connection = await self.connect(server)
        transport = connection.transport
        assert isinstance(transport, Transport)
        transport.unread = 16_000_000
        for _ in range(100):
            now += 0.5
            transport.unread -= read_bytes
            server.sweep()
        assert connection.held_bytes == held
        connection.abort()

    async def test_bytes_extend_no_head_timeout(self, monkeypatch):
        now = 0.0
        monkeypatch.setattr("radishbridge.host.bounded.time.monotonic", lambda: now)
        server = CallerServer(Echo().handle, LimitSettings(), lambda: LIMITS)
        connection = await self.connect(server)
        connection.data_received(b"GET /")
        broken_at = math.inf
        for _ in range(60):
            now += 0.5
            connection.data_received(b"a")
            server.sweep()
            if connection.is_broken:
                broken_at = min(broken_at, now)
        assert LIMITS.header_s < broken_at < LIMITS.header_s + 2.0
        connection.abort()


class Transport(asyncio.Transport):
    """A transport that sends nothing."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.unread = 0
        self.is_aborted = False

    def write(self, data: t.Any) -> None:
        self.written += bytes(data)

    def get_write_buffer_size(self) -> int:
        return self.unread

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def is_closing(self) -> bool:
        return self.is_aborted

    def close(self) -> None:
        self.is_aborted = True

    def abort(self) -> None:
        self.is_aborted = True


class TestPeerInput:
    GREETING = b"\xff" + bytes(8) + b"\x7f\x03\x00NULL" + bytes(48)
    READY = b"\x04\x1c\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER"

    def feed(self, pieces: t.Iterable[bytes]) -> tuple[list[bytes], Transport, PeerInput]:
        received: list[bytes] = []
        listener = PeerListener(lambda frame: not received.append(frame), ReceiveLimits(1_000))
        connection, transport = PeerInput(listener), Transport()
        connection.connection_made(transport)
        for piece in pieces:
            connection.data_received(piece)
        return received, transport, connection

    @fuzzed
    @given(frames=st.lists(st.binary(max_size=600), max_size=20), places=CUTS)
    def test_messages_arrive_whole(self, frames, places):
        """Guards against messages of other hosts that are lost or cut where the pieces are."""

        async def check() -> None:
            data = self.GREETING + self.READY
            for frame in frames:
                size = len(frame)
                short = bytes([0, size]) if size < 256 else b"\x02" + size.to_bytes(8, "big")
                data += short + frame + b"\x04\x07\x04PING\x00\x00"
            received, transport, connection = self.feed(cut(data, places))
            assert received == frames
            assert not transport.is_aborted
            assert transport.written.count(b"\x04PONG") == len(frames)
            connection.connection_lost(None)

        asyncio.run(check())

    @fuzzed
    @given(garbage=st.binary(min_size=1, max_size=3_000), places=CUTS, greeted=st.booleans())
    def test_garbage_is_bounded_and_causes_no_exception(self, garbage, places, greeted):
        """Guards against peers that cost memory by what they send."""

        async def check() -> None:
            data = (self.GREETING + self.READY) * greeted + garbage * 10
            _, _, connection = self.feed(cut(data, places))
            assert len(connection.buffer) <= 1_000 + 9
            connection.connection_lost(None)

        asyncio.run(check())
