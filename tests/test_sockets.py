from __future__ import annotations

import asyncio
import contextlib
import socket
import time
import typing as t

import pytest

from radishbridge.host.sockets import is_closed_by_peer, reset, unacknowledged_bytes


@contextlib.asynccontextmanager
async def connected() -> t.AsyncIterator[tuple[asyncio.Transport, socket.socket]]:
    """Yield our end of a connection as a transport, and the other end."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        other = socket.create_connection(listener.getsockname())
        ours, _ = listener.accept()
        ours.setblocking(False)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.connect_accepted_socket(asyncio.Protocol, ours)
        with other:
            yield transport, other
        transport.abort()


class TestCloseOfTheOtherEnd:
    async def test_an_open_connection(self):
        async with connected() as (transport, _):
            assert not is_closed_by_peer(transport)

    @pytest.mark.parametrize("unread", [b"", b"x" * 1000])
    async def test_a_close_is_seen_before_the_loop_reads_it(self, unread):
        async with connected() as (transport, other):
            other.sendall(unread)
            other.close()
            time.sleep(0.01)
            assert is_closed_by_peer(transport)

    async def test_a_reset(self):
        async with connected() as (transport, other):
            other.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            other.close()
            time.sleep(0.01)
            assert is_closed_by_peer(transport)

    async def test_our_own_close(self):
        async with connected() as (transport, _):
            reset(transport)
            assert is_closed_by_peer(transport)
        assert is_closed_by_peer(None)


class TestUnacknowledgedBytes:
    async def test_what_the_other_end_has_taken_does_not_count(self):
        async with connected() as (transport, other):
            transport.write(b"x" * 100)
            other.recv(100)
            assert unacknowledged_bytes(transport) == 0

    async def test_what_waits_for_room_counts(self):
        async with connected() as (transport, _):
            transport.write(b"x" * 16_000_000)
            waiting = unacknowledged_bytes(transport)
            assert waiting is not None
            assert waiting > 1_000_000

    async def test_a_closed_connection_is_unknown(self):
        async with connected() as (transport, _):
            transport.abort()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert unacknowledged_bytes(transport) is None
