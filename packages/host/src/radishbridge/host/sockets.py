"""State of connections that the kernel knows before the event loop does, and ways to close them."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import termios

# How long the kernel retransmits the close of an abandoned connection. The close still arrives
# after a network outage of some seconds, and ends work that would run on until its deadline.
CLOSE_TIMEOUT_MS = 15_000

_NO_LINGER = struct.pack("ii", 1, 0)
_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_INT = struct.Struct("i")
_UNSIGNED_INT = struct.Struct("I")
# Position of ``tcpi_min_rtt`` in Linux's ``struct tcp_info``, and the bytes up to its end.
_MIN_RTT_OFFSET = 148
_TCP_INFO_BYTES = 152
_NO_SAMPLE = 2**32 - 1


def is_closed_by_peer(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether the peer has closed or reset the connection.

    The event loop detects a close only after it has read all bytes before it. This asks the
    kernel, so that neither a delayed event loop nor unread bytes hide the close.

    :param transport: ``None`` counts as closed.
    """
    if transport is None or transport.is_closing():
        return True
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return sock is not None
    poll = select.poll()
    poll.register(sock.fileno(), _CLOSED_EVENTS)
    return bool(poll.poll(0))


def unacknowledged_bytes(transport: asyncio.Transport) -> int | None:
    """Return the number of written bytes that the peer has not acknowledged.

    :return: bytes, or ``None`` if the kernel does not report them.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return None
    try:
        # For sockets, TIOCOUTQ has the same value as SIOCOUTQ, which Python does not define.
        result = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    except OSError:
        return None
    queued: int = _INT.unpack(result)[0]
    return queued + transport.get_write_buffer_size()


def round_trip_s(transport: asyncio.BaseTransport | None) -> float:
    """Return the shortest round trip of the connection in seconds; 0 if the kernel can't tell.

    The shortest one leaves out the delay of acknowledgements that wait for a response.
    """
    sock = None if transport is None else transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0.0
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except OSError:
        return 0.0
    if len(info) < _TCP_INFO_BYTES:
        return 0.0
    microseconds: int = _UNSIGNED_INT.unpack_from(info, _MIN_RTT_OFFSET)[0]
    # Before the first sample the kernel reports the largest number.
    return 0.0 if microseconds == _NO_SAMPLE else microseconds / 1e6


def reset(transport: asyncio.Transport) -> None:
    """Close a connection so that the peer sees an error instead of an orderly end."""
    # Without this option the kernel closes the connection in an orderly way although bytes are
    # missing.
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()


def abandon(transport: asyncio.Transport) -> int | None:
    """Close a connection so that the peer neither starts nor continues the request sent on it.

    Unacknowledged bytes may be delayed in the network, and after an orderly close the kernel
    would still deliver them. A reset discards them. If all bytes have arrived, an orderly close
    ends the request; unlike a reset, it is retransmitted by the kernel until it is acknowledged.

    :return: number of unacknowledged bytes, or ``None`` if the kernel does not report them.
    """
    unacknowledged = unacknowledged_bytes(transport)
    if unacknowledged:
        reset(transport)
        return unacknowledged
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, CLOSE_TIMEOUT_MS)
    transport.abort()
    return unacknowledged
