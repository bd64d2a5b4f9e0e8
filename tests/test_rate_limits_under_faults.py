from __future__ import annotations

import asyncio
import collections
import os
import random
import time

import pytest
import virtual_time
from copies_world import FaultInjector, Host, StoreFaultInjector, World
from rate_limits import limit_in_window, most_in_window

from radishbridge.entry import (
    Bounds,
    FleetCoordinator,
    RateAdmission,
    Registration,
    SteeringState,
)
from radishbridge.entry.fleet import HOST_REMOVED_AFTER_S
from radishbridge.peers import HostAddress
from radishbridge.steering import Configuration, WorkspaceRule

# One workspace whose rate is divided among hosts, and one whose rate is cut into slices; both send
# several times their rate.
RULES = [
    WorkspaceRule(name="large", rate_per_s=100.0, burst=130.0),
    WorkspaceRule(name="small", rate_per_s=10.0, burst=20.0),
]
DEMAND_FACTOR = 4.0
STEP_S = 0.05


class MeteredHost(Host):
    """A host that enforces the rates of workspaces."""

    def __init__(self, number: int, world: World) -> None:
        super().__init__(number, world)
        self.steering_state = SteeringState(self.name, None, Bounds(), clock=time.monotonic)
        self.steering_state.fleet_share = self.fleet.fleet_share
        self.steering_state.configuration = Configuration(1, [], [], RULES)
        self.steering_state.accrue_from = {rule.name: time.monotonic() for rule in RULES}
        self.fleet.make_report = lambda: self.steering_state.build_report(self.status())
        self.fleet.listeners.append(self.steering_state.apply_summary)
        self.admission = RateAdmission(self.steering_state, self.fleet, time.monotonic)


class Callers:
    """Callers that move between all hosts, disconnected ones included.

    :param moving: they move to other hosts every few seconds; otherwise they use all evenly.
    """

    def __init__(self, world: World, moving: bool = True) -> None:
        self.world = world
        self.moving = moving
        self.admitted: dict[str, list[float]] = collections.defaultdict(list)
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        due_requests = dict.fromkeys((rule.name for rule in RULES), 0.0)
        next_host = 0
        while True:
            await asyncio.sleep(STEP_S)
            hosts = list(self.world.hosts.values())
            host_count = 1 + int(time.monotonic() / 3.0) % len(hosts) if self.moving else len(hosts)
            for rule in RULES:
                due_requests[rule.name] += DEMAND_FACTOR * rule.rate_per_s * STEP_S
                while due_requests[rule.name] >= 1.0:
                    due_requests[rule.name] -= 1.0
                    next_host += 1
                    task = asyncio.create_task(
                        self.send_request(hosts[next_host % host_count], rule.name)
                    )
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)

    async def send_request(self, host: MeteredHost, workspace: str) -> None:
        if await host.admission.admit(workspace) is None:
            self.admitted[workspace].append(time.monotonic())


class TestLimitUnderRandomFaults:
    """Callers of two workspaces move between hosts that are disconnected and restarted at random.

    Hosts that disagree on who may grant which part of a rate would admit more than the limit.
    """

    @pytest.mark.parametrize(
        ("fault_injector", "seed"),
        [
            *((FaultInjector, seed) for seed in range(4)),
            (StoreFaultInjector, 0),
            (StoreFaultInjector, 1),
        ],
    )
    def test_no_window_admits_more_than_the_limit(self, fault_injector, seed, monkeypatch):
        async def scenario() -> None:
            world = World(11, MeteredHost)
            for number in range(11):
                world.start(number)
            callers = Callers(world)
            callers_task = asyncio.create_task(callers.run())
            await world.run_for(6.0)
            await fault_injector(world, seed).run_for(20.0)
            await world.run_for(6.0)
            callers_task.cancel()
            await asyncio.gather(*callers.tasks, return_exceptions=True)
            await world.stop()
            for rule in RULES:
                assert most_in_window(callers.admitted[rule.name]) <= limit_in_window(rule)
                assert len(callers.admitted[rule.name]) >= 0.3 * rule.rate_per_s * 32.0

        virtual_time.run(scenario(), monkeypatch)


