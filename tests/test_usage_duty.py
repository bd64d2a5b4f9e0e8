from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import typing as t

import aiohttp
import pytest
from aiohttp import web
from prometheus_client import CollectorRegistry
from soak.store import Store
from soak.usage import UsageEndpoint
from usage_world import MUTANTS, RULES, World

from radishbridge.entry import uptime
from radishbridge.entry.usage import UsageExchange, UsageReporter
from radishbridge.entry.usage_metrics import UsageMetrics
from radishbridge.platform.store import PlatformStore
from radishbridge.platform.usage import RECORD_KIND, RECORD_NAME, PlatformUsage
from radishbridge.steering.usage import (
    ReadRecord,
    SendOutcome,
    SendReport,
    UsageDuty,
    WindowReport,
    WriteRecord,
)
from radishbridge.steering.usage_counts import FleetTime, UsageGathering
from radishbridge.steering.usage_rules import UsageRules

# Manual runs use 1,000: ``USAGE_SEEDS=1000``.
SEEDS = int(os.environ.get("USAGE_SEEDS", "15"))
MUTANT_SEEDS = 60
HISTORY_S = 60.0


class TestRandomHistories:
    """Rules 1 to 3 under kills, suspensions, splits, lost and late calls of store and platform."""

    @pytest.mark.parametrize("seed", range(SEEDS))
    def test_no_rule_is_broken(self, seed):
        assert World(seed).run(HISTORY_S).violations() == []

    @pytest.mark.parametrize("mutant", MUTANTS)
    def test_faulty_variants_are_caught(self, mutant):
        worlds = (World(seed, duty_type=mutant).run(HISTORY_S) for seed in range(MUTANT_SEEDS))
        assert any(world.violations() for world in worlds)


class TestCalmDay:
    """Windows that are left out, late, reported twice or at the price of many store calls."""

    @pytest.mark.parametrize("seed", range(3))
    def test_each_window_is_reported_once_with_all_counts(self, seed):
        world = World(seed, faults=False).run(HISTORY_S)
        ended = [one for one in sorted(world.truth) if RULES.end_of(one) < world.time_s - 3.0]
        assert world.reported_windows()[: len(ended)] == ended
        assert world.writes <= len(world.calls) + 1
        for call in world.calls:
            assert json.loads(call.counts)["counts"] == world.truth[call.window]
            assert call.time_s - RULES.end_of(call.window) < 1.5


class TestWritesThatFail:
    """Calls at a high rate, by a host that never hands over, while the store only answers reads."""

    def test_calls_are_few_and_the_host_hands_over(self):
        duty = UsageDuty(RULES, "host-1", "10.0.0.1:7000", 1, random.Random(1))
        gathering = UsageGathering(RULES.window_s)
        calls = 0
        for tick in range(300):
            now = 0.1 * tick
            while True:
                step = duty.decide(True, gathering, (), FleetTime(1_000.0), now)
                if step is None:
                    break
                calls += 1
                if isinstance(step, WriteRecord):
                    duty.on_store_failure(duty.sent_at, now)
                else:
                    duty.on_read(None, now)
        assert calls <= 120
        assert not duty.reaches_store(now)
        step = duty.decide(True, gathering, (), FleetTime(1_000.0), now + 2.0)
        duty.on_read(None, now + 2.0)
        step = duty.decide(True, gathering, (), FleetTime(1_000.0), now + 2.0)
        duty.on_written(step, 7, now + 2.0)
        assert duty.reaches_store(now + 2.0)


class TestDeletedRecord:
    """A new record with a higher token while the holder of the deleted one may still send."""

    def test_it_is_created_only_once_no_earlier_lease_can_last(self):
        duty = UsageDuty(RULES, "host-2", "10.0.0.2:7000", 1, random.Random(1))
        gathering = UsageGathering(RULES.window_s)
        clock = FleetTime(1_000.0)
        duty.observe(7, 12, 0.0)
        assert isinstance(duty.decide(True, gathering, (), clock, 9.0), ReadRecord)
        duty.on_read(None, 9.0)
        assert duty.decide(True, gathering, (), clock, 8.9 + RULES.takeover_after_s) is None
        step = duty.decide(True, gathering, (), clock, 9.1 + RULES.takeover_after_s)
        assert isinstance(step, WriteRecord)
        assert step.record.token == 13


class OneCandidate:
    """The part of a fleet that a reporter uses, of a host that is always the candidate."""

    def __init__(self, name: str) -> None:
        self.name = name

    def usage_candidate(self, now: float) -> str:
        return self.name

    def live_hosts(self, now: float) -> dict[str, None]:
        return {self.name: None}


class ProcessKilledError(Exception):
    """Stands for the end of a process."""


class KilledBeforeSending(PlatformUsage):
    """The connections of a host that is killed between finalizing and sending."""

    __slots__ = ()

    async def send(self, step: SendReport, may_send: t.Callable[[], bool]) -> SendOutcome:
        raise ProcessKilledError


# Short, so that the successor has not to be waited for.
QUICK = UsageRules(window_s=1.0, delay_s=3.0, lease_time_s=0.4, slack_s=0.2)


