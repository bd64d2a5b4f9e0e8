from __future__ import annotations

import asyncio
import collections
import time

import pytest
import virtual_time
from copies_world import Host, StoreTrouble, Trouble, World
from rate_limits import bound, most_in_window

from radishbridge.entry import Bounds, RateAdmission, SteeringState
from radishbridge.steering import Configuration, WorkspaceRule

# One workspace whose rate hosts divide, and one whose rate is handed out in slices; both send
# several times their rate.
RULES = [
    WorkspaceRule(name="large", rate_per_s=100.0, burst=130.0),
    WorkspaceRule(name="small", rate_per_s=10.0, burst=20.0),
]
DEMAND = 4.0
STEP_S = 0.05


class MeteredHost(Host):
    """A host that admits requests of workspaces within their rates."""

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
    """Callers that send requests to all hosts, cut off or not, and move between them."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.admitted: dict[str, list[float]] = collections.defaultdict(list)
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        waiting = dict.fromkeys((rule.name for rule in RULES), 0.0)
        turn = 0
        while True:
            await asyncio.sleep(STEP_S)
            hosts = list(self.world.hosts.values())
            busy = 1 + int(time.monotonic() / 3.0) % len(hosts)
            for rule in RULES:
                waiting[rule.name] += DEMAND * rule.rate_per_s * STEP_S
                while waiting[rule.name] >= 1.0:
                    waiting[rule.name] -= 1.0
                    turn += 1
                    task = asyncio.create_task(self.ask(hosts[turn % busy], rule.name))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)

    async def ask(self, host: MeteredHost, workspace: str) -> None:
        if await host.admission.admit(workspace) is None:
            self.admitted[workspace].append(time.monotonic())


class TestLimitInRandomTrouble:
    """Load pattern: callers of two workspaces move between hosts that are cut off and restart."""

    @pytest.mark.parametrize(
        ("trouble", "seed"),
        [*((Trouble, seed) for seed in range(4)), (StoreTrouble, 0), (StoreTrouble, 1)],
    )
    def test_no_window_admits_more_than_the_limit(self, trouble, seed, monkeypatch):
        async def play() -> None:
            world = World(11, MeteredHost)
            for number in range(11):
                world.start(number)
            callers = Callers(world)
            calling = asyncio.create_task(callers.run())
            await world.play(6.0)
            await trouble(world, seed).play(20.0)
            await world.play(6.0)
            calling.cancel()
            await asyncio.gather(*callers.tasks, return_exceptions=True)
            await world.stop()
            for rule in RULES:
                assert most_in_window(callers.admitted[rule.name]) <= bound(rule)
                assert len(callers.admitted[rule.name]) >= 0.3 * rule.rate_per_s * 32.0

        virtual_time.run(play(), monkeypatch)