class TestHostsAddedDuringAnOutageOfTheStore:
    """Guards against new hosts that use a share of a rate that the other hosts use as well."""

    @pytest.mark.parametrize(("old", "new"), [(9, 6), (6, 4), (3, 9), (20, 8)])
    def test_no_window_admits_more_than_the_limit(self, old, new, monkeypatch):
        async def scenario() -> None:
            world = World(old, MeteredHost)
            for number in range(old):
                world.start(number)
            callers = Callers(world, moving=False)
            callers_task = asyncio.create_task(callers.run())
            await world.run_for(8.0)
            seeds = {
                name: HostAddress(name=name, region="", data_center="", address=name)
                for name in list(world.hosts)[:3]
            }
            for number in range(old, old + new):
                world.start(number)
            for host in world.hosts.values():
                host.link.is_unresponsive = True
            started_at = time.monotonic()
            added = list(world.hosts.values())[old:]
            for host in added:
                host.fleet.seeds = dict(seeds)
                host.fleet.update_hosts({})
            for _ in range(20):
                for host in added:
                    host.fleet.request_copies()
                await world.run_for(0.4)
            callers_task.cancel()
            await asyncio.gather(*callers.tasks, return_exceptions=True)
            await world.stop()
            for rule in RULES:
                admitted = callers.admitted[rule.name]
                assert most_in_window(admitted) <= limit_in_window(rule)
                since = [at for at in admitted if at >= started_at]
                assert len(since) >= 0.6 * rule.rate_per_s * 8.0

        virtual_time.run(scenario(), monkeypatch)


class RegisteredHost(MeteredHost):
    """A host that keeps its own entry in the store and, if it is chosen, those of lost hosts."""

    def __init__(self, number: int, world: World) -> None:
        super().__init__(number, world)
        registration = Registration(
            self.link,
            self.copy,
            lambda: self.entry,
            is_questioned=lambda: self.fleet.share_contact.is_questioned,
        )
        coordinator = FleetCoordinator(self.steering_state, self.fleet, self.link)
        self.tasks += [
            asyncio.create_task(registration.run()),
            asyncio.create_task(coordinator.run()),
        ]


class SplitFleet:
    """A fleet with callers at all hosts, whose network and store fail in parts.

    :param since: monotonic time of the last fault.
    """

    def __init__(self, count: int) -> None:
        self.world = World(count, RegisteredHost)
        for number in range(count):
            self.world.start(number)
        self.names = list(self.world.hosts)
        self.callers = Callers(self.world, moving=False)
        self.callers_task = asyncio.create_task(self.callers.run())
        self.since = 0.0

    def split(self, sides: dict[str, int], without_store: set[int]) -> None:
        """Divide the network, and cut some sides off from the store."""
        self.since = time.monotonic()
        self.world.sides = sides
        for name, host in self.world.hosts.items():
            host.link.is_unresponsive = sides.get(name, 0) in without_store

    def kill(self, names: list[str]) -> None:
        """End hosts for good."""
        self.since = time.monotonic()
        for name in names:
            self.world.stop_host(self.world.hosts[name])

    def heal(self) -> None:
        """End all faults."""
        self.split({}, set())

    async def stop(self) -> None:
        self.callers_task.cancel()
        await asyncio.gather(*self.callers.tasks, return_exceptions=True)
        await self.world.stop()

    def check_limit(self) -> None:
        for rule in RULES:
            assert most_in_window(self.callers.admitted[rule.name]) <= limit_in_window(rule)

    def admitted_fraction(self, workspace: str, start_s: float, end_s: float) -> float:
        """Return the fraction of a rate that was used between two times after the last fault."""
        rule = next(rule for rule in RULES if rule.name == workspace)
        times = [at - self.since for at in self.callers.admitted[workspace]]
        used = sum(start_s <= at < end_s for at in times)
        return used / (rule.rate_per_s * (end_s - start_s))


