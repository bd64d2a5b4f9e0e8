"""Answers of backend servers that the host with records of its own must not believe."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
from in_process import WITH_KEY, Harness
from raw_server import RawConnection, raw_server

REFUSAL = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
GOOD = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
ONCE = "/catalogue/once/1"
HEAD = "HTTP/1.1 200 OK\r\nX-Note: a\r\n"
INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
BROKEN_ANSWERS = {
    "an interim head alone": "HTTP/1.1 100 Continue\r\n\r\n",
    "an interim head, then half a head": INTERIM + HEAD,
    "half a status line": "HTTP/1.1 20",
    "a status line": "HTTP/1.1 200 OK\r\n",
    "a head without its end": HEAD,
    "a head cut in a length": HEAD + "Content-Length: 1",
    "a head cut in its last line end": HEAD + "Content-Length: 10\r\n\r",
    "a body cut short": HEAD + "Content-Length: 10\r\n\r\n12345",
    "a chunked body cut short": HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
    "trailers cut short": HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\nX: a",
}


async def post(host: Harness) -> int:
    async with asyncio.timeout(5.0):
        async with host.caller.post(host.url(ONCE), headers=WITH_KEY, data=b"x") as answer:
            await answer.read()
            return answer.status


class TestRefusalOfAnEarlierRequest:
    """A server writes a refusal once more on a kept connection, while the next request runs."""

    @pytest.mark.parametrize("again_s", [0.0, 0.05, 0.2])
    async def test_the_next_request_is_not_taken_for_refused(self, again_s):
        ran: list[int] = []

        async def script(connection: RawConnection, request_id: str) -> None:
            first = not ran
            ran.append(connection.requests)
            if first:
                connection.write(REFUSAL)
                await asyncio.sleep(again_s)
                connection.write(REFUSAL)
                return
            await asyncio.sleep(0.3)
            connection.write(GOOD)

        async with raw_server(script) as raw, Harness() as host:
            host.add_address("raw", raw.address)
            assert await post(host) == 503
            await asyncio.sleep(0.1)
            assert await post(host) == 200
        assert len(ran) == 2


class TestSecondAnswerOnAnIdleConnection:
    async def test_the_next_request_gets_its_own(self):
        async def script(connection: RawConnection, request_id: str) -> None:
            if connection.requests == 1:
                connection.write(GOOD)
                await asyncio.sleep(0.05)
                connection.write(GOOD.replace("200 OK", "201 Created"))
                return
            connection.write(GOOD)

        async with raw_server(script) as raw, Harness() as host:
            host.add_address("raw", raw.address)
            assert await post(host) == 200
            await asyncio.sleep(0.15)
            assert await post(host) == 200


class TestAnswerThatEndsInItsHead:
    @pytest.mark.parametrize("piece", [1, 65_536])
    @pytest.mark.parametrize("text", BROKEN_ANSWERS.values(), ids=BROKEN_ANSWERS.keys())
    async def test_the_caller_is_told_of_a_failure(self, text, piece):
        async def script(connection: RawConnection, request_id: str) -> None:
            for start in range(0, len(text), piece):
                connection.write(text[start : start + piece])
                await connection.writer.drain()
                await asyncio.sleep(0.0)
            connection.writer.close()

        async with raw_server(script) as raw, Harness() as host:
            host.add_address("raw", raw.address)
            try:
                status = await post(host)
            except aiohttp.ClientError:
                status = 0
        # A chunked answer has begun by its break, and is cut.
        cut = "chunked" in text
        assert status in ((0, 502) if cut else (502,))
