"""Responses of backend servers that a host must not take for valid responses."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
from in_process import WITH_KEY, Harness
from raw_server import RawConnection, raw_server

NOT_RUN = "X-Not-Run: 1\r\n"
REFUSAL = f"HTTP/1.1 503 Busy\r\n{NOT_RUN}Content-Length: 0\r\n\r\n"
GOOD = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
ONCE = "/catalogue/once/1"
HEAD = "HTTP/1.1 200 OK\r\nX-Note: a\r\n"
INTERIM_RESPONSE = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
TRUNCATED_RESPONSES = {
    "an interim response only": "HTTP/1.1 100 Continue\r\n\r\n",
    "an interim response, then incomplete headers": INTERIM_RESPONSE + HEAD,
    "half a status line": "HTTP/1.1 20",
    "a status line only": "HTTP/1.1 200 OK\r\n",
    "headers without the empty line": HEAD,
    "headers truncated in the content length": HEAD + "Content-Length: 1",
    "headers truncated in the last line end": HEAD + "Content-Length: 10\r\n\r",
    "a truncated body": HEAD + "Content-Length: 10\r\n\r\n12345",
    "a truncated chunked body": HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
    "truncated trailers": HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\nX: a",
}


async def post(host: Harness) -> int:
    async with asyncio.timeout(5.0):
        async with host.caller.post(host.url(ONCE), headers=WITH_KEY, data=b"x") as response:
            await response.read()
            return response.status


class TestStatusWithoutAStatement:
    """The status, or a contradiction, is taken for a statement that the request did not run.

    It would be sent to another server, and its caller would get a code that says "not run".
    """

    @pytest.mark.parametrize(
        ("status", "headers"),
        [(408, ""), (421, ""), (429, ""), (503, ""), (503, NOT_RUN + NOT_RUN.replace("1", "0"))],
    )
    async def test_the_servers_answer_is_passed_on(self, status, headers):
        requests: list[int] = []

        async def script(connection: RawConnection, request_id: str) -> None:
            requests.append(connection.requests)
            connection.write(f"HTTP/1.1 {status} Own\r\n{headers}Content-Length: 3\r\n\r\nown")

        async with raw_server(script) as one, raw_server(script) as other, Harness() as host:
            host.add_address("one", one.address)
            host.add_address("other", other.address)
            async with host.caller.post(host.url(ONCE), headers=WITH_KEY, data=b"x") as response:
                assert (response.status, await response.read()) == (status, b"own")
        assert requests == [1]


class TestRefusalOfAnEarlierRequest:
    """A server sends a refusal twice, so that the copy arrives while the next request runs."""

    @pytest.mark.parametrize("resend_delay_s", [0.0, 0.05, 0.2])
    async def test_the_next_request_does_not_count_as_refused(self, resend_delay_s):
        request_counts: list[int] = []

        async def script(connection: RawConnection, request_id: str) -> None:
            is_first = not request_counts
            request_counts.append(connection.requests)
            if is_first:
                connection.write(REFUSAL)
                await asyncio.sleep(resend_delay_s)
                connection.write(REFUSAL)
                return
            await asyncio.sleep(0.3)
            connection.write(GOOD)

        async with raw_server(script) as raw, Harness() as host:
            host.add_address("raw", raw.address)
            assert await post(host) == 503
            await asyncio.sleep(0.1)
            assert await post(host) == 200
        assert len(request_counts) == 2


class TestSecondResponseOnAnIdleConnection:
    async def test_the_next_request_gets_its_own_response(self):
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


class TestTruncatedResponse:
    @pytest.mark.parametrize("chunk_bytes", [1, 65_536])
    @pytest.mark.parametrize("text", TRUNCATED_RESPONSES.values(), ids=TRUNCATED_RESPONSES.keys())
    async def test_the_caller_gets_an_error(self, text, chunk_bytes):
        async def script(connection: RawConnection, request_id: str) -> None:
            for start in range(0, len(text), chunk_bytes):
                connection.write(text[start : start + chunk_bytes])
                await connection.writer.drain()
                await asyncio.sleep(0.0)
            connection.writer.close()

        async with raw_server(script) as raw, Harness() as host:
            host.add_address("raw", raw.address)
            try:
                status = await post(host)
            except aiohttp.ClientError:
                status = 0
        # The host may have sent a part of a chunked response before it breaks off.
        may_have_started = "chunked" in text
        assert status in ((0, 502) if may_have_started else (502,))
