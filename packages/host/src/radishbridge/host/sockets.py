"""What the kernel knows of a connection beyond what the event loop has read."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import termios

# Time in milliseconds for which the kernel repeats the close of an abandoned connection: it still
# gets through after a cut of some seconds, and ends work that would go on to its deadline.
CLOSE_TIMEOUT_MS = 15_000

_NO_LINGER = struct.pack("ii", 1, 0)
_ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_BYTES = struct.Struct("i")


def is_closed_by_peer(transport: asyncio.BaseTransport | None) -> bool:
    """Tell whether the other end has closed or reset the connection.

    The event loop learns of a close once it has read all that comes before it. This asks the
    kernel, so that neither a loop that lags nor unread bytes hide the close.

    :param transport: ``None`` stands for a connection that is gone.
    """
    if transport is None or transport.is_closing():
        return True
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return sock is not None
    poll = select.poll()
    poll.register(sock.fileno(), _ENDED)
    return bool(poll.poll(0))


def unacknowledged_bytes(transport: asyncio.Transport) -> int | None:
    """Return the bytes written that the other end has not acknowledged.

    :return: bytes; ``None`` where the kernel does not say.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return None
    try:
        # On a socket the request of this name is SIOCOUTQ.
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_BYTES.size))
    except OSError:
        return None
    queued: int = _BYTES.unpack(answer)[0]
    return queued + transport.get_write_buffer_size()


def reset(transport: asyncio.Transport) -> None:
    """Drop a connection so that its other end sees an error and not a clean end."""
    # Without this option the kernel ends the connection in order, although bytes are missing.
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()


def abandon(transport: asyncio.Transport) -> int | None:
    """Close a connection so that its other end neither starts nor goes on with a request.

    What the other end has not acknowledged may be held up on the way; an orderly close would have
    the kernel deliver it later. A reset drops it. What has arrived is ended by an orderly close,
    which unlike a reset the kernel repeats until it is acknowledged.

    :return: bytes that had not been acknowledged; ``None`` where the kernel does not say.
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
