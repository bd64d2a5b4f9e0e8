"""Requests with large bodies: at most one run, bounded memory, and refusal before they are read."""

from __future__ import annotations

import asyncio
import re
import typing as t

import pytest
from entry_world import World, hang_up, reply, running, stall
from steering_world import make_route, make_selector, make_server
from test_platform import MANIFEST, ROUTE, make_resource, make_stored

from radishbridge.entry import Kind
from radishbridge.entry.request_body import BODY_MEMORY_BYTES
from radishbridge.platform.objects import PlatformDecoder
from radishbridge.steering import ServerCriteria

UPLOAD = make_route(repeatable=False, timeout_s=5.0)
HEAD = "POST /devices/7 HTTP/1.1\r\nHost: one.example\r\nRequest-Id: r1\r\n"


class Caller:
    """One raw connection to a host."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, world: World) -> Caller:
        host, _, port = world.url.removeprefix("http://").partition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def read_status(self) -> int:
        head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 5.0)
        found = re.match(rb"HTTP/1.1 (\d+)", head)
        assert found is not None
        return int(found.group(1))


def make_manifest(kind: str) -> dict[str, t.Any]:
    resources = [make_resource("routes", "r1", **{**ROUTE, "kind": kind})]
    return {**MANIFEST, "resources": resources}


class TestRepeatableKinds:
    """Only kinds that the platform's pages call idempotent may run more than once."""

    @pytest.mark.parametrize(
        ("kind", "repeatable"),
        [
            ("safe", True),
            ("download", True),
            ("unsafe", False),
            ("upload", False),
            ("keyed", False),
            ("unheard of", False),
            ("", False),
        ],
    )
    def test_an_unknown_kind_is_not_repeated(self, kind, repeatable):
        decoder = PlatformDecoder({"north": "east"})
        found = decoder.decode(make_stored(Kind.CONFIGURATION, "main", make_manifest(kind)))
        assert found.match("one.example", "/a/7").repeatable is repeatable


class TestLargeBodies:
    async def test_a_large_body_arrives_whole(self):
        body = bytes(range(256)) * 2_000
        received = []

        async def record(request):
            received.append(await request.read())
            return await reply()(request)

        async with running(record, route=UPLOAD) as (world, _):
            for chunked in (False, True):
                data = stream(body) if chunked else body
                headers = {"Host": "one.example", "Request-Id": "r1"}
                url = world.url + "/devices/7"
                async with world.session.post(url, data=data, headers=headers) as response:
                    assert response.status == 200
            assert received == [body, body]
            assert world.forwarder.body_reader.buffered_bytes == 0

    async def test_an_upload_whose_answer_is_lost_is_not_run_again(self):
        async with running(hang_up, reply(), route=UPLOAD) as (world, backends):
            headers = {"Host": "one.example", "Request-Id": "r1"}
            url = world.url + "/devices/7"
            statuses = []
            for _ in range(6):
                async with world.session.post(url, data=b"x" * 200_000, headers=headers) as found:
                    statuses.append(found.status)
            assert set(statuses) <= {200, 502}
            assert sum(len(backend.requests) for backend in backends) == 6

    async def test_it_is_refused_before_it_is_read_if_no_server_has_room(self):
        async with running(stall, route=UPLOAD) as (world, backends):
            state = world.steering_state.selector.states["server-0"]
            state.in_flight = 10 * state.server.slots
            caller = await Caller.connect(world)
            caller.writer.write((HEAD + "Content-Length: 1000000\r\n\r\n").encode())
            assert await caller.read_status() == 503
            assert backends[0].requests == []
            caller.writer.close()

    async def test_expect_continue_is_answered_only_if_the_body_is_wanted(self):
        head = HEAD + "Expect: 100-continue\r\nContent-Length: 200000\r\n\r\n"
        async with running(reply(), route=UPLOAD) as (world, _):
            caller = await Caller.connect(world)
            caller.writer.write(head.encode())
            assert await caller.read_status() == 100
            caller.writer.write(b"x" * 200_000)
            assert await caller.read_status() == 200
            caller.writer.close()
            state = world.steering_state.selector.states["server-0"]
            state.in_flight = 10 * state.server.slots
            caller = await Caller.connect(world)
            caller.writer.write(head.encode())
            assert await caller.read_status() == 503
            caller.writer.close()

    @pytest.mark.parametrize("framing", ["Content-Length: 9999999", "Transfer-Encoding: chunked"])
    async def test_a_caller_that_leaves_midway_leaves_no_memory_in_use(self, framing):
        async with running(reply(), route=UPLOAD) as (world, backends):
            caller = await Caller.connect(world)
            caller.writer.write(f"{HEAD}{framing}\r\n\r\n".encode())
            caller.writer.write(b"10000\r\n" if "chunked" in framing else b"")
            caller.writer.write(b"x" * 65_536)
            await caller.writer.drain()
            await until(lambda: world.forwarder.body_reader.buffered_bytes > 0)
            caller.writer.close()
            await until(lambda: world.forwarder.in_flight == 0)
            assert world.forwarder.body_reader.buffered_bytes == 0
            assert backends[0].requests == []

    async def test_a_body_that_stops_arriving_is_answered_as_not_run(self):
        route = make_route(repeatable=False, timeout_s=0.3)
        async with running(reply(), route=route) as (world, backends):
            caller = await Caller.connect(world)
            caller.writer.write((HEAD + "Content-Length: 200000\r\n\r\nxxx").encode())
            assert await caller.read_status() in (408, 503)
            assert backends[0].requests == []
            caller.writer.close()


