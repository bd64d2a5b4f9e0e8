from __future__ import annotations

import asyncio
import json
import socket
import typing as t

import pytest
from in_process import LOOPBACK, WITH_KEY, Harness, until

from radishbridge.host.deadline import DEADLINE_HEADER, Deadline, read_deadline
from radishbridge.records import Failure, ResultCode
from radishbridge.routing.retry import RETRY_BURST


def _closed_address() -> str:
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return f"{LOOPBACK}:{probe.getsockname()[1]}"


async def _request(
    host: Harness, path: str, method: str = "GET", **options: t.Any
) -> tuple[int, t.Any]:
    headers = WITH_KEY | options.pop("headers", {})
    async with host.caller.request(method, host.url(path), headers=headers, **options) as response:
        return response.status, json.loads(await response.read())


class TestDeadline:
    @pytest.mark.parametrize(
        ("value", "end", "by_caller"), [("500", 100.5, True), ("99999", 130.0, False)]
    )
    def test_deadline_of_the_caller_is_limited_by_the_service(
        self, value: str, end: float, by_caller: bool
    ) -> None:
        deadline = read_deadline({DEADLINE_HEADER: value}, 30.0, 100.0)
        assert isinstance(deadline, Deadline)
        assert (deadline.at, deadline.by_caller) == (end, by_caller)

    @pytest.mark.parametrize("value", ["", "-1", "1.5", "1e3", "soon", "٣", "9" * 10])
    def test_malformed(self, value: str) -> None:
        failure = read_deadline({DEADLINE_HEADER: value}, 30.0, 100.0)
        assert isinstance(failure, Failure)
        assert failure.code is ResultCode.REQUEST_MALFORMED

    async def test_remaining_time_is_forwarded(self) -> None:
        async with Harness() as host:
            await host.add_backend()
            _, echo = await _request(host, "/catalogue/a", headers={DEADLINE_HEADER: "5000"})
            assert 0 < int(echo["headers"][DEADLINE_HEADER]) <= 5_000
            _, echo = await _request(host, "/catalogue/a")
            assert 5_000 < int(echo["headers"][DEADLINE_HEADER]) <= 30_000

    async def test_expires_before_the_request_is_sent(self) -> None:
        async with Harness() as host:
            server = await host.add_backend()
            status, problem = await _request(host, "/catalogue/a", headers={DEADLINE_HEADER: "0"})
            assert (status, problem["code"]) == (504, ResultCode.DEADLINE_BEFORE_SENT)
            assert problem["execution"] == "not run"
            assert server.requests == 0

    async def test_expires_while_the_backend_server_runs_the_request(self) -> None:
        async with Harness() as host:
            server = await host.add_backend()
            path = "/catalogue/a?delay_ms=60000"
            status, problem = await _request(host, path, headers={DEADLINE_HEADER: "100"})
            assert (status, problem["code"]) == (504, ResultCode.DEADLINE_EXCEEDED)
            assert problem["execution"] == "may have run"
            await until(lambda: server.cancelled == 1)
            assert (await _request(host, "/catalogue/a"))[0] == 200
            assert server.caller_addresses[0] != server.caller_addresses[1]

    async def test_expires_while_the_response_is_sent(self) -> None:
        async with Harness() as host:
            await host.add_backend()
            headers = WITH_KEY | {DEADLINE_HEADER: "300"}
            url = host.url("/catalogue/a?answer_bytes=1000000000")
            reader, writer = await host.open_connection()
            head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            target = url.partition(host.address)[2]
            writer.write(f"GET {target} HTTP/1.1\r\nHost: h\r\n{head}\r\n".encode())
            await reader.readexactly(1_000)
            await asyncio.sleep(0.5)
            with pytest.raises(ConnectionResetError):
                await reader.read(-1)
            assert host.forwarder.in_flight == 0


class TestRefusedConnection:
    @pytest.mark.parametrize("path", ["/catalogue/a", "/catalogue/once/a"])
    async def test_is_retried_at_another_backend_server(self, path: str) -> None:
        async with Harness() as host:
            await host.add_backend()
            host.add_address("gone", _closed_address())
            for _ in range(20):
                assert (await _request(host, path, "POST", data=b"abc"))[0] == 200

    async def test_is_reported_as_not_run(self) -> None:
        async with Harness() as host:
            host.add_address("gone", _closed_address())
            status, problem = await _request(host, "/catalogue/once/a", "POST")
            assert (status, problem["code"]) == (503, ResultCode.BACKEND_REFUSED)
            assert problem["execution"] == "not run"

    async def test_large_body_is_sent_to_the_next_backend_server(self) -> None:
        async with Harness() as host:
            await host.add_backend()
            host.add_address("gone", _closed_address())
            body = bytes(200_000)
            for _ in range(10):
                _, echo = await _request(host, "/catalogue/once/a", "PUT", data=body)
                assert echo["body_bytes"] == len(body)


