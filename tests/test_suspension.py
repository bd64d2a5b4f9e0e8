"""A machine is suspended for seconds: the steady clock stops, and the other hosts go on.

Afterwards the host must not act on what has expired for the others meanwhile. A pause of the
process alone is different only in that timers are late.
"""

from __future__ import annotations

import asyncio
import time
import typing as t

import pytest
from entry_world import reply, running, stall
from fleet_world import Hosts, make_report
from steering_world import make_route
from test_entry_copy import ScriptedStore, listing, server

from radishbridge.entry import (
    BackendPool,
    Bounds,
    Fleet,
    FleetCoordinator,
    Kind,
    ObjectCopy,
    RateAdmission,
    SteeringState,
    StoreFollower,
    uptime,
)
from radishbridge.entry.backends import IDLE_MAX_S
from radishbridge.entry.messages import FleetSummary
from radishbridge.steering import Configuration, MoveOrder, RateSlice, WorkspaceRule

SUSPENDED_S = 8.0


@pytest.fixture
def suspend(monkeypatch):
    """Return a function that suspends the machine, as ``CLOCK_BOOTTIME`` alone shows."""
    original = time.clock_gettime
    suspended = [0.0]

    def clock_gettime(clock: int) -> float:
        return original(clock) + (suspended[0] if clock == time.CLOCK_BOOTTIME else 0.0)

    monkeypatch.setattr(time, "clock_gettime", clock_gettime)

    def suspend(seconds: float = SUSPENDED_S) -> None:
        suspended[0] += seconds

    return suspend


def make_fleet_at_uptime(count: int) -> Hosts:
    """Return hosts whose first fleet reads the real clock, with a recent summary of all."""
    hosts = Hosts(count)
    first = hosts.fleets[0]
    first.clock = uptime.now
    first.started_at = uptime.now() - 60.0
    first.update_hosts(hosts.entries)
    statuses = [make_report(name).status for name in hosts.entries]
    summary = FleetSummary(
        hosts=statuses,
        demands={},
        home_bound={},
        evidence={},
        crashes=[],
        copy_state=first.copy.state(),
        size=count,
    )
    first._apply_summary(summary, uptime.now())
    return hosts


def delay_after_connecting(monkeypatch, delay: t.Callable[[], None]) -> None:
    """Stop the host between opening a connection to a server and sending the request."""
    acquire = BackendPool.acquire

    async def acquire_and_delay(*arguments):
        connection = await acquire(*arguments)
        delay()
        return connection

    monkeypatch.setattr(BackendPool, "acquire", acquire_and_delay)


class TestPermissionsAfterASuspension:
    def test_the_clock_counts_the_time_of_the_suspension(self, suspend):
        before = uptime.now()
        suspend()
        assert uptime.now() - before >= SUSPENDED_S

    def test_a_summary_from_before_it_is_not_recent(self, suspend):
        fleet = make_fleet_at_uptime(12).fleets[0]
        assert len(fleet.live_hosts(uptime.now())) == 12
        suspend()
        assert len(fleet.live_hosts(uptime.now())) == 1
        assert fleet.fleet_share.reachable_fraction(uptime.now()) == pytest.approx(1 / 12)

    async def test_the_coordinator_writes_nothing_until_it_hears_of_the_others(
        self, suspend, monkeypatch
    ):
        written: list[object] = []

        class Store:
            async def report_move(self, report):
                written.append(report)

            async def unregister(self, name, version=None):
                written.append(name)

        fleet = make_fleet_at_uptime(12).fleets[0]
        monkeypatch.setattr(Fleet, "rank_for", lambda fleet, *_: [fleet.own.peer_address])
        state = SteeringState(fleet.own.peer_address, None, Bounds())
        state.orders["s"] = MoveOrder(service="s", to_version="v2", duration_s=60.0)
        coordinator = FleetCoordinator(state, fleet, Store())
        assert coordinator._is_coordinator(uptime.now())
        suspend()
        await coordinator.step(uptime.now())
        assert written == []

    async def test_a_slice_owner_grants_no_tokens_saved_up_meanwhile(self, suspend, monkeypatch):
        fleet = make_fleet_at_uptime(12).fleets[0]
        own = fleet.own.peer_address
        state = SteeringState(own, None, Bounds())
        state.fleet_share = fleet.fleet_share
        rule = WorkspaceRule(name="school", rate_per_s=10.0, burst=20.0)
        state.configuration = Configuration(1, [], [], [rule])
        admission = RateAdmission(state, fleet)
        monkeypatch.setattr(RateAdmission, "_slice_owner", lambda *_: own)
        for number in range(2):
            key = admission._slice_keys(rule)[number]
            admission.slices[key] = RateSlice(5.0, 10.0, uptime.now())
            admission.slices[key].tokens = 10.0
        suspend()
        admitted = [await admission.admit("school") is None for _ in range(30)]
        # Another owner grants these tokens by now; an equal share of them is left.
        assert sum(admitted) <= 4

    async def test_an_idle_connection_to_a_server_is_not_used_again(self, suspend):
        async with running(reply()) as (world, _):
            await world.request()
            await world.request()
            assert world.forwarder.pool.opened == 1
            suspend(IDLE_MAX_S)
            await world.request()
            assert world.forwarder.pool.opened == 2

    async def test_a_request_whose_deadline_passed_is_not_sent(self, suspend, monkeypatch):
        route = make_route(timeout_s=3.0)
        async with running(reply(), route=route) as (world, backends):
            delay_after_connecting(monkeypatch, suspend)
            status, _, _ = await world.request()
            assert status == 503
            assert backends[0].requests == []


class TestPausedProcess:
    """A process that was paused gets to its next step before its timers fire."""

    async def test_a_request_whose_deadline_passed_is_not_sent(self, monkeypatch):
        route = make_route(timeout_s=0.2)
        async with running(reply(), stall, route=route) as (world, backends):
            delay_after_connecting(monkeypatch, lambda: time.sleep(0.25))
            status, _, _ = await asyncio.wait_for(world.request(), 5.0)
            assert status == 503
            assert [len(backend.requests) for backend in backends] == [0, 0]


class TestRestart:
    """A host that restarts must not bring back what had left before."""

    @pytest.mark.parametrize("is_first_start", [True, False])
    async def test_only_the_first_start_of_the_system_reads_old_listings(self, is_first_start):
        store = ScriptedStore([listing(3, server("a", 1))], [])
        copy = ObjectCopy()
        follower = StoreFollower(
            store,
            copy,
            lambda: 0,
            lambda: True,
            lambda *_: None,
            None,
            may_start_stale=is_first_start,
        )
        stale: dict[Kind, bool] = {}
        original = store.list

        async def record(kind, may_be_stale=False):
            stale[kind] = may_be_stale
            return await original(kind, may_be_stale)

        store.list = record
        tasks = [asyncio.create_task(run()) for run in follower.tasks().values()]
        async with asyncio.timeout(5.0):
            while len(stale) < len(Kind):
                await asyncio.sleep(0.01)
        for task in tasks:
            task.cancel()
        prompt = {Kind.CONFIGURATION, Kind.SERVER, Kind.DRAIN}
        assert {kind for kind, old in stale.items() if old} == (
            set(Kind) if is_first_start else set(Kind) - prompt
        )