class TestLongSplit:
    """Guards against two sides of a network split that each use the whole rate after 30 s."""

    @pytest.mark.parametrize(
        ("without_store", "fraction"),
        [(set(), 0.85), ({0}, 0.3), ({1}, 0.6), ({0, 1}, 0.6)],
        ids=["all reach the store", "small side does", "large side does", "none does"],
    )
    @pytest.mark.parametrize("small_side", [1, 3])
    def test_no_window_admits_more_than_the_limit(
        self, small_side, without_store, fraction, monkeypatch
    ):
        async def scenario() -> None:
            fleet = SplitFleet(9)
            await fleet.world.run_for(8.0)
            fleet.split(dict.fromkeys(fleet.names[:small_side], 1), without_store)
            await fleet.world.run_for(45.0)
            used = fleet.admitted_fraction("large", 32.0, 45.0)
            fleet.heal()
            await fleet.world.run_for(12.0)
            await fleet.stop()
            fleet.check_limit()
            assert used >= fraction
            assert fleet.admitted_fraction("large", 8.0, 12.0) >= 0.85

        virtual_time.run(scenario(), monkeypatch)

    @pytest.mark.parametrize("seed", range(int(os.environ.get("SPLIT_SEEDS", "4"))))
    def test_random_splits_with_joins_restarts_and_losses(self, seed, monkeypatch):
        # SPLIT_SEEDS=1000 in manual runs.
        async def scenario() -> None:
            rng = random.Random(seed)
            count = rng.randint(4, 8)
            fleet = SplitFleet(count)
            world = fleet.world
            fleet.callers.moving = rng.random() < 0.5
            await world.run_for(8.0)
            next_number = count
            for _ in range(rng.randint(1, 2)):
                side_count = rng.randint(2, 3)
                sides = {name: rng.randrange(side_count) for name in world.hosts}
                without = {side for side in range(side_count) if rng.random() < 0.4}
                fleet.split(sides, without)
                ends_at = time.monotonic() + rng.uniform(25.0, 75.0)
                while time.monotonic() < ends_at:
                    await world.run_for(rng.uniform(2.0, 20.0))
                    event = rng.random()
                    if event < 0.25:
                        world.restart(rng.choice(list(world.hosts)))
                    elif event < 0.45:
                        world.start(next_number)
                        name = list(world.hosts)[-1]
                        world.sides[name] = rng.randrange(side_count)
                        world.hosts[name].link.is_unresponsive = world.sides[name] in without
                        next_number += 1
                    elif event < 0.5:
                        # Messages arrive late: lost packets are sent again.
                        late = rng.sample(sorted(world.hosts), 2)
                        world.packet_loss = dict.fromkeys(late, rng.choice((0.1, 0.3)))
                    elif event < 0.58 and len(world.hosts) > 3:
                        fleet.kill([rng.choice(list(world.hosts))])
                    elif event < 0.75:
                        side = rng.randrange(side_count)
                        without ^= {side}
                        fleet.split(world.sides, without)
                fleet.heal()
                world.packet_loss = {}
                await world.run_for(rng.uniform(1.0, 12.0))
            await fleet.stop()
            fleet.check_limit()

        virtual_time.run(scenario(), monkeypatch)


class TestHostsLostForGood:
    """Guards against a rate that stays reduced, or is exceeded, after hosts were lost for good."""

    @pytest.mark.parametrize(("count", "lost"), [(9, 3), (9, 1), (8, 4)])
    def test_rate_is_whole_again(self, count, lost, monkeypatch):
        async def scenario() -> None:
            fleet = SplitFleet(count)
            await fleet.world.run_for(8.0)
            fleet.kill(fleet.names[-lost:])
            await fleet.world.run_for(45.0)
            await fleet.stop()
            fleet.check_limit()
            assert fleet.admitted_fraction("large", 34.0, 45.0) >= 0.85

        virtual_time.run(scenario(), monkeypatch)

    def test_rate_is_whole_again_if_new_hosts_replace_the_lost_ones(self, monkeypatch):
        async def scenario() -> None:
            fleet = SplitFleet(8)
            await fleet.world.run_for(8.0)
            fleet.kill(fleet.names[:3])
            await fleet.world.run_for(2.0)
            for number in (100, 101, 102):
                fleet.world.start(number)
            await fleet.world.run_for(45.0)
            await fleet.stop()
            fleet.check_limit()
            assert fleet.admitted_fraction("large", 35.0, 45.0) >= 0.85

        virtual_time.run(scenario(), monkeypatch)

    def test_rate_stays_whole_when_the_entries_are_removed(self, monkeypatch):
        async def scenario() -> None:
            fleet = SplitFleet(8)
            await fleet.world.run_for(8.0)
            fleet.kill(fleet.names[-4:])
            await fleet.world.run_for(HOST_REMOVED_AFTER_S + 12.0)
            await fleet.stop()
            fleet.check_limit()
            start_s = HOST_REMOVED_AFTER_S + 2.0
            assert fleet.admitted_fraction("large", start_s, start_s + 10.0) >= 0.85

        virtual_time.run(scenario(), monkeypatch)

    def test_half_of_the_hosts_are_killed_and_start_again(self, monkeypatch):
        async def scenario() -> None:
            fleet = SplitFleet(8)
            await fleet.world.run_for(8.0)
            for name in fleet.names[:4]:
                fleet.world.restart(name)
            fleet.since = time.monotonic()
            await fleet.world.run_for(40.0)
            await fleet.stop()
            fleet.check_limit()
            assert fleet.admitted_fraction("large", 4.0, 40.0) >= 0.85

        virtual_time.run(scenario(), monkeypatch)
