"""Clients beyond the limits against a host process: it lives, stays within its bounds and serves.

Each guards against a process that runs out of memory or descriptors, as one did in a trial.
"""

from __future__ import annotations

import asyncio
import pathlib

import pytest
from client_crowd import (
    CALLER_FORMS,
    DESCRIPTORS_MAX,
    ENDPOINT_FORMS,
    HEADER_BYTES_MAX,
    MEMORY_GROWTH_MAX,
    PEER_FORMS,
    REQUEST,
    Crowd,
    Form,
    LimitedWorld,
    head_of,
)

pytestmark = pytest.mark.client_limits


async def check_bounds(directory: pathlib.Path, form: Form, use_of_address: str) -> None:
    """Run a crowd against one address and check the process."""
    world = LimitedWorld(directory)
    async with world.serving() as use:
        host = world.host
        address = host.addresses.get(use_of_address, host.caller_address)
        await Crowd(form, address).run()
        use.sample()
        print(
            f"growth {use.growth_bytes / 1_048_576:.1f} MB, {use.descriptors} descriptors, "
            f"at rest {use.at_rest_bytes / 1_048_576:.1f} MB"
        )
        await world.wait_until(world.answers)
        assert use.is_alive
        assert use.growth_bytes <= MEMORY_GROWTH_MAX
        assert use.descriptors <= DESCRIPTORS_MAX


class TestCallersAddress:
    @pytest.mark.parametrize("form", CALLER_FORMS)
    async def test_stays_within_bounds(self, form, tmp_path):
        await check_bounds(tmp_path, CALLER_FORMS[form], "callers")


class TestEndpoints:
    @pytest.mark.parametrize("form", ENDPOINT_FORMS)
    @pytest.mark.parametrize("address", ["readiness", "look-up", "metrics"])
    async def test_stays_within_bounds(self, address, form, tmp_path):
        await check_bounds(tmp_path, ENDPOINT_FORMS[form], address)


class TestPeerAddress:
    @pytest.mark.parametrize("form", PEER_FORMS)
    async def test_stays_within_bounds(self, form, tmp_path):
        await check_bounds(tmp_path, PEER_FORMS[form], "peers")


class TestTimeouts:
    """A client that sends slowly keeps its connection, and so a descriptor, only for a time."""

    @pytest.mark.parametrize(
        ("first", "piece"),
        [
            (REQUEST, b"a"),
            (b"", b"\r\n"),
            (b"", b""),
            (b"GET / HTTP/1.1\r\n", b"a:b\r\n"),
            (REQUEST + b"\r\n", b"\r\n"),
        ],
        ids=["one header", "empty lines", "nothing", "header lines", "empty lines after a request"],
    )
    async def test_slow_clients_are_closed(self, first, piece, tmp_path):
        world = LimitedWorld(tmp_path)
        async with world.serving():
            host, _, port = world.host.caller_address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(first)
            reading = asyncio.create_task(reader.read())

            async def is_closed() -> bool:
                writer.write(piece)
                return reading.done()

            await world.wait_until(is_closed)
            writer.transport.abort()
            await asyncio.gather(reading, return_exceptions=True)


class TestRequestsAtTheLimit:
    """Bounds that refuse a request inside the limits would harm ordinary callers."""

    async def send(self, world: LimitedWorld, head: bytes, piece_bytes: int) -> bytes:
        host, _, port = world.host.caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for start in range(0, len(head), piece_bytes):
            writer.write(head[start : start + piece_bytes])
            await writer.drain()
            await asyncio.sleep(0.0)
        line = await reader.readline()
        writer.transport.abort()
        return line.partition(b" ")[2][:3]

    def head(self, world: LimitedWorld, size: int, line: bytes) -> bytes:
        key = world.authorization()
        return head_of(size - len(key), line).replace(REQUEST, REQUEST + key)

    @pytest.mark.parametrize("piece_bytes", [1, 7, 100_000])
    @pytest.mark.parametrize("line", [b"x" * 98, b"x" * 4], ids=["lines", "many fields"])
    async def test_is_served(self, line, piece_bytes, tmp_path):
        world = LimitedWorld(tmp_path, headerTimeout="20s")
        async with world.serving():
            head = self.head(world, HEADER_BYTES_MAX, line)
            assert len(head) == HEADER_BYTES_MAX
            assert await self.send(world, head, piece_bytes) == b"200"

    @pytest.mark.parametrize("piece_bytes", [7, 100_000])
    async def test_one_byte_more_is_refused_with_431(self, piece_bytes, tmp_path):
        world = LimitedWorld(tmp_path, headerTimeout="20s")
        async with world.serving():
            head = self.head(world, HEADER_BYTES_MAX + 1, b"x" * 98)
            assert await self.send(world, head, piece_bytes) == b"431"

    async def test_a_connection_idle_for_most_of_the_idle_time_is_reused(self, tmp_path):
        world = LimitedWorld(tmp_path, idleTimeout="5s")
        async with world.serving():
            host, _, port = world.host.caller_address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            for _ in range(2):
                writer.write(REQUEST + world.authorization() + b"\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200")
                length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
                await reader.readexactly(int(length))
                await asyncio.sleep(4.0)
            writer.transport.abort()
