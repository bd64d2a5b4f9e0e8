from __future__ import annotations

import asyncio
import json
import typing as t

import pytest
from in_process import SECRET, WITH_KEY, Harness, problem_code, until
from multidict import CIMultiDict

from radishbridge.host.bodies import MAX_REPLAY_BYTES
from radishbridge.host.keys import key_digest
from radishbridge.host.paths import check_target
from radishbridge.records import Failure, Key, LimitSettings, ResultCode, Workspace

OTHER_SECRET = "another-secret"

# Targets that a backend server may resolve to another path than the one whose route is matched: a
# path that needs a key written below the prefix of an open route, or the reverse.
MALICIOUS_TARGETS = [
    "/catalogue/public/../devices/1",
    "/catalogue/public/%2e%2e/devices/1",
    "/catalogue/public/.%2E/devices/1",
    "/catalogue/public/..%2fdevices/1",
    "/catalogue/public/%252e%252e/devices/1",
    "/catalogue/public/%252e./devices/1",
    "/catalogue/public/..;/devices/1",
    "/catalogue/public/..;a=b/devices/1",
    "/catalogue/public/%2e%2e%3b/devices/1",
    "/catalogue/public/..\\devices/1",
    "/catalogue/public/..%5cdevices/1",
    "/catalogue/public/./../devices/1",
    "/catalogue/public//devices/1",
    "//catalogue/public/1",
    "/catalogue//public/1",
    "/catalogue/public/%00/1",
    "/catalogue/public/%ff",
    "/catalogue/public/%zz",
    "/catalogue/public/%2e%2e",
    "/catalogue/public/..",
    "/catalogue/devices/#/catalogue/public/",
    "http://other/catalogue/public/1",
    "*",
]


