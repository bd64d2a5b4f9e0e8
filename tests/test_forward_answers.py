from __future__ import annotations

import asyncio
import json
import random

import aiohttp
import pytest
from in_process import WITH_KEY, Harness, problem_code, until

from radishbridge.records import ResultCode

IMAGE_BYTES = 3_000_000


class TestResponses:
    async def test_large_bodies_are_relayed_completely(self) -> None:
        async with Harness() as host:
            await host.add_backend()
            path = f"/catalogue/images/1?answer_bytes={IMAGE_BYTES}"
            status, body = await host.get(path)
            assert (status, len(body)) == (200, IMAGE_BYTES)
            body = bytes(IMAGE_BYTES)
            async with host.caller.post(host.url(), headers=WITH_KEY, data=body) as response:
                assert (await response.json())["body_bytes"] == IMAGE_BYTES

    async def test_body_without_a_length_is_relayed_completely(self) -> None:
        async def chunks() -> object:
            for _ in range(5):
                yield bytes(100_000)

        async with Harness() as host:
            await host.add_backend()
            async with host.caller.put(host.url(), headers=WITH_KEY, data=chunks()) as response:
                assert (await response.json())["body_bytes"] == 500_000

    async def test_concurrent_requests_get_their_own_responses(self) -> None:
        rng = random.Random(3)

        async def request_device(host: Harness, number: int) -> None:
            path = f"/catalogue/devices/{number}?delay_ms={rng.randrange(30)}"
            status, body = await host.get(path)
            assert status == 200
            assert json.loads(body)["path"] == path

        async with Harness() as host:
            for _ in range(3):
                await host.add_backend(slots=100)
            host.backends = [_with_slots(backend) for backend in host.backends]
            host.put_service()
            await asyncio.gather(*(request_device(host, number) for number in range(200)))

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        async with Harness() as host:
            await host.add_backend()
            reader, writer = await host.open_connection()
            for number, delay_ms in enumerate((40, 0, 10)):
                target = f"/catalogue/public/{number}?delay_ms={delay_ms}"
                writer.write(f"GET {target} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
            for number in range(3):
                body = await _read_response_body(reader)
                assert json.loads(body)["path"].startswith(f"/catalogue/public/{number}?")
            writer.close()

    @pytest.mark.parametrize("chunked", ["0", "1"])
    @pytest.mark.parametrize("size", [1_000, IMAGE_BYTES])
    async def test_response_truncated_by_the_backend_server_is_an_error(
        self, size: int, chunked: str
    ) -> None:
        async with Harness() as host:
            await host.add_backend()
            path = f"/catalogue/once/1?answer_bytes={size}&cut_at={size - 10}&chunked={chunked}"
            try:
                status, body = await host.get(path)
            except aiohttp.ClientError:
                return
            assert (status, problem_code(body)) == (502, ResultCode.BACKEND_FAILED)

    async def test_truncated_response_resets_the_connection_of_an_http_1_0_caller(self) -> None:
        async with Harness() as host:
            await host.add_backend()
            reader, writer = await host.open_connection()
            target = f"/catalogue/public/1?answer_bytes={IMAGE_BYTES}&cut_at=200000&chunked=1"
            writer.write(f"GET {target} HTTP/1.0\r\n\r\n".encode())
            with pytest.raises(ConnectionResetError):
                await reader.read(-1)
            writer.close()

    async def test_connection_is_reused_after_a_refused_request(self) -> None:
        async with Harness() as host:
            await host.add_backend()
            connector = aiohttp.TCPConnector(limit=1)
            async with aiohttp.ClientSession(connector=connector) as caller:
                for path, status in (("/nothing", 404), ("/catalogue/public/1", 200)):
                    async with caller.get(host.url(path)) as response:
                        assert response.status == status
                assert host.server.requests_count == 2
                assert host.server.open_connections == 1


class TestMessageForms:
    async def test_response_to_head_has_a_length_and_no_body(self) -> None:
        async with Harness() as host:
            await host.add_backend()
            path = "/catalogue/images/1?answer_bytes=70000"
            async with host.caller.head(host.url(path), headers=WITH_KEY) as response:
                assert response.headers["Content-Length"] == "70000"
                assert await response.read() == b""
            assert (await host.get("/catalogue/devices/1"))[0] == 200

    @pytest.mark.parametrize("status", [204, 304])
    async def test_status_without_a_body(self, status: int) -> None:
        async with Harness() as host:
            await host.add_backend()
            result = await host.get(f"/catalogue/devices/1?status={status}")
            assert result == (status, b"")
            assert (await host.get("/catalogue/devices/1"))[0] == 200

    async def test_redirect_and_encoded_body_are_relayed_unchanged(self) -> None:
        async with Harness() as host:
            await host.add_backend()
            headers = WITH_KEY | {"Content-Encoding": "gzip", "Content-Type": "x/y"}
            url = host.url("/catalogue/devices/1?status=302")
            async with host.caller.post(
                url, headers=headers, data=b"not gzip at all", allow_redirects=False
            ) as response:
                assert response.status == 302
                assert (await response.json())["body_bytes"] == 15

    async def test_100_continue_is_sent_before_the_body_arrives(self) -> None:
        async with Harness() as host:
            await host.add_backend()
            reader, writer = await host.open_connection()
            head = "POST /catalogue/public/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            writer.write(f"{head}Expect: 100-continue\r\n\r\n".encode())
            assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            writer.write(b"abc")
            assert json.loads(await _read_response_body(reader))["body_bytes"] == 3
            writer.close()

    async def test_refused_request_gets_no_100_continue(self) -> None:
        async with Harness() as host:
            await host.add_backend()
            reader, writer = await host.open_connection()
            head = "POST /catalogue/devices HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            writer.write(f"{head}Expect: 100-continue\r\n\r\n".encode())
            assert (await reader.readline()).startswith(b"HTTP/1.1 401 ")
            writer.close()


class TestCallerDisconnects:
    async def test_attempt_is_cancelled_and_its_connection_not_reused(self) -> None:
        async with Harness() as host:
            server = await host.add_backend()
            _, writer = await host.open_connection()
            writer.write(b"GET /catalogue/public/1?delay_ms=60000 HTTP/1.1\r\nHost: h\r\n\r\n")
            await until(lambda: server.in_flight == 1)
            writer.close()
            await until(lambda: server.cancelled == 1)
            await until(lambda: host.forwarder.in_flight == 0)
            assert (await host.get("/catalogue/devices/1"))[0] == 200
            assert server.caller_addresses[0] != server.caller_addresses[1]
            assert host.router.pools["catalogue"].servers["cat-1"].in_flight == 0

    async def test_while_receiving_a_large_response(self) -> None:
        async with Harness() as host:
            server = await host.add_backend()
            reader, writer = await host.open_connection()
            target = "/catalogue/public/1?answer_bytes=1000000000"
            writer.write(f"GET {target} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
            await reader.readexactly(100_000)
            writer.transport.abort()
            await until(lambda: server.in_flight == 0)
            await until(lambda: host.forwarder.in_flight == 0)

    async def test_while_sending_the_body(self) -> None:
        async with Harness() as host:
            server = await host.add_backend()
            _, writer = await host.open_connection()
            head = "POST /catalogue/public/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"
            writer.write(head.encode() + bytes(1_000))
            await until(lambda: server.in_flight == 1)
            writer.transport.abort()
            await until(lambda: server.in_flight == 0)
            await until(lambda: host.forwarder.in_flight == 0)


def _with_slots(backend: object) -> object:
    backend.slots = 100  # type: ignore[attr-defined]
    return backend


async def _read_response_body(reader: asyncio.StreamReader) -> bytes:
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    length = next(line for line in head.split("\r\n") if line.startswith("content-length:"))
    return await reader.readexactly(int(length.partition(":")[2]))