class TestShedRequest:
    async def test_is_retried_even_if_the_route_is_not_repeatable(self) -> None:
        async with Harness() as host:
            full = await host.add_backend(slots=0)
            server = await host.add_backend()
            for _ in range(10):
                assert (await _request(host, "/catalogue/once/a", "POST", data=b"a"))[0] == 200
            assert (full.requests, server.requests) == (0, 10)

    async def test_is_reported_as_not_run(self) -> None:
        async with Harness() as host:
            await host.add_backend(slots=0)
            status, problem = await _request(host, "/catalogue/once/a", "POST")
            assert (status, problem["code"]) == (503, ResultCode.BACKEND_REFUSED)
            assert problem["execution"] == "not run"

    async def test_status_503_alone_does_not_count_as_shed(self) -> None:
        async with Harness() as host:
            first, second = [await host.add_backend() for _ in range(2)]
            status, _ = await _request(host, "/catalogue/once/a?status=503", "POST")
            assert status == 503
            assert first.requests + second.requests == 1


class TestBrokenConnection:
    @pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
    async def test_request_that_must_run_once_is_never_retried(self, method: str) -> None:
        async with Harness() as host:
            servers = [await host.add_backend() for _ in range(3)]
            # Opens connections first: a client session retries by itself on reused connections.
            for _ in range(6):
                assert (await _request(host, "/catalogue/a"))[0] == 200
            before = sum(server.requests for server in servers)
            status, problem = await _request(host, "/catalogue/once/a?cut_at=0", method)
            assert (status, problem["code"]) == (502, ResultCode.BACKEND_FAILED)
            assert problem["execution"] == "may have run"
            assert sum(server.requests for server in servers) == before + 1

    async def test_repeatable_request_tries_each_backend_server_once(self) -> None:
        async with Harness() as host:
            servers = [await host.add_backend() for _ in range(3)]
            status, problem = await _request(host, "/catalogue/a?cut_at=0")
            assert (status, problem["code"]) == (502, ResultCode.BACKEND_FAILED)
            assert [server.requests for server in servers] == [1, 1, 1]

    async def test_refused_retry_is_not_reported_as_not_run(self) -> None:
        async with Harness() as host:
            await host.add_backend()
            host.add_address("gone", _closed_address())
            for _ in range(10):
                _, problem = await _request(host, "/catalogue/a?cut_at=0")
                assert problem["execution"] == "may have run"

    async def test_truncated_small_response_is_retried(self) -> None:
        async with Harness() as host:
            servers = [await host.add_backend() for _ in range(2)]
            await _request(host, "/catalogue/a?answer_bytes=1000&cut_at=500")
            assert [server.requests for server in servers] == [1, 1]

    async def test_truncated_large_response_is_not_retried(self) -> None:
        async with Harness() as host:
            servers = [await host.add_backend() for _ in range(2)]
            with pytest.raises(Exception, match=r"."):
                await host.get("/catalogue/a?answer_bytes=1000000&cut_at=500000")
            assert sum(server.requests for server in servers) == 1

    async def test_request_with_a_streamed_body_is_not_retried(self) -> None:
        async with Harness() as host:
            servers = [await host.add_backend() for _ in range(2)]
            body = bytes(200_000)
            status, _ = await _request(host, "/catalogue/a?cut_at=0", "PUT", data=body)
            assert status == 502
            assert sum(server.requests for server in servers) == 1


class TestRetryBudget:
    async def test_limits_the_attempts_while_all_requests_fail(self) -> None:
        async with Harness() as host:
            servers = [await host.add_backend() for _ in range(2)]
            requests = 50
            for _ in range(requests):
                await _request(host, "/catalogue/a?cut_at=0")
            attempts = sum(server.requests for server in servers)
            assert attempts <= requests + RETRY_BURST + 0.2 * requests
            assert host.forwarder.retry_limiter.denied > 0
