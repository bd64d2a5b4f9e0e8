"""Simulates hosts that share one workspace's rate limit, in virtual time."""

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
ROUNDING_TOLERANCE = 1e-6

AdmissionFactory = t.Callable[..., ShareAdmission]


class Host:
    """One process with its own clock, store client and mesh."""

    def __init__(self, world: World, name: str, incarnation: int, speed: float) -> None:
        self.name = name
        self.clock = VirtualClock(offset_s=1000.0 * incarnation, speed=speed)
        self.clock.now = world.now
        self.client = StoreClient(world.store)
        mesh = MemoryMesh(world.network, name, incarnation)
        self.admission = world.create_admission(
            self.client, mesh, name, incarnation, clock=self.clock, times=world.times
        )
        self.set_rate(world.rate, version=1)
        self.membership: t.Coroutine[t.Any, t.Any, float] | None = None
        self.next_renewal_at = 0.0
        self.next_promise_request_at = 0.0
        self.resumes_at = 0.0
        self.store_answer_at = 0.0
        self.paused = False

    @property
    def account(self) -> ShareAccount:
        return self.admission.accounts[WORKSPACE]

    def set_rate(self, rate: Rate | None, version: int) -> None:
        record = Record(kind="rate", name=WORKSPACE, version=version, body=rate)
        self.admission.update(record)

    def units(self) -> int:
        """Return the units in use now, computed independently of ``ShareAccount.units``."""
        now = self.clock()
        lent = sum(loan.units for loan in self.account.lent_loans if loan.expires_at > now)
        borrowed = sum(loan.units for loan in self.account.borrowed_loans if loan.expires_at > now)
        return max(0, self.admission.lease.usable_units(now) - lent) + borrowed

    def run_due_tasks(self, now: float) -> None:
        """Run the tasks that are due; a pending store call resumes at ``store_answer_at``."""
        if now >= self.next_promise_request_at:
            self.admission.promises.request_promises(self.clock())
            self.next_promise_request_at = now + 0.5
        self.admission.tick(self.clock())
        if self.membership is None and now >= self.next_renewal_at:
            self.membership = self.admission.membership.renew_once()
        if self.membership is not None and now >= self.store_answer_at:
            try:
                self.membership.send(None)
            except StopIteration as end:
                self.membership = None
                self.next_renewal_at = now + end.value

    def close(self) -> None:
        if self.membership is not None:
            self.membership.close()

    def __del__(self) -> None:
        self.close()


class World:
    """All hosts, the store and the network, with invariants that are checked after each step.

    ``allowance`` is the number of tokens in an ideal bucket with the whole rate and burst; the
    hosts together must never admit more requests than it has tokens.

    :param drift: maximum deviation of a host's clock speed from 1.
    :param speeds: clock speeds by host; the others are chosen at random within ``drift``.
    """

    def __init__(
        self,
        seed: int,
        hosts: int = 3,
        rate: float = 40.0,
        burst: float = 20.0,
        create_admission: AdmissionFactory = ShareAdmission,
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
        self.create_admission = create_admission
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
        """Start a process of a host whose previous process has ended."""
        self.incarnation += 1
        random_speed = 1.0 + self.random.choice((-1.0, 0.0, 1.0)) * self.drift
        speed = self.speeds.get(name, random_speed)
        self.hosts[name] = Host(self, name, self.incarnation, speed)

    def crash(self, name: str) -> None:
        self.hosts.pop(name).close()
        del self.network.meshes[name]

    def leave(self, name: str) -> bool:
        """Let a host give its units back; the store has to be reachable.

        :return: whether the host left; it can't while units are lent out.
        """
        admission = self.hosts[name].admission
        admission.exchange.closed = True
        if admission.lent_units(admission.clock()) > 0:
            return False
        return run_to_completion(admission.membership.leave()) is None

    def request(self, name: str) -> bool:
        host = self.hosts[name]
        admitted = host.admission.admit(WORKSPACE, host.clock()) is None
        self.admitted += admitted
        self.refused += not admitted
        self.allowance -= admitted
        assert self.allowance >= -ROUNDING_TOLERANCE, f"over rate and burst at {self.now:.2f} s"
        return admitted

    def step(self, seconds: float = STEP_S) -> None:
        """Advance time, deliver messages, run the hosts' due tasks and check the invariants."""
        self.now += seconds
        self.network.now = self.now
        # Hosts measure time with their own clocks, which may run fast by the drift.
        fastest = self.rate.requests_per_second * (1.0 + self.drift)
        refilled = self.allowance + seconds * fastest
        self.allowance = min(self.rate.burst, refilled)
        for host in self.hosts.values():
            host.clock.now = self.now
            host.paused = self.now < host.resumes_at
        paused = {host.name for host in self.hosts.values() if host.paused}
        self._drop_messages_to_stopped_hosts()
        self.network.deliver(paused)
        for host in list(self.hosts.values()):
            if not host.paused:
                host.run_due_tasks(self.now)
        self.check()

    def run(self, seconds: float, load: t.Mapping[str, float] | None = None) -> None:
        """Step for a while.

        :param load: requests per second by host.
        """
        due_requests = dict.fromkeys(load or {}, 0.0)
        for _ in range(round(seconds / STEP_S)):
            self.step()
            for name, per_second in (load or {}).items():
                due_requests[name] += per_second * STEP_S
                while due_requests[name] >= 1.0 - ROUNDING_TOLERANCE:
                    due_requests[name] -= 1.0
                    self.request(name)

    def check(self) -> None:
        """Assert that no more units and tokens are in use than exist in total."""
        units = sum(host.units() for host in self.hosts.values())
        assert units <= TOTAL_UNITS, f"{units} units in use at {self.now:.2f} s"
        running = [host for host in self.hosts.values() if not host.paused]
        for host in running:
            host.account.refresh(host.clock())
        tokens = sum(host.account.bucket.tokens for host in running)
        assert (
            tokens <= self.rate.burst + ROUNDING_TOLERANCE
        ), f"{tokens} tokens at {self.now:.2f} s"

    def _drop_messages_to_stopped_hosts(self) -> None:
        self.network.pending[:] = [
            queued for queued in self.network.pending if queued.target in self.network.meshes
        ]


def run_to_completion(coroutine: t.Coroutine[t.Any, t.Any, t.Any]) -> t.Any:
    """Run a coroutine whose store calls are answered at once, and return its result."""
    while True:
        try:
            coroutine.send(None)
        except StopIteration as end:
            return end.value
