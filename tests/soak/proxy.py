"""A loopback proxy that can delay, reset and block connections in either direction."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import itertools
import random
import socket
import struct

POLL_INTERVAL_S = 0.02
# Value of SO_LINGER that makes closing a socket send a TCP reset.
LINGER_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Pieces into which a proxy cuts what it forwards at once, and the longest delay between two.
PIECES_MAX, PIECE_DELAY_MAX_S = 4, 0.01


class Direction(enum.Enum):
    """A direction through the proxy."""

    TO_SERVER = "to server"
    TO_CLIENT = "to client"


class Proxy:
    """Forwards bytes between its listening address and a target address.

    :param blocked_directions: directions in which bytes are held back until unblocked, not lost.
    :param delay_s: delay of each chunk in each direction, in seconds.
    :param cuts: whether chunks are cut at random positions, with delays between the pieces.
    :param reset_rate: fraction of the chunks after which both connections are reset at once.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.blocked_directions: set[Direction] = set()
        self.delay_s = 0.0
        self.cuts = False
        self.reset_rate = 0.0
        self.rng = random.Random(0)
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.address = ("127.0.0.1", 0)

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self.server = await asyncio.start_server(self._serve, *self.address)
        self.address = self.server.sockets[0].getsockname()

    @property
    def address_text(self) -> str:
        """The listening address as ``IP:port``."""
        return f"{self.address[0]}:{self.address[1]}"

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            _reset(writer)

    async def stop(self) -> None:
        """Refuse new connections and reset the open ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            server_reader, server_writer = await asyncio.open_connection(*self.target)
        except OSError:
            self.writers.discard(writer)
            writer.transport.abort()
            return
        self.writers.add(server_writer)
        tasks = [
            asyncio.create_task(self._forward(reader, server_writer, writer, Direction.TO_SERVER)),
            asyncio.create_task(
                self._forward(server_reader, writer, server_writer, Direction.TO_CLIENT)
            ),
        ]
        try:
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
            for one in (writer, server_writer):
                self.writers.discard(one)
                one.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        opposite_writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        try:
            while data := await reader.read(65_536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self._wait_until_unblocked(direction)
                for piece in self._pieces(data):
                    writer.write(piece)
                    await writer.drain()
                    if self.cuts:
                        await asyncio.sleep(self.rng.uniform(0.0, PIECE_DELAY_MAX_S))
                if self.rng.random() < self.reset_rate:
                    _reset(writer)
                    _reset(opposite_writer)
            await self._wait_until_unblocked(direction)
            writer.close()
        except OSError:
            writer.transport.abort()

    def _pieces(self, data: bytes) -> list[bytes]:
        if not self.cuts:
            return [data]
        count = self.rng.randrange(PIECES_MAX)
        positions = sorted({0, *(self.rng.randrange(len(data)) for _ in range(count))})
        return [data[start:end] for start, end in itertools.pairwise([*positions, len(data)])]

    async def _wait_until_unblocked(self, direction: Direction) -> None:
        while direction in self.blocked_directions:
            await asyncio.sleep(POLL_INTERVAL_S)


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET_ON_CLOSE)
    writer.transport.abort()
