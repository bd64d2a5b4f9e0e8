from __future__ import annotations

import asyncio
import random
import typing as t

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishbridge.claims import CLAIM_KIND, Claim, ClaimRegistry, claim_name
from radishbridge.records import Execution, Failure, ResultCode
from radishbridge.store import ResolvedWriter
from radishbridge_standin.fake import FakeStore
from radishbridge_standin.table import Faults, ObjectTable, Write


async def no_sleep(seconds: float) -> None:
    await asyncio.sleep(0)


def make_registry(table: ObjectTable, host: str = "host-1", pause: t.Any = None) -> ClaimRegistry:
    store = FakeStore(table) if pause is None else FakeStore(table, pause)
    writer = ResolvedWriter(store, random.Random(1), attempts=3, sleep=no_sleep)
    return ClaimRegistry(store, writer, host, incarnation=1)


async def claim_key(registry: ClaimRegistry, key: str = "k") -> Claim | Failure:
    return await registry.claim("school-17", key)


def code_of(result: object) -> ResultCode:
    assert isinstance(result, Failure), result
    return result.code


class TestClaim:
    """Guards against a key that two hosts claim, or that can't be claimed after a release."""

    async def test_only_the_first_host_gets_the_claim(self) -> None:
        table = ObjectTable()
        assert isinstance(await claim_key(make_registry(table)), Claim)
        assert (
            code_of(await claim_key(make_registry(table, "host-2"))) is ResultCode.DUPLICATE_REQUEST
        )

    async def test_keys_of_different_workspaces_are_independent(self) -> None:
        claims = make_registry(ObjectTable())
        assert isinstance(await claims.claim("a", "k"), Claim)
        assert isinstance(await claims.claim("b", "k"), Claim)

    async def test_a_repeat_after_the_response_is_refused_as_already_run(self) -> None:
        table = ObjectTable()
        held = await claim_key(make_registry(table))
        assert isinstance(held, Claim)
        await make_registry(table).finish(held, 201)
        repeated = await claim_key(make_registry(table, "host-2"))
        assert code_of(repeated) is ResultCode.ALREADY_RUN
        assert isinstance(repeated, Failure)
        assert "201" in repeated.reason

    async def test_a_repeat_after_the_host_died_is_refused_as_possibly_run(self) -> None:
        table = ObjectTable()
        await claim_key(make_registry(table, "host-1"))
        repeated = await claim_key(make_registry(table, "host-2"))
        assert isinstance(repeated, Failure)
        assert repeated.info.execution is Execution.MAY_HAVE_RUN

    async def test_a_released_key_can_be_claimed_once_more(self) -> None:
        table = ObjectTable()
        held = await claim_key(make_registry(table))
        assert isinstance(held, Claim)
        assert await make_registry(table).release(held) is None
        assert isinstance(await claim_key(make_registry(table, "host-2")), Claim)
        assert (
            code_of(await claim_key(make_registry(table, "host-3"))) is ResultCode.DUPLICATE_REQUEST
        )

    async def test_a_late_release_does_not_free_another_hosts_claim(self) -> None:
        table = ObjectTable()
        first = await claim_key(make_registry(table))
        assert isinstance(first, Claim)
        await make_registry(table).release(first)
        assert isinstance(await claim_key(make_registry(table, "host-2")), Claim)
        assert code_of(await make_registry(table).release(first)) is ResultCode.VERSION_CONFLICT
        assert (
            code_of(await claim_key(make_registry(table, "host-3"))) is ResultCode.DUPLICATE_REQUEST
        )

    @pytest.mark.parametrize("faults", [Faults(down=True), Faults(refuse=True)])
    async def test_without_the_store_nothing_is_claimed(self, faults: Faults) -> None:
        table = ObjectTable()
        table.faults = faults
        refused = await claim_key(make_registry(table))
        assert code_of(refused) is ResultCode.CLAIM_UNAVAILABLE
        assert isinstance(refused, Failure)
        assert refused.info.execution is Execution.NOT_RUN

    @pytest.mark.parametrize("faults", [Faults(lost_answers=1), Faults(lost_requests=1)])
    async def test_an_unclear_write_is_read_back(self, faults: Faults) -> None:
        table = ObjectTable()
        table.faults = faults
        assert isinstance(await claim_key(make_registry(table)), Claim)
        assert (
            code_of(await claim_key(make_registry(table, "host-2"))) is ResultCode.DUPLICATE_REQUEST
        )

    async def test_a_malformed_claim_counts_as_claimed(self) -> None:
        table = ObjectTable()
        name = claim_name("school-17", "k")
        table.write(Write(kind=CLAIM_KIND, name=name, value=b'{"host":1}', expected_version=0))
        assert code_of(await claim_key(make_registry(table))) is ResultCode.DUPLICATE_REQUEST

    async def test_the_store_never_sees_the_key(self) -> None:
        table = ObjectTable()
        await claim_key(make_registry(table), "secret-order-number")
        assert not any(
            "secret" in name or b"secret" in bytes(stored.value)
            for (_, name), stored in table.objects.items()
        )


