from __future__ import annotations

import asyncio
import collections
import time

import pytest
import virtual_time
from copies_world import FaultInjector, Host, StoreFaultInjector, World
from rate_limits import limit_in_window, most_in_window

from radishbridge.entry import Bounds, RateAdmission, SteeringState
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
