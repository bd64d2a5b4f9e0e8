"""A backend server that writes the bytes given by a test."""

from __future__ import annotations

import asyncio
import contextlib
import typing as t

SIGNED = "Request-Id: {id}\r\nResponse-Signature: s\r\n"
GOOD = f"HTTP/1.1 200 OK\r\n{SIGNED}Content-Length: 4\r\n\r\ngood"


class RawConnection:
    """One connection to a raw server.

    :param requests: requests read so far.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.requests = 0

    def write(self, text: str, request_id: str = "") -> None:
        self.writer.write(text.replace("{id}", request_id).encode())

    async def read_request(self) -> str:
        """Read a request with its body and return its id."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        pairs = (line.partition(": ") for line in head.splitlines()[1:])
        headers = {name.lower(): value for name, _, value in pairs}
        await self.reader.readexactly(int(headers.get("content-length", "0")))
        self.requests += 1
        return headers.get("request-id", "")


Script = t.Callable[[RawConnection, str], t.Awaitable[None]]


class RawServer:
    """Runs a script for each request.

    :param ran: ids of the requests that a script says it ran.
    """

    def __init__(self, script: Script) -> None:
        self.script = script
        self.ran: list[str] = []
        self.address = ""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = RawConnection(reader, writer)
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while not writer.is_closing():
                    request_id = await connection.read_request()
                    await self.script(connection, request_id)
        finally:
            writer.close()


@contextlib.asynccontextmanager
async def raw_server(script: Script) -> t.AsyncIterator[RawServer]:
    """Serve a script on a free port."""
    raw = RawServer(script)
    server = await asyncio.start_server(raw.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    raw.address = f"{host}:{port}"
    try:
        yield raw
    finally:
        server.close()
