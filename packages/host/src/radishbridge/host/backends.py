"""Connections to backend servers, without the conveniences of a client session."""

from __future__ import annotations

import asyncio
import typing as t

import aiohttp
import yarl
from aiohttp.typedefs import LooseHeaders
from multidict import CIMultiDict

CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTION_S = 10.0
READ_BUFFER_BYTES = 65_536
HEAD_LINE_BYTES = 16_384
MAX_HEADERS = 128

_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)


class BackendRequest(aiohttp.ClientRequest):
    """A request whose headers go out exactly as given."""

    _skip_auto_headers = t.cast("CIMultiDict[None]", CIMultiDict({"Content-Type": ""}))

    def update_headers(self, headers: LooseHeaders | None) -> None:
        """Take the headers over."""
        self.headers = t.cast("CIMultiDict[str]", headers)

    def update_auto_headers(self, skip_auto_headers: t.Iterable[str] | None) -> None:
        """Add no headers."""


class BackendClient:
    """Opens connections to backend servers and keeps idle ones for a while.

    A client session would repeat requests of idempotent methods by itself when a kept connection
    turns out to be broken. Only the route says whether a request may be repeated, so each
    call here sends at most once, and connecting and sending are separate steps: what
    fails in the first one has not run.
    """

    __slots__ = ("connector", "loop")

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=IDLE_CONNECTION_S)

    def request(
        self,
        method: str,
        url: yarl.URL,
        headers: CIMultiDict[str],
        data: bytes | t.AsyncIterator[bytes] | None,
    ) -> BackendRequest:
        """Build a request.

        :param headers: all headers, ``Host`` included; owned by the request from here on.
        """
        return BackendRequest(method, url, headers=headers, data=data, loop=self.loop)

    async def connect(self, request: BackendRequest) -> aiohttp.connector.Connection:
        """Take an idle connection or open a new one."""
        return await self.connector.connect(request, [], _TIMEOUT)

    async def send(
        self, request: BackendRequest, connection: aiohttp.connector.Connection
    ) -> aiohttp.ClientResponse:
        """Send a request and wait for the head of its answer.

        A connection on which this fails or is cancelled is closed.
        """
        try:
            if connection.protocol is not None:
                connection.protocol.set_response_params(
                    skip_payload=request.method == "HEAD",
                    read_until_eof=True,
                    auto_decompress=False,
                    read_bufsize=READ_BUFFER_BYTES,
                    max_line_size=HEAD_LINE_BYTES,
                    max_field_size=HEAD_LINE_BYTES,
                    max_headers=MAX_HEADERS,
                )
            answer = await request.send(connection)
            try:
                return await answer.start(connection)
            except BaseException:
                answer.close()
                raise
        except BaseException:
            connection.close()
            raise

    async def close(self) -> None:
        """Close all connections."""
        await self.connector.close()
