"""Responses that end before they are complete."""

from __future__ import annotations

import asyncio
import time

import aiohttp
import pytest
from entry_world import running
from raw_server import GOOD, SIGNED, RawConnection, raw_server
from steering_world import make_route, make_server

# Longest wait of a caller, which exceeds the route's timeout.
CALLER_TIMEOUT_S = 4.0
HEAD = "HTTP/1.1 200 OK\r\n" + SIGNED
INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
BROKEN_RESPONSES = {
    "an interim head alone": "HTTP/1.1 100 Continue\r\n\r\n",
    "an interim head that names the request": f"HTTP/1.1 103 Early Hints\r\n{SIGNED}\r\n",
    "an interim head, then half a head": "HTTP/1.1 100 Continue\r\n\r\n" + HEAD,
    "early hints, then half a head": INTERIM + HEAD,
    "early hints, then half a status line": INTERIM + "HTTP/1.1 2",
    "an interim head, then a cut body": INTERIM + HEAD + "Content-Length: 10\r\n\r\n12345",
    "a status line": "HTTP/1.1 200 OK\r\n",
    "half a status line": "HTTP/1.1 20",
    "a head without its end": HEAD,
    "a head cut in a name": HEAD + "Content-Le",
    "a head cut in a length": HEAD + "Content-Length: 1",
    "a head cut in its last line end": HEAD + "Content-Length: 10\r\n\r",
    "a body cut short": HEAD + "Content-Length: 10\r\n\r\n12345",
    "a chunked body cut short": HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
    "a chunk cut short": HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\n12",
    "a last chunk cut short": HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n",
    "trailers cut short": HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\nX: a",
    "a change of protocol": "HTTP/1.1 101 Switching Protocols\r\n" + SIGNED + "\r\n",
}
COMPLETE_RESPONSES = {
    "no length, ended by the connection": (HEAD + "\r\ngood", b"good"),
    "no length and no body": (HEAD + "\r\n", b""),
    "after interim heads": (INTERIM + INTERIM + GOOD, b"good"),
    "no content": ("HTTP/1.1 204 No Content\r\n" + SIGNED + "\r\n", b""),
}


async def request_raw(text: str, chunk_size: int, method: str = "GET") -> tuple[int, bytes]:
    """Return the status and body that a caller gets if its server writes a text and closes.

    :param chunk_size: characters in each write.
    """

    async def script(connection: RawConnection, request_id: str) -> None:
        response = text.replace("{id}", request_id)
        for start in range(0, len(response), chunk_size):
            connection.write(response[start : start + chunk_size])
            await connection.writer.drain()
            await asyncio.sleep(0.0)
        connection.writer.close()

    async with raw_server(script) as raw:
        async with running(route=make_route(timeout_s=3.0, attempts=1)) as (world, _):
            world.steering_state.selector.put(make_server(0, address=raw.address), time.monotonic())
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                status, body, _ = await world.request(method=method)
            return status, body


class TestAnswerThatEndsInItsHead:
    """A server closes the connection within a response, which must not be passed on as complete."""

    @pytest.mark.parametrize("chunk_size", [1, 65_536])
    @pytest.mark.parametrize("text", BROKEN_RESPONSES.values(), ids=BROKEN_RESPONSES.keys())
    async def test_caller_gets_a_failure(self, text, chunk_size):
        try:
            status, _ = await request_raw(text, chunk_size)
        except (aiohttp.ClientError, TimeoutError) as error:
            status = 0
            print(f"no final response: {error!r}")
        assert status == 502

    @pytest.mark.parametrize("chunk_size", [1, 65_536])
    @pytest.mark.parametrize(
        ("text", "expected"), COMPLETE_RESPONSES.values(), ids=COMPLETE_RESPONSES.keys()
    )
    async def test_complete_response_is_passed_on(self, text, expected, chunk_size):
        status, body = await request_raw(text, chunk_size)
        assert status in (200, 204)
        assert body == expected

    @pytest.mark.parametrize("text", [HEAD + "\r\n", HEAD + "Content-Length: 10\r\n\r\n"])
    async def test_response_to_head_request_is_complete_with_its_head(self, text):
        assert (await request_raw(text, 1, "HEAD"))[0] == 200