class TestTargets:
    @pytest.mark.parametrize("target", MALICIOUS_TARGETS)
    def test_malicious_target_is_refused(self, target: str) -> None:
        failure = check_target(target)
        assert isinstance(failure, Failure)
        assert failure.code is ResultCode.REQUEST_MALFORMED

    @pytest.mark.parametrize("target", [path for path in MALICIOUS_TARGETS if path.startswith("/")])
    async def test_malicious_target_reaches_no_backend_server(self, target: str) -> None:
        async with Harness() as host:
            server = await host.add_backend()
            reader, writer = await host.open_connection()
            writer.write(f"GET {target} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
            assert (await reader.readline()).startswith(b"HTTP/1.1 400 ")
            assert server.requests == 0
            writer.close()

    @pytest.mark.parametrize(
        ("target", "path"),
        [
            ("/", "/"),
            ("/a/b/", "/a/b/"),
            ("/a/b?x=/../y", "/a/b"),
            ("/a/%C3%BC%20", "/a/ü "),
            ("/a/..b/c..", "/a/..b/c.."),
            ("/a/1;v=2/.well-known", "/a/1;v=2/.well-known"),
            ("/a/100%25", "/a/100%"),
        ],
    )
    def test_valid_target_is_decoded(self, target: str, path: str) -> None:
        assert check_target(target) == path

    @pytest.mark.parametrize("path", ["/catalogue/publicity", "/catalogue/public;x", "/catalogue"])
    async def test_open_route_covers_whole_segments_only(self, path: str) -> None:
        async with Harness() as host:
            await host.add_backend()
            async with host.caller.get(host.url(path)) as response:
                assert response.status == 401

    async def test_target_is_forwarded_unchanged(self) -> None:
        async with Harness() as host:
            await host.add_backend()
            target = "/catalogue/public/%41%2C%20b?x=%2f&status=200&y='a'"
            reader, writer = await host.open_connection()
            writer.write(f"GET {target} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
            await reader.readuntil(b"\r\n\r\n")
            assert f'"path":"{target}"'.encode() in await reader.read(1_000)
            writer.close()


async def _request(
    host: Harness, headers: t.Iterable[tuple[str, str]], path: str = "/catalogue/devices/1"
) -> tuple[int, t.Any]:
    async with host.caller.get(host.url(path), headers=CIMultiDict(headers)) as response:
        return response.status, json.loads(await response.read())


class TestKeys:
    @pytest.mark.parametrize("path", ["/catalogue/devices/1", "/catalogue/public/1"])
    @pytest.mark.parametrize(
        "headers",
        [
            [("Authorization", f"Bearer {SECRET}")],
            [("authorization", f"bEARER  {SECRET} ")],
            [("X-Api-Key", SECRET)],
            [("x-api-key", SECRET), ("Authorization", f"Bearer {SECRET}")],
            [("X-Api-Key", SECRET), ("X-Api-Key", SECRET)],
            [("X-Api-Key", SECRET), ("Authorization", "Basic dTpw")],
            [("X-Api-Key", SECRET), ("Connection", "x-api-key")],
        ],
    )
    async def test_is_read_and_removed_from_every_header(
        self, headers: list[tuple[str, str]], path: str
    ) -> None:
        async with Harness() as host:
            await host.add_backend()
            status, echo = await _request(host, headers, path)
            assert status == 200
            assert SECRET not in json.dumps(echo)
            assert not {"authorization", "x-api-key"} & {name.lower() for name in echo["headers"]}

    @pytest.mark.parametrize(
        "headers",
        [
            [("X-Api-Key", SECRET), ("X-Api-Key", OTHER_SECRET)],
            [("X-Api-Key", OTHER_SECRET), ("Authorization", f"Bearer {SECRET}")],
            [("Authorization", f"Bearer {SECRET}"), ("Authorization", f"Bearer {OTHER_SECRET}")],
        ],
    )
    async def test_two_different_keys_are_refused(self, headers: list[tuple[str, str]]) -> None:
        async with Harness() as host:
            server = await host.add_backend()
            status, problem = await _request(host, headers)
            assert (status, problem["code"]) == (400, ResultCode.REQUEST_MALFORMED)
            assert server.requests == 0

    async def test_is_checked_for_each_request_of_a_connection(self) -> None:
        async with Harness() as host:
            await host.add_backend()
            assert (await host.get("/catalogue/devices/1"))[0] == 200
            key = host.replica.body("key", "school-17-a")
            assert isinstance(key, Key)
            key.withdrawn = True
            host.put_record("key", "school-17-a", key)
            status, body = await host.get("/catalogue/devices/1")
            assert (status, problem_code(body)) == (401, ResultCode.KEY_WITHDRAWN)
            assert host.server.open_connections == 1

    async def test_withdrawal_applies_if_another_record_has_the_same_digest(self) -> None:
        async with Harness() as host:
            await host.add_backend()
            key = host.replica.body("key", "school-17-a")
            assert isinstance(key, Key)
            withdrawn = Key(workspace="school-17", digest=key.digest, withdrawn=True)
            host.put_record("key", "school-17-b", withdrawn)
            assert (await host.get("/catalogue/devices/1"))[0] == 401

    async def test_request_with_a_key_is_refused_without_fresh_keys(self) -> None:
        async with Harness() as host:
            await host.add_backend()
            host.checker.freshness.bound_s = -1.0  # type: ignore[attr-defined]
            status, body = await host.get("/catalogue/devices/1")
            assert (status, problem_code(body)) == (503, ResultCode.KEYS_STALE)
            assert (await host.get("/catalogue/public/1"))[0] == 200


class TestHeaders:
    async def test_hop_by_hop_headers_are_dropped_and_others_forwarded(self) -> None:
        async with Harness() as host:
            await host.add_backend()
            sent = [
                *WITH_KEY.items(),
                ("Connection", "keep-alive, X-Local"),
                ("X-Local", "1"),
                ("TE", "trailers"),
                ("Proxy-Authorization", "Basic dTpw"),
                ("traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"),
                ("Idempotency-Key", "abc"),
                ("X-Forwarded-For", "192.0.2.1"),
                ("X-Forwarded-Host", "spoofed"),
            ]
            _, echo = await _request(host, sent)
            forwarded = CIMultiDict(echo["headers"])
            assert not {"X-Local", "TE", "Proxy-Authorization", "User-Agent-Added"} & set(forwarded)
            assert forwarded["traceparent"].startswith("00-0af7")
            assert forwarded["Idempotency-Key"] == "abc"
            assert forwarded["X-Forwarded-For"] == "192.0.2.1, 127.0.0.1"
            assert forwarded["X-Forwarded-Host"] == host.address
            assert forwarded["Host"] == host.backends[0].address

    async def test_only_the_forwarding_headers_are_added(self) -> None:
        async with Harness() as host:
            await host.add_backend()
            reader, writer = await host.open_connection()
            writer.write(b"GET /catalogue/public/1 HTTP/1.1\r\nHost: h\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            forwarded = json.loads(await reader.read(1_000))["headers"]
            assert set(forwarded) == {
                "Host",
                "X-Forwarded-For",
                "X-Forwarded-Host",
                "X-Forwarded-Proto",
                "X-Request-Deadline-Ms",
            }
            writer.close()


class TestLimits:
    async def test_headers_over_the_limit(self) -> None:
        async with Harness(LimitSettings(header_bytes=2_000)) as host:
            await host.add_backend()
            for name, size in (("X-A", 3_000), ("X-B", 1_500)):
                headers = [*WITH_KEY.items(), (name, "a" * size), ("X-C", "c" * 600)]
                status, problem = await _request(host, headers)
                assert (status, problem["code"]) == (413, ResultCode.REQUEST_TOO_LARGE)

    async def test_announced_body_over_the_limit(self) -> None:
        async with Harness(LimitSettings(body_bytes=1_000)) as host:
            server = await host.add_backend()
            async with host.caller.post(
                host.url(), headers=WITH_KEY, data=bytes(1_001)
            ) as response:
                assert problem_code(await response.read()) == ResultCode.REQUEST_TOO_LARGE
            assert server.requests == 0

    async def test_body_that_grows_over_the_limit(self) -> None:
        async def chunks() -> t.AsyncIterator[bytes]:
            for _ in range(20):
                yield bytes(10_000)

        async with Harness(LimitSettings(body_bytes=100_000)) as host:
            server = await host.add_backend()
            async with host.caller.post(host.url(), headers=WITH_KEY, data=chunks()) as response:
                # 408 would say that the request, of which a server has a part, never runs.
                assert response.status == 502
                assert problem_code(await response.read()) == ResultCode.REQUEST_CUT_OFF
            await until(lambda: server.in_flight == 0)

    async def test_connection_that_never_completes_the_headers(self) -> None:
        async with Harness(LimitSettings(idle_s=0.3)) as host:
            reader, writer = await host.open_connection()
            writer.write(b"GET /catalogue/public/1 HTTP/1.1\r\n")

            async def send_slowly() -> None:
                while True:
                    writer.write(b"X-A: 1\r\n")
                    await asyncio.sleep(0.02)

            sending = asyncio.create_task(send_slowly())
            async with asyncio.timeout(5.0):
                assert await reader.read(-1) == b""
            sending.cancel()
            await until(lambda: host.server.open_connections == 0)

    @pytest.mark.parametrize(
        ("length", "status", "code"),
        [
            (100, 408, ResultCode.REQUEST_INCOMPLETE),
            # Streamed, so that a server has a part of it and may act on that.
            (MAX_REPLAY_BYTES + 1, 502, ResultCode.REQUEST_CUT_OFF),
        ],
    )
    async def test_body_that_stalls(self, length: int, status: int, code: ResultCode) -> None:
        async with Harness(LimitSettings(idle_s=0.2)) as host:
            server = await host.add_backend()
            reader, writer = await host.open_connection()
            head = f"POST /catalogue/public/1 HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n"
            writer.write(f"{head}\r\nabc".encode())
            response_head, _, problem = (await reader.read()).partition(b"\r\n\r\n")
            assert response_head.startswith(b"HTTP/1.1 %d " % status)
            assert b"Connection: close" in response_head
            assert problem_code(problem) == code
            await until(lambda: server.in_flight == 0)
            assert server.requests == 0 or status == 502
            writer.close()

    async def test_connections_of_a_workspace_are_limited(self) -> None:
        async with Harness() as host:
            await host.add_backend()
            host.put_record("workspace", "school-17", Workspace(connections_per_host=2))
            request = b"GET /catalogue/devices/1 HTTP/1.1\r\nHost: h\r\nX-Api-Key: "
            request += SECRET.encode() + b"\r\n\r\n"
            streams = [await host.open_connection() for _ in range(3)]
            lines = []
            for reader, writer in streams:
                writer.write(request)
                lines.append(await reader.readline())
            assert [line.split()[1] for line in lines] == [b"200", b"200", b"429"]
            assert host.server.connections_by_workspace == {"school-17": 2}
            for _, writer in streams:
                writer.close()
            await until(lambda: host.server.connections_by_workspace == {})

    async def test_connection_counts_for_the_workspace_of_its_last_key(self) -> None:
        async with Harness() as host:
            await host.add_backend()
            host.put_record("workspace", "other", Workspace())
            host.put_record("key", "other", Key(workspace="other", digest=key_digest(OTHER_SECRET)))
            for secret, workspace in ((SECRET, "school-17"), (OTHER_SECRET, "other")):
                assert (await _request(host, [("X-Api-Key", secret)]))[0] == 200
                assert host.server.connections_by_workspace == {workspace: 1}


class TestMalformedRequest:
    async def test_is_quoted_neither_in_the_log_nor_in_the_response(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        async with Harness() as host:
            reader, writer = await host.open_connection()
            head = f"GET / HTTP/1.1\r\nHost: h\r\nX-Api-Key : {SECRET}\x01\r\n\r\n"
            writer.write(head.encode())
            response = await reader.read(-1)
            assert b" 400 " in response.splitlines()[0]
            assert SECRET.encode() not in response
            assert SECRET not in caplog.text
            writer.close()