class TestMemoryOfBodies:
    """Many uploads at once must not use up the memory of a small host."""

    async def test_bodies_beyond_the_limit_are_refused_at_once(self):
        async with running(stall, route=UPLOAD) as (world, backends):
            reader = world.forwarder.body_reader
            reader.limit_bytes = 1_000_000
            callers = [await Caller.connect(world) for _ in range(4)]
            for caller in callers[:3]:
                caller.writer.write((HEAD + "Content-Length: 300000\r\n\r\n").encode())
            await until(lambda: reader.buffered_bytes == 900_000)
            callers[3].writer.write((HEAD + "Content-Length: 300000\r\n\r\n").encode())
            assert await callers[3].read_status() == 503
            for caller in callers:
                caller.writer.close()
            await until(lambda: reader.buffered_bytes == 0)
            assert backends[0].requests == []

    async def test_a_chunked_body_is_refused_once_it_exceeds_the_limit(self):
        async with running(reply(), route=UPLOAD) as (world, backends):
            world.forwarder.body_reader.limit_bytes = 100_000
            caller = await Caller.connect(world)
            caller.writer.write((HEAD + "Transfer-Encoding: chunked\r\n\r\n").encode())
            caller.writer.write(b"20000\r\n" + b"x" * 131_072 + b"\r\n")
            assert await caller.read_status() == 503
            assert backends[0].requests == []
            caller.writer.close()

    async def test_small_bodies_are_taken_while_large_ones_use_up_the_limit(self):
        async with running(reply(), route=UPLOAD) as (world, _):
            world.forwarder.body_reader.buffered_bytes = 10**9
            headers = {"Host": "one.example", "Request-Id": "r1"}
            url = world.url + "/devices/7"
            async with world.session.post(url, data=b"x" * 1_000, headers=headers) as response:
                assert response.status == 200

    async def test_a_body_above_the_size_limit_is_refused(self):
        async with running(reply(), route=UPLOAD) as (world, _):
            caller = await Caller.connect(world)
            length = BODY_MEMORY_BYTES + 1
            caller.writer.write((HEAD + f"Content-Length: {length}\r\n\r\n").encode())
            assert await caller.read_status() == 413
            caller.writer.close()


class TestRoom:
    def test_looking_for_room_takes_no_slow_start_token(self):
        selector = make_selector(0)
        selector.put(make_server(0, cold_for_s=30.0), 0.0)
        criteria = ServerCriteria("catalogue", "k", None, None)
        assert all(selector.has_room(criteria, 1.0) for _ in range(100))


async def stream(body: bytes) -> t.AsyncIterator[bytes]:
    for start in range(0, len(body), 50_000):
        yield body[start : start + 50_000]


async def until(condition: t.Callable[[], bool]) -> None:
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.01)
