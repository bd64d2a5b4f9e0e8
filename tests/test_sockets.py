from __future__ import annotations

import asyncio
import contextlib
import socket
import time
import typing as t

import pytest

from radishbridge.host.sockets import (
    is_closed_by_peer,
    reset,
    round_trip_s,
    unacknowledged_bytes,
)


@contextlib.asynccontextmanager
async def connected() -> t.AsyncIterator[tuple[asyncio.Transport, socket.socket]]:
    """Yield a connection: this end as a transport and the peer's end as a socket."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        peer = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
        accepted.setblocking(False)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.connect_accepted_socket(asyncio.Protocol, accepted)
        with peer:
            yield transport, peer
        transport.abort()


class TestRoundTrip:
    """A round trip that is read from the wrong place of the kernel's structure."""

    async def test_on_loopback_it_is_short_but_known(self):
        async with connected() as (transport, peer):
            transport.write(b"x")
            peer.recv(1)
            assert 0.0 < round_trip_s(transport) < 1.0

    async def test_without_a_connection_it_is_unknown(self):
        assert round_trip_s(None) == 0.0


class TestIsClosedByPeer:
    async def test_an_open_connection(self):
        async with connected() as (transport, _):
            assert not is_closed_by_peer(transport)

    @pytest.mark.parametrize("unread", [b"", b"x" * 1000])
    async def test_a_close_that_the_event_loop_has_not_read(self, unread):
        async with connected() as (transport, peer):
            peer.sendall(unread)
            peer.close()
            time.sleep(0.01)
            assert is_closed_by_peer(transport)

    async def test_a_reset(self):
        async with connected() as (transport, peer):
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            peer.close()
            time.sleep(0.01)
            assert is_closed_by_peer(transport)

    async def test_a_close_of_this_end(self):
        async with connected() as (transport, _):
            reset(transport)
            assert is_closed_by_peer(transport)
        assert is_closed_by_peer(None)


class TestUnacknowledgedBytes:
    async def test_bytes_that_the_peer_acknowledged_do_not_count(self):
        async with connected() as (transport, peer):
            transport.write(b"x" * 100)
            peer.recv(100)
            assert unacknowledged_bytes(transport) == 0

    async def test_bytes_that_wait_in_the_send_buffer_count(self):
        async with connected() as (transport, _):
            transport.write(b"x" * 16_000_000)
            unacknowledged = unacknowledged_bytes(transport)
            assert unacknowledged is not None
            assert unacknowledged > 1_000_000

    async def test_a_closed_connection_returns_none(self):
        async with connected() as (transport, _):
            transport.abort()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert unacknowledged_bytes(transport) is None
