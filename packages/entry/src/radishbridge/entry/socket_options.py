"""Options of sockets by which the kernel detects unreachable backend servers."""

from __future__ import annotations

import socket

# TCP keepalive, which detects an unreachable peer: delay of the first probe, interval of the next
# ones, and number of unanswered probes after which the connection is closed.
TCP_KEEPALIVE_IDLE_S = 1
TCP_KEEPALIVE_INTERVAL_S = 1
TCP_KEEPALIVE_PROBES = 2
# The kernel closes a connection whose sent data stays unacknowledged for this long.
TCP_USER_TIMEOUT_MS = 1_500


def set_socket_options(sock: socket.socket) -> None:
    """Set the options of a connection to a backend server."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)
