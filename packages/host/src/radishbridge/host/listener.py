"""Listening sockets that close without losing connections in their accept queue."""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import socket
import typing as t

from aiohttp import web

BACKLOG = 1_024
# Connections accepted before others are closed that are too many; each takes a descriptor.
ACCEPT_BATCH = 8


class Listener:
    """One listening socket of a runner.

    :param runner: creates the handlers of connections; must be set up before ``start``.
    :param address: ``IP:port``.
    """

    __slots__ = ("runner", "site", "socket")

    def __init__(self, runner: web.AppRunner | web.ServerRunner, address: str) -> None:
        self.runner = runner
        self.socket = _bind(address)
        self.site = web.SockSite(runner, self.socket, backlog=ACCEPT_BATCH)

    async def start(self) -> None:
        """Accept connections."""
        await self.site.start()
        # asyncio uses one number for both; the kernel's queue stays long.
        self.socket.listen(BACKLOG)

    async def stop(self) -> None:
        """Accept the connections that are queued, then close the socket.

        The kernel resets connections that are still queued when their listening socket is closed,
        so nothing may run between accepting them and closing the socket.
        """
        queued = list(_accept_queued(self.socket))
        await self.site.stop()
        loop = asyncio.get_running_loop()
        server = self.runner.server
        if server is None:
            return
        for connection in queued:
            await loop.connect_accepted_socket(server, connection)


async def open_listener(
    stack: contextlib.AsyncExitStack, runner: web.AppRunner | web.ServerRunner, address: str
) -> Listener:
    """Set up a runner and accept connections.

    :param stack: cleans up the runner when it closes.
    :param address: ``IP:port`` to listen on.
    """
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    listener = Listener(runner, address)
    await listener.start()
    return listener


def _bind(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ipaddress.ip_address(host).version == 6 else socket.AF_INET
    return socket.create_server((host, int(port)), family=family, backlog=BACKLOG)


def _accept_queued(listener: socket.socket) -> t.Iterator[socket.socket]:
    while True:
        try:
            connection, _ = listener.accept()
        except BlockingIOError:
            return
        connection.setblocking(False)
        yield connection
