"""Hosts that share one workspace's rate, in virtual time, driven step by step."""

from __future__ import annotations

import random
import typing as t

from radishbridge.records import Rate, Record
from radishbridge.shares import TOTAL_UNITS, ShareAccount, ShareAdmission, ShareTimes
from radishbridge_standin.memory import (
    MemoryMesh,
    MemoryNetwork,
    MemoryStore,
    StoreClient,
    VirtualClock,
)

WORKSPACE = "depot"
STEP_S = 0.05
ROUNDING = 1e-6

AdmissionFactory = t.Callable[..., ShareAdmission]


class Host:
    """One process: its own clock, store client and mesh."""

    def __init__(self, world: World, name: str, incarnation: int, speed: float) -> None:
        self.name = name
        self.clock = VirtualClock(offset_s=1000.0 * incarnation, speed=speed)
        self.clock.now = world.now
        self.client = StoreClient(world.store)
        mesh = MemoryMesh(world.network, name, incarnation)
        self.admission = world.create(
            self.client, mesh, name, incarnation, clock=self.clock, times=world.times
        )
        self.set_rate(world.rate, version=1)
        self.membership: t.Coroutine[t.Any, t.Any, float] | None = None
        self.renew_at = 0.0
        self.promise_at = 0.0
        self.resumes_at = 0.0
        self.answer_at = 0.0
        self.paused = False

    @property
    def account(self) -> ShareAccount:
        return self.admission.accounts[WORKSPACE]

    def set_rate(self, rate: Rate | None, version: int) -> None:
        record = Record(kind="rate", name=WORKSPACE, version=version, body=rate)
        self.admission.update(record)

    def units(self) -> int:
        """Units in use now, computed apart from the account's own bookkeeping."""
        now = self.clock()
        lent = sum(loan.units for loan in self.account.lent if loan.until > now)
        borrowed = sum(loan.units for loan in self.account.borrowed if loan.until > now)
        return max(0, self.admission.lease.usable(now) - lent) + borrowed

    def drive(self, now: float) -> None:
        """Run what is due; a store call goes on only once its answer is due."""
        if now >= self.promise_at:
            self.admission.promises.request_promises(self.clock())
            self.promise_at = now + 0.5
        self.admission.tick(self.clock())
        if self.membership is None and now >= self.renew_at:
            self.membership = self.admission.membership.renew_once()
        if self.membership is not None and now >= self.answer_at:
            try:
                self.membership.send(None)
            except StopIteration as end:
                self.membership = None
                self.renew_at = now + end.value

    def close(self) -> None:
        if self.membership is not None:
            self.membership.close()

    def __del__(self) -> None:
        self.close()


class World:
    """All hosts, the store, the network, and the checks that hold at every moment."""

    def __init__(
        self,
        seed: int,
        hosts: int = 3,
        rate: float = 40.0,
        burst: float = 20.0,
        create: AdmissionFactory = ShareAdmission,
        times: ShareTimes | None = None,
        drift: float = 0.0,
        speeds: t.Mapping[str, float] | None = None,
    ) -> None:
        self.random = random.Random(seed)
        self.store = MemoryStore()
        self.network = MemoryNetwork(self.random, delay_s=0.01)
        self.now = 0.0
        self.times = times or ShareTimes()
        self.rate = Rate(requests_per_second=rate, burst=burst)
        self.create = create
        self.speeds = speeds or {}
        self.drift = max([drift, *(abs(speed - 1.0) for speed in self.speeds.values())])
        self.incarnation = 0
        self.admitted = 0
        self.refused = 0
        self.allowance = burst
        self.hosts: dict[str, Host] = {}
        for index in range(hosts):
            self.start(f"host-{index + 1}")

    def start(self, name: str) -> None:
        """Start a process; an older one of this name has ended."""
        self.incarnation += 1
        chosen = 1.0 + self.random.choice((-1.0, 0.0, 1.0)) * self.drift
        speed = self.speeds.get(name, chosen)
        self.hosts[name] = Host(self, name, self.incarnation, speed)

    def crash(self, name: str) -> None:
        self.hosts.pop(name).close()
        del self.network.meshes[name]

    def leave(self, name: str) -> bool:
        """Let a host give its units back; the store must answer."""
        admission = self.hosts[name].admission
        admission.exchange.closed = True
        if admission.lent_units(admission.clock()) > 0:
            return False
        return finish(admission.membership.leave()) is None

    def request(self, name: str) -> bool:
        host = self.hosts[name]
        admitted = host.admission.admit(WORKSPACE, host.clock()) is None
        self.admitted += admitted
        self.refused += not admitted
        self.allowance -= admitted
        assert self.allowance >= -ROUNDING, f"over rate and burst at {self.now:.2f} s"
        return admitted

    def step(self, seconds: float = STEP_S) -> None:
        """Advance time, deliver, let every host run, check."""
        self.now += seconds
        self.network.now = self.now
        # A host counts seconds on its own clock, which may run fast by the drift.
        fastest = self.rate.requests_per_second * (1.0 + self.drift)
        refilled = self.allowance + seconds * fastest
        self.allowance = min(self.rate.burst, refilled)
        for host in self.hosts.values():
            host.clock.now = self.now
            host.paused = self.now < host.resumes_at
        paused = {host.name for host in self.hosts.values() if host.paused}
        self._drop_to_the_dead()
        self.network.deliver(paused)
        for host in list(self.hosts.values()):
            if not host.paused:
                host.drive(self.now)
        self.check()

    def run(self, seconds: float, load: t.Mapping[str, float] | None = None) -> None:
        """Step for a while, with requests per second for each host."""
        owed = dict.fromkeys(load or {}, 0.0)
        for _ in range(round(seconds / STEP_S)):
            self.step()
            for name, per_second in (load or {}).items():
                owed[name] += per_second * STEP_S
                while owed[name] >= 1.0 - ROUNDING:
                    owed[name] -= 1.0
                    self.request(name)

    def check(self) -> None:
        """Assert that units and tokens are not more than there may be."""
        units = sum(host.units() for host in self.hosts.values())
        assert units <= TOTAL_UNITS, f"{units} units in use at {self.now:.2f} s"
        running = [host for host in self.hosts.values() if not host.paused]
        for host in running:
            host.account.settle(host.clock())
        tokens = sum(host.account.bucket.tokens for host in running)
        assert tokens <= self.rate.burst + ROUNDING, f"{tokens} tokens at {self.now:.2f} s"

    def _drop_to_the_dead(self) -> None:
        self.network.flights[:] = [
            flight for flight in self.network.flights if flight.target in self.network.meshes
        ]


def finish(coroutine: t.Coroutine[t.Any, t.Any, t.Any]) -> t.Any:
    """Run a coroutine whose store calls answer at once."""
    while True:
        try:
            coroutine.send(None)
        except StopIteration as end:
            return end.value
