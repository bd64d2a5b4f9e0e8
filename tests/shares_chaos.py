"""A seeded random sequence of faults against the simulated hosts of ``shares_world``."""

from __future__ import annotations

import itertools

from shares_world import STEP_S, World

MAX_CLOCK_DRIFT = 0.02
MAX_STORE_CALL_S = 12.0


class ChaosWalk:
    """Applies random faults and load to a world, whose invariants raise ``AssertionError``."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.random = world.random
        self.names = list(world.hosts)
        self.faults = [
            self.crash_or_start,
            self.pause,
            self.toggle_store,
            self.lose_answers,
            self.delay_call,
            self.cut_links,
            self.disturb_messages,
            self.leave,
            self.repair_all,
            self.repair_all,
        ]

    def run(self, seconds: float) -> None:
        """Apply faults until ``seconds``, after a start without faults that divides the units."""
        self.world.run(6.0)
        while self.world.now < seconds:
            self.random.choice(self.faults)()
            for _ in range(self.random.choice((5, 20, 60, 160, 300))):
                self.world.step(STEP_S)
                self.send_load()

    def send_load(self) -> None:
        """Send bursts of requests to up to two running hosts."""
        running = [host for host in self.world.hosts.values() if not host.paused]
        for host in self.random.sample(running, min(len(running), 2)):
            for _ in range(self.random.choice((0, 1, 1, 4, 12))):
                self.world.request(host.name)

    def crash_or_start(self) -> None:
        name = self.random.choice(self.names)
        if name in self.world.hosts:
            self.world.crash(name)
        if self.random.random() < 0.7:
            self.world.start(name)

    def pause(self) -> None:
        for host in self.world.hosts.values():
            if self.random.random() < 0.4:
                host.resumes_at = self.world.now + self.random.choice((0.3, 2.0, 9.0, 15.0))

    def toggle_store(self) -> None:
        """Cut some hosts, or all, off from the store, and reconnect the others."""
        cut_all = self.random.random() < 0.5
        for host in self.world.hosts.values():
            host.client.reachable = not (cut_all or self.random.random() < 0.5)

    def lose_answers(self) -> None:
        for host in self.world.hosts.values():
            host.client.delivers_responses = self.random.random() < 0.5

    def delay_call(self) -> None:
        """Delay the store calls of some hosts, before they take effect or before the answer."""
        for host in self.world.hosts.values():
            if self.random.random() < 0.5:
                host.store_answer_at = self.world.now + self.random.random() * MAX_STORE_CALL_S

    def cut_links(self) -> None:
        pairs = itertools.combinations(self.names, 2)
        self.world.network.cut_links = {
            frozenset(pair) for pair in pairs if self.random.random() < 0.4
        }

    def disturb_messages(self) -> None:
        network = self.world.network
        network.loss = self.random.choice((0.0, 0.2))
        network.duplication = self.random.choice((0.0, 0.5))
        network.jitter_s = self.random.choice((0.0, 0.1, 1.5))

    def leave(self) -> None:
        name = self.random.choice(self.names)
        host = self.world.hosts.get(name)
        if host is None or host.paused or host.membership is not None:
            return
        if self.world.leave(name):
            self.world.crash(name)
        else:
            host.admission.exchange.closed = False

    def repair_all(self) -> None:
        self.world.network.cut_links = set()
        for name in self.names:
            if name not in self.world.hosts:
                self.world.start(name)
        for host in self.world.hosts.values():
            host.client.reachable = True
            host.client.delivers_responses = True
            host.store_answer_at = 0.0


def walk(seed: int, hosts: int, seconds: float = 120.0, **options: object) -> World:
    """Run a chaos walk and return its world."""
    world = World(seed, hosts=hosts, drift=MAX_CLOCK_DRIFT, **options)  # type: ignore[arg-type]
    ChaosWalk(world).run(seconds)
    return world
