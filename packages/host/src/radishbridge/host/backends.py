"""HTTP client for backend servers, without the automatic steps of a client session."""

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
IDLE_TIMEOUT_S = 10.0
READ_BUFFER_BYTES = 65_536
MAX_LINE_BYTES = 16_384
MAX_HEADERS = 128

_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)


class BackendRequest(aiohttp.ClientRequest):
    """A request whose headers are sent exactly as given.

    ``aiohttp`` would complete the headers of each request. These steps are overridden to do
    nothing, which saves time for each request.

    :param pool_key: identifies the connections that the request may use.
    """

    _skip_auto_headers = t.cast("CIMultiDict[None]", CIMultiDict({"Content-Type": ""}))
    version = aiohttp.http.HttpVersion11
    proxy = None
    proxy_auth = None
    proxy_headers = None
    pool_key: ConnectionKey

    def update_headers(self, headers: LooseHeaders | None) -> None:
        """Use the given headers."""
        self.headers = t.cast("CIMultiDict[str]", headers)

    def update_auto_headers(self, skip_auto_headers: t.Iterable[str] | None) -> None:
        """Add no headers."""

    def update_version(self, version: aiohttp.http.HttpVersion | str) -> None:
        """Keep HTTP/1.1."""

    def update_host(self, url: yarl.URL) -> None:
        """Keep the host, which is an address without credentials."""

    def update_auth(self, auth: aiohttp.BasicAuth | None, trust_env: bool = False) -> None:
        """Add no credentials."""

    def update_proxy(self, *args: t.Any) -> None:
        """Use no proxy."""

    def update_expect_continue(self, expect: bool = False) -> None:
        """Send no ``Expect`` header."""

    @property
    def connection_key(self) -> ConnectionKey:
        """Key of the connections that this request may use."""
        return self.pool_key


class BackendClient:
    """Sends requests to backend servers over pooled connections.

    A client session would retry requests of idempotent methods by itself when a reused connection
    turns out to be broken. Only the route decides whether a request may be repeated, so each
    call here sends at most once. Connecting and sending are separate steps: a request that fails
    while connecting has not run.

    :param pool_keys: keys of pooled connections by ``IP:port``.
    """

    __slots__ = ("connector", "loop", "pool_keys")

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.pool_keys: dict[str, ConnectionKey] = {}
        self.connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=IDLE_TIMEOUT_S)

    def build_request(
        self,
        method: str,
        address: str,
        target: str,
        headers: CIMultiDict[str],
        data: bytes | t.AsyncIterator[bytes] | None,
    ) -> BackendRequest:
        """Build a request.

        :param address: ``IP:port`` of the backend server.
        :param target: path and query, sent without quoting or normalisation.
        :param headers: all headers, ``Host`` included; the request takes ownership of them.
        """
        url = yarl.URL(f"http://{address}{target}", encoded=True)
        request = BackendRequest(method, url, headers=headers, data=data, loop=self.loop)
        request.pool_key = self.pool_keys.get(address) or self._add_pool_key(address)
        return request

    async def connect(self, request: BackendRequest) -> aiohttp.connector.Connection:
        """Return an idle connection or open a new one.

        An idle connection that received bytes is closed, because they belong to no request.
        """
        while True:
            connection = await self.connector.connect(request, [], _TIMEOUT)
            if connection.protocol is None or not connection.protocol.should_close:
                return connection
            connection.close()

    async def send(
        self, request: BackendRequest, connection: aiohttp.connector.Connection
    ) -> aiohttp.ClientResponse:
        """Send a request and wait for the status line and headers of the response.

        The connection is closed if this fails or is cancelled.
        """
        transport = connection.transport
        try:
            if connection.protocol is not None:
                connection.protocol.set_response_params(
                    skip_payload=request.method == "HEAD",
                    read_until_eof=True,
                    auto_decompress=False,
                    read_bufsize=READ_BUFFER_BYTES,
                    max_line_size=MAX_LINE_BYTES,
                    max_field_size=MAX_LINE_BYTES,
                    max_headers=MAX_HEADERS,
                )
            response = await request.send(connection)
            try:
                return await response.start(connection)
            except BaseException:
                response.close()
                raise
        except BaseException:
            if isinstance(transport, asyncio.Transport):
                abandon(transport)
            connection.close()
            raise

    def _add_pool_key(self, address: str) -> ConnectionKey:
        url = yarl.URL(f"http://{address}")
        key = aiohttp.ClientRequest("GET", url, loop=self.loop).connection_key
        self.pool_keys[address] = key
        return key

    async def close(self) -> None:
        """Close all connections."""
        await self.connector.close()
