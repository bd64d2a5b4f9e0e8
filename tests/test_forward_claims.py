from __future__ import annotations

import asyncio
import json
import random
import socket
import typing as t

import pytest
from in_process import LOOPBACK, WITH_KEY, Harness, until

from radishbridge.claims import CLAIM_KIND, ClaimRegistry, ClaimState, claim_name, decode_claim
from radishbridge.host.claims import ClaimGuard
from radishbridge.records import ResultCode
from radishbridge.store import ResolvedWriter
from radishbridge_standin.fake import FakeStore
from radishbridge_standin.table import ObjectTable

IDEMPOTENCY_HEADERS = {"Idempotency-Key": "deposit-1"}


class ClaimingHarness(Harness):
    """A host that claims idempotency keys in a fake store."""

    async def __aenter__(self) -> ClaimingHarness:
        await super().__aenter__()
        self.store = FakeStore(ObjectTable())
        writer = ResolvedWriter(self.store, random.Random(1))
        self.forwarder.claims = ClaimGuard(ClaimRegistry(self.store, writer, "host-1", 1))
        return self

    async def post(
        self, path: str = "/catalogue/once/a", headers: t.Mapping[str, str] = IDEMPOTENCY_HEADERS
    ) -> tuple[int, int]:
        """Send a request that must run once; return its status and result code, 0 for success."""
        all_headers = WITH_KEY | dict(headers)
        async with self.caller.post(self.url(path), headers=all_headers, data=b"a") as response:
            body = json.loads(await response.read() or b"{}")
        assert self.forwarder.claims is not None
        await self.forwarder.claims.wait_recorded()
        return response.status, body.get("code", 0)

    async def claim_state(self) -> ClaimState:
        stored = await self.store.get(CLAIM_KIND, claim_name("school-17", "deposit-1"))
        value = decode_claim(t.cast(t.Any, stored))
        return t.cast(t.Any, value).state


class TestClaims:
    async def test_repetition_of_an_answered_request_is_refused(self) -> None:
        async with ClaimingHarness() as host:
            server = await host.add_backend()
            assert await host.post() == (200, 0)
            assert (await host.post())[1] == ResultCode.ALREADY_RUN
            assert server.requests == 1
            assert await host.claim_state() is ClaimState.COMPLETED

    async def test_concurrent_requests_run_once(self) -> None:
        async with ClaimingHarness() as host:
            server = await host.add_backend()
            results = await asyncio.gather(*(host.post() for _ in range(5)))
            assert [code for _, code in results].count(0) == 1
            assert server.requests == 1

    async def test_request_that_did_not_run_may_be_sent_again(self) -> None:
        async with ClaimingHarness() as host:
            with socket.socket() as probe:
                probe.bind((LOOPBACK, 0))
                host.add_address("gone", f"{LOOPBACK}:{probe.getsockname()[1]}")
                assert (await host.post())[1] == ResultCode.BACKEND_REFUSED
            assert await host.claim_state() is ClaimState.RELEASED
            host.backends.clear()
            await host.add_backend()
            assert await host.post() == (200, 0)

    async def test_request_that_may_have_run_stays_claimed(self) -> None:
        async with ClaimingHarness() as host:
            server = await host.add_backend()
            assert (await host.post("/catalogue/once/a?cut_at=0"))[1] == ResultCode.BACKEND_FAILED
            assert (await host.post())[1] == ResultCode.DUPLICATE_REQUEST
            assert server.requests == 1

    async def test_request_whose_caller_disconnected_stays_claimed(self) -> None:
        async with ClaimingHarness() as host:
            server = await host.add_backend()
            sending = asyncio.create_task(host.post("/catalogue/once/a?delay_ms=60000"))
            await until(lambda: server.in_flight == 1)
            sending.cancel()
            await until(lambda: host.forwarder.in_flight == 0)
            assert (await host.post())[1] == ResultCode.DUPLICATE_REQUEST
            assert server.requests == 1

    @pytest.mark.parametrize(
        ("path", "headers"),
        [("/catalogue/once/a", {}), ("/catalogue/devices/1", IDEMPOTENCY_HEADERS)],
    )
    async def test_nothing_is_claimed_without_a_key_or_on_a_repeatable_route(
        self, path: str, headers: dict[str, str]
    ) -> None:
        async with ClaimingHarness() as host:
            server = await host.add_backend()
            assert [await host.post(path, headers) for _ in range(2)] == [(200, 0)] * 2
            assert server.requests == 2


class TestSlowReader:
    async def test_is_disconnected_at_the_deadline(self) -> None:
        async with Harness() as host:
            await host.add_backend()
            host.put_service(deadline_s=0.5)
            _, writer = await host.open_connection()
            target = "/catalogue/public/1?answer_bytes=60000"
            request = f"GET {target} HTTP/1.1\r\nHost: h\r\n\r\n".encode()
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            writer.write(request * 500)
            await until(lambda: host.server.open_connections == 0, 20.0)
            assert host.forwarder.in_flight == 0
            writer.close()