@contextlib.asynccontextmanager
async def running_platform() -> t.AsyncIterator[tuple[Store, PlatformStore, UsageEndpoint, str]]:
    async with contextlib.AsyncExitStack() as stack:
        store = Store(random.Random(1))
        runner = web.AppRunner(store.application(), shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
        endpoint = UsageEndpoint()
        address = await endpoint.start()
        stack.push_async_callback(endpoint.stop)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        yield store, PlatformStore(session, f"{host}:{port}"), endpoint, address


def make_reporter(number: int, platform: PlatformUsage) -> UsageReporter:
    name = f"10.0.0.{number}:7000"
    duty = UsageDuty(QUICK, f"host-{number}", name, number, random.Random(number))
    exchange = UsageExchange(name, QUICK, duty, uptime.now())
    metrics = UsageMetrics(CollectorRegistry())
    return UsageReporter(exchange, OneCandidate(name), platform, metrics)


def report(reporter: UsageReporter) -> None:
    exchange = reporter.exchange
    now = uptime.now()
    exchange.record_report(exchange.name, exchange.build_report(now), False, now)


async def run_until(reporter: UsageReporter, is_done: t.Callable[[], bool]) -> None:
    while not is_done():
        report(reporter)
        if not await reporter.step():
            await asyncio.sleep(0.01)


class TestHolderKilled:
    """A holder that ends after it has finalized a window, with the real classes."""

    async def test_its_successor_sends_exactly_the_stored_bytes(self):
        async with running_platform() as (store, objects, endpoint, address):
            first = make_reporter(1, KilledBeforeSending(objects, address))
            first.exchange.counter.begin("a", "school", "catalogue", 0.5, 0.0, uptime.now())
            with pytest.raises(ProcessKilledError):
                await run_until(first, lambda: False)
            stored = store.objects[RECORD_KIND, RECORD_NAME]["spec"]
            assert stored["holder"] == "host-1"
            finalized = json.loads(stored["reports"][0]["body"])
            assert finalized["counts"] == {"school": 1}

            second = make_reporter(2, PlatformUsage(objects, address))
            second.exchange.counter.begin("b", "salon", "catalogue", 0.5, 0.0, uptime.now())
            await run_until(second, lambda: len(endpoint.calls) >= 2)
            assert endpoint.calls[0].window == finalized["windowIndex"]
            assert endpoint.calls[0].counts == {"school": 1}
            assert endpoint.calls[0].token == stored["fencingToken"] + 1
            assert {call.holder for call in endpoint.calls} == {"host-2"}
            assert endpoint.violations() == []

    async def test_a_write_without_a_response_is_read_before_anything_is_sent(self):
        async with running_platform() as (store, objects, endpoint, address):
            store.lost_response_rate = 1.0
            reporter = make_reporter(1, PlatformUsage(objects, address))
            await run_until(reporter, lambda: bool(reporter.exchange.duty.store_failures))
            store.lost_response_rate = 0.0
            assert endpoint.calls == []
            await run_until(reporter, lambda: bool(endpoint.calls))
            written = store.objects[RECORD_KIND, RECORD_NAME]["spec"]
            assert endpoint.calls[0].counts == json.loads(written["reports"][0]["body"])["counts"]

    async def test_an_unreadable_record_is_left_alone(self):
        async with running_platform() as (store, objects, _, address):
            await store.put(RECORD_KIND, RECORD_NAME, spec={"holder": 7})
            reporter = make_reporter(1, PlatformUsage(objects, address))
            await run_until(reporter, lambda: reporter.exchange.duty.store_failures > 1)
            assert store.objects[RECORD_KIND, RECORD_NAME]["spec"] == {"holder": 7}


class TestCalls:
    """What a call of the endpoint does if the platform or the permission fails."""

    @pytest.mark.parametrize(
        ("fault", "outcome"),
        [
            ("", SendOutcome.ACCEPTED),
            ("busy", SendOutcome.REFUSED),
            ("limited", SendOutcome.REFUSED),
            ("lost", SendOutcome.UNANSWERED),
            ("silent", SendOutcome.UNANSWERED),
        ],
    )
    async def test_outcomes(self, fault, outcome):
        async with running_platform() as (_, objects, endpoint, address):
            endpoint.fault = fault
            platform = PlatformUsage(objects, address)
            step = make_send(until=uptime.now() + (0.3 if fault == "silent" else 5.0))
            assert await platform.send(step, lambda: True) is outcome
            assert [call.counts for call in endpoint.calls] == [{"school": 7}]

    async def test_nothing_is_sent_once_the_permission_has_ended(self):
        async with running_platform() as (_, objects, endpoint, address):
            platform = PlatformUsage(objects, address)
            step = make_send(until=uptime.now() + 5.0)
            assert await platform.send(step, lambda: False) is SendOutcome.EXPIRED
            assert endpoint.calls == []

    async def test_no_connection(self):
        async with running_platform() as (_, objects, endpoint, address):
            await endpoint.stop()
            platform = PlatformUsage(objects, address)
            step = make_send(until=uptime.now() + 5.0)
            assert await platform.send(step, lambda: True) is SendOutcome.UNREACHABLE


def make_send(until: float) -> SendReport:
    body = '{"windowIndex":5,"counts":{"school":7}}'
    return SendReport(WindowReport(5, body), "host-1", 3, until)
