"""Connections of client processes, shared by the callers of one process."""

from __future__ import annotations

import asyncio
import collections
import itertools
import random
import typing as t

import httptools

# Fraction of the requests for which a client opens a new connection although one is idle.
NEW_CONNECTION_PROBABILITY = 0.2


class Cut(t.NamedTuple):
    """A request whose sending stops midway for a while.

    :param position: bytes sent before the break.
    :param delay_s: length of the break in seconds.
    :param is_final: whether the caller disconnects after the break instead of sending the rest.
    """

    position: int
    delay_s: float
    is_final: bool


class Response:
    """A response as far as it was read.

    :param status: status of the response; 0 before its head is complete.
    :param has_excess: bytes of another response followed it.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_complete = False
        self.has_excess = False
        self.parser = httptools.HttpResponseParser(self)

    # Called by the parser.

    def on_message_begin(self) -> None:
        self.has_excess = self.is_complete

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.is_complete:
            self.headers[name.decode().lower()] = value.decode()

    def on_headers_complete(self) -> None:
        if not self.is_complete:
            self.status = self.parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        if not self.is_complete:
            self.body += data

    def on_message_complete(self) -> None:
        self.is_complete = True


Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Client:
    """A client process that keeps connections open.

    :param ignores_close: whether it goes on using connections until their host has closed them,
        whatever responses and look-ups say.
    """

    def __init__(self, rng: random.Random, ignores_close: bool) -> None:
        self.rng = rng
        self.ignores_close = ignores_close
        self.idle: dict[str, list[Stream]] = collections.defaultdict(list)

    def choose_address(self, addresses: list[str]) -> str:
        """Return the address for the next request, one of those looked up or one still in use."""
        if self.ignores_close:
            addresses = [one for one in sorted(self.idle) if self._usable(one)] or addresses
        return self.rng.choice(addresses)

    async def exchange(
        self,
        address: str,
        target: tuple[str, int],
        request: bytes,
        response: Response,
        cut: Cut | None,
    ) -> None:
        """Send a request and read its response.

        :param address: address of the host.
        :param target: address of the proxy in front of it.
        :raises OSError: if the connection ended before the response did, or it can't be parsed.
        """
        reader, writer = stream = await self._connect(address, target)
        try:
            if cut is not None:
                writer.write(request[: cut.position])
                await asyncio.sleep(cut.delay_s)
                if cut.is_final:
                    raise ConnectionAbortedError
                request = request[cut.position :]
            writer.write(request)
            while not response.is_complete:
                data = await reader.read(65_536)
                if not data:
                    raise ConnectionResetError
                response.parser.feed_data(data)
        except httptools.HttpParserError as error:
            response.has_excess = True
            raise OSError("the response can't be parsed") from error
        finally:
            keeps = self.ignores_close or response.headers.get("connection", "").lower() != "close"
            if keeps and response.is_complete and not response.has_excess:
                self.idle[address].append(stream)
            else:
                writer.close()

    def close(self) -> None:
        """Close the idle connections."""
        for _, writer in itertools.chain.from_iterable(self.idle.values()):
            writer.close()

    def _usable(self, address: str) -> list[Stream]:
        usable = [stream for stream in self.idle[address] if not stream[0].at_eof()]
        for _, writer in (stream for stream in self.idle[address] if stream not in usable):
            writer.close()
        self.idle[address] = usable
        return usable

    async def _connect(self, address: str, target: tuple[str, int]) -> Stream:
        usable = self._usable(address)
        if usable and self.rng.random() >= NEW_CONNECTION_PROBABILITY:
            return usable.pop()
        return await asyncio.open_connection(*target)
