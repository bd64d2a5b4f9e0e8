"""Ways to hold one workspace's rate over all hosts, in virtual time."""

from __future__ import annotations

import random
import typing as t

from radishbridge.records import Rate, Record
from radishbridge.shares import ShareAdmission, TokenBucket
from radishbridge_standin.memory import (
    MemoryMesh,
    MemoryNetwork,
    MemoryStore,
    StoreClient,
    VirtualClock,
)

WORKSPACE = "depot"
HOSTS = 10
ONE_WAY_S = 0.01
STORE_CALL_S = 0.005
TICK_S = 0.05
PROMISE_EVERY_S = 0.5


class Way(t.Protocol):
    """A way to admit requests."""

    @property
    def messages(self) -> int:
        """Messages sent between hosts so far."""

    @property
    def store_calls(self) -> int:
        """Calls of the store so far."""

    def step(self, now: float) -> None:
        """Do what is due by ``now``, in seconds."""

    def admit(self, host: int, now: float, again: bool = False) -> bool:
        """Decide on a request that arrives at a host; ``again`` if it was refused before."""


class CentralBucket:
    """The naive version that knows everything at once; no real system can be it."""

    def __init__(self, rate: Rate) -> None:
        self.bucket = TokenBucket(rate.requests_per_second, rate.burst, 0.0)
        self.bucket.tokens = rate.burst
        self.messages = 0
        self.store_calls = 0

    def step(self, now: float) -> None:
        """Do nothing."""

    def admit(self, host: int, now: float, again: bool = False) -> bool:
        """Spend a token."""
        return self.bucket.try_consume(1.0, now)


class StaticSplit:
    """Each host has the same part for ever."""

    def __init__(self, rate: Rate) -> None:
        part = 1.0 / HOSTS
        self.buckets = [
            TokenBucket(rate.requests_per_second * part, rate.burst * part, 0.0)
            for _ in range(HOSTS)
        ]
        for bucket in self.buckets:
            bucket.tokens = bucket.burst
        self.messages = 0
        self.store_calls = 0

    def step(self, now: float) -> None:
        """Do nothing."""

    def admit(self, host: int, now: float, again: bool = False) -> bool:
        """Spend a token of the host's part."""
        return self.buckets[host].try_consume(1.0, now)


class OwnerPerWorkspace(CentralBucket):
    """One host decides; each request elsewhere costs a round trip and two messages."""

    def admit(self, host: int, now: float, again: bool = False) -> bool:
        """Ask the owner, host 0."""
        self.messages += 2 * (host != 0)
        return super().admit(host, now + 2 * ONE_WAY_S * (host != 0))


class StoreCounters(CentralBucket):
    """Hosts take batches of tokens from a counter in the store; two calls for each batch."""

    def __init__(self, rate: Rate) -> None:
        super().__init__(rate)
        self.batch = max(1.0, rate.requests_per_second / HOSTS * 0.1)
        self.held = [0.0] * HOSTS
        self.due: list[float | None] = [None] * HOSTS

    def step(self, now: float) -> None:
        """Hand out the batches that are due."""
        for host, due in enumerate(self.due):
            if due is not None and due <= now:
                self.bucket.refill(now)
                taken = min(self.batch, self.bucket.tokens)
                self.bucket.tokens -= taken
                self.held[host] += taken
                self.due[host] = None

    def admit(self, host: int, now: float, again: bool = False) -> bool:
        """Spend a token held here and ask for the next batch in time."""
        admitted = self.held[host] >= 1.0
        self.held[host] -= admitted
        if self.held[host] < self.batch / 2 and self.due[host] is None:
            self.due[host] = now + 2 * STORE_CALL_S
            self.store_calls += 2
        return admitted


class Shares:
    """This project's shares, the real classes over a store and a mesh in memory."""

    def __init__(self, rate: Rate, seed: int = 1) -> None:
        self.rate = rate
        self.store = MemoryStore()
        self.network = MemoryNetwork(random.Random(seed), delay_s=ONE_WAY_S, jitter_s=0.002)
        self.clock = VirtualClock()
        self.clients = [StoreClient(self.store) for _ in range(HOSTS)]
        self.hosts: list[ShareAdmission | None] = [self._start(one) for one in range(HOSTS)]
        self.renew_at = [one * 0.1 for one in range(HOSTS)]
        self.tick_at = 0.0
        self.promise_at = 0.0

    @property
    def messages(self) -> int:
        """Messages sent so far."""
        return self.network.messages_sent

    @property
    def store_calls(self) -> int:
        """Calls of the store so far."""
        return self.store.calls

    def step(self, now: float) -> None:
        """Deliver messages and run the hosts' tasks."""
        self.clock.now = self.network.now = now
        self.network.deliver()
        for index, host in enumerate(self.hosts):
            if host is not None and now >= self.renew_at[index]:
                self.renew_at[index] = now + _finish(host.membership.renew_once())
        if now >= self.tick_at:
            self.tick_at = now + TICK_S
            for host in self._running():
                host.tick(now)
        if now >= self.promise_at:
            self.promise_at = now + PROMISE_EVERY_S
            for host in self._running():
                host.promises.request_promises(now)

    def admit(self, host: int, now: float, again: bool = False) -> bool:
        """Ask the host's own admission."""
        admission = self.hosts[host]
        if admission is None:
            return False
        decide = admission.retry_admit if again else admission.admit
        return decide(WORKSPACE, now) is None

    def crash(self, host: int) -> None:
        """End a host at once."""
        self.hosts[host] = None
        self.network.meshes[_name(host)].handlers.clear()

    def cut_store(self, hosts: t.Iterable[int]) -> None:
        """Cut hosts from the store."""
        for host in hosts:
            self.clients[host].reachable = False

    def cut_links(self, hosts: t.Collection[int]) -> None:
        """Cut hosts from all other hosts."""
        self.network.cut_links = {
            frozenset((_name(one), _name(other)))
            for one in hosts
            for other in range(HOSTS)
            if other not in hosts
        }

    def set_rate(self, rate: Rate | None, hosts: t.Iterable[int]) -> None:
        """Put a rate in force at some hosts."""
        record = Record(kind="rate", name=WORKSPACE, version=2, body=rate)
        for host in hosts:
            admission = self.hosts[host]
            if admission is not None:
                admission.update(record)

    def _start(self, index: int) -> ShareAdmission:
        mesh = MemoryMesh(self.network, _name(index), 1)
        client = self.clients[index]
        admission = ShareAdmission(client, mesh, _name(index), 1, clock=self.clock)
        admission.update(Record(kind="rate", name=WORKSPACE, version=1, body=self.rate))
        return admission

    def _running(self) -> list[ShareAdmission]:
        return [host for host in self.hosts if host is not None]


def _name(index: int) -> str:
    return f"host-{index}"


def _finish(coroutine: t.Coroutine[t.Any, t.Any, float]) -> float:
    while True:
        try:
            coroutine.send(None)
        except StopIteration as end:
            return float(end.value)
