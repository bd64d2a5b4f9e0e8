"""Connections to backend servers, without the conveniences of a client session."""

from __future__ import annotations

import asyncio
import typing as t

import aiohttp
import yarl
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.typedefs import LooseHeaders
from multidict import CIMultiDict

from radishbridge.host.sockets import abandon

CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTION_S = 10.0
READ_BUFFER_BYTES = 65_536
HEAD_LINE_BYTES = 16_384
MAX_HEADERS = 128

_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)


class BackendRequest(aiohttp.ClientRequest):
    """A request whose headers go out exactly as given.

    The steps by which the library completes a request have nothing to do here, and are left
    out for each request's sake.
    """

    _skip_auto_headers = t.cast("CIMultiDict[None]", CIMultiDict({"Content-Type": ""}))
    version = aiohttp.http.HttpVersion11
    proxy = None
    proxy_auth = None
    proxy_headers = None
    key: ConnectionKey

    def update_headers(self, headers: LooseHeaders | None) -> None:
        """Take the headers over."""
        self.headers = t.cast("CIMultiDict[str]", headers)

    def update_auto_headers(self, skip_auto_headers: t.Iterable[str] | None) -> None:
        """Add no headers."""

    def update_version(self, version: aiohttp.http.HttpVersion | str) -> None:
        """Keep HTTP/1.1."""

    def update_host(self, url: yarl.URL) -> None:
        """Keep the host, which is an address without user and password."""

    def update_auth(self, auth: aiohttp.BasicAuth | None, trust_env: bool = False) -> None:
        """Add no credentials."""

    def update_proxy(self, *args: t.Any) -> None:
        """Use no proxy."""

    def update_expect_continue(self, expect: bool = False) -> None:
        """Expect nothing."""

    @property
    def connection_key(self) -> ConnectionKey:
        """What connections this request can use."""
        return self.key


class BackendClient:
    """Opens connections to backend servers and keeps idle ones for a while.

    A client session would repeat requests of idempotent methods by itself when a kept connection
    turns out to be broken. Only the route says whether a request may be repeated, so each
    call here sends at most once, and connecting and sending are separate steps: what
    fails in the first one has not run.
    """

    __slots__ = ("connector", "keys", "loop")

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.keys: dict[str, ConnectionKey] = {}
        self.connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=IDLE_CONNECTION_S)

    def request(
        self,
        method: str,
        address: str,
        target: str,
        headers: CIMultiDict[str],
        data: bytes | t.AsyncIterator[bytes] | None,
    ) -> BackendRequest:
        """Build a request.

        :param address: ``IP:port`` of the backend server.
        :param target: path and query, sent as they are, without quoting or normalisation.
        :param headers: all headers, ``Host`` included; owned by the request from here on.
        """
        url = yarl.URL(f"http://{address}{target}", encoded=True)
        request = BackendRequest(method, url, headers=headers, data=data, loop=self.loop)
        request.key = self.keys.get(address) or self._add_key(address)
        return request

    async def connect(self, request: BackendRequest) -> aiohttp.connector.Connection:
        """Take an idle connection or open a new one.

        One on which bytes came while it idled is closed: they belong to no request.
        """
        while True:
            connection = await self.connector.connect(request, [], _TIMEOUT)
            if connection.protocol is None or not connection.protocol.should_close:
                return connection
            connection.close()

    async def send(
        self, request: BackendRequest, connection: aiohttp.connector.Connection
    ) -> aiohttp.ClientResponse:
        """Send a request and wait for the head of its answer.

        A connection on which this fails or is cancelled is closed.
        """
        transport = connection.transport
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
            if isinstance(transport, asyncio.Transport):
                abandon(transport)
            connection.close()
            raise

    def _add_key(self, address: str) -> ConnectionKey:
        url = yarl.URL(f"http://{address}")
        key = aiohttp.ClientRequest("GET", url, loop=self.loop).connection_key
        self.keys[address] = key
        return key

    async def close(self) -> None:
        """Close all connections."""
        await self.connector.close()