class TrustingRegistry(ClaimRegistry):
    """A faulty registry that treats a failed or unclear write as a claim."""

    async def claim(self, workspace: str, idempotency_key: str) -> Claim | Failure:
        held = await super().claim(workspace, idempotency_key)
        if isinstance(held, Failure) and held.code is ResultCode.CLAIM_UNAVAILABLE:
            return Claim(claim_name(workspace, idempotency_key), 0, self._next_value())
        return held


class _Host:
    """Runs requests with one key as a host does: claim the key, run, then finish or release."""

    def __init__(self, name: str, table: ObjectTable, runs: list[str], rng: random.Random) -> None:
        self.name = name
        self.runs = runs
        self.rng = rng
        self.registry = make_registry(table, name, self.pause)

    async def pause(self) -> None:
        for _ in range(self.rng.randrange(4)):
            await asyncio.sleep(0)

    async def send(self) -> None:
        held = await claim_key(self.registry)
        if isinstance(held, Failure):
            return
        await self.pause()
        outcome = self.rng.choice(["dies before", "dies after", "refused", "answered"])
        if outcome in ("dies after", "answered"):
            self.runs.append(self.name)
        if outcome == "answered":
            await self.registry.finish(held, 200)
        if outcome == "refused":
            await self.registry.release(held)


class TestAtMostOnce:
    """Guards against two runs of a request whose claims race while store writes fail.

    Writes may fail, take effect late or take effect without an answer, and hosts may die between
    claiming a key and recording the outcome.
    """

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        seed=st.integers(0, 2**32),
        faults=st.lists(
            st.sampled_from(["lost_answers", "lost_requests", "late_writes", "down", "up", "late"]),
            max_size=12,
        ),
    )
    def test_no_request_runs_twice(self, seed: int, faults: list[str]) -> None:
        runs: list[str] = []
        asyncio.run(self.race(random.Random(seed), faults, runs))
        assert len(runs) <= 1

    def test_the_race_detects_a_registry_that_trusts_unclear_writes(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setitem(globals(), "ClaimRegistry", TrustingRegistry)
        max_runs = 0
        for seed in range(100):
            runs: list[str] = []
            faults = ["late_writes", "lost_requests", "down", "up", "late"]
            asyncio.run(self.race(random.Random(seed), faults, runs))
            max_runs = max(max_runs, len(runs))
        assert max_runs > 1

    def test_the_race_runs_requests(self) -> None:
        runs: list[str] = []
        for seed in range(20):
            asyncio.run(self.race(random.Random(seed), [], runs))
        assert len(runs) > 5

    async def race(self, rng: random.Random, faults: list[str], runs: list[str]) -> None:
        table = ObjectTable()
        hosts = [_Host(f"host-{n}", table, runs, random.Random(rng.random())) for n in range(4)]
        sends = [asyncio.ensure_future(host.send()) for host in hosts for _ in range(3)]
        for fault in faults:
            for _ in range(rng.randrange(6)):
                await asyncio.sleep(0)
            if fault == "late":
                table.apply_late_writes()
            elif fault in ("down", "up"):
                table.faults.down = fault == "down"
            else:
                setattr(table.faults, fault, 1)
        table.faults.down = False
        table.apply_late_writes()
        await asyncio.gather(*sends)
        table.apply_late_writes()
        await hosts[0].send()
