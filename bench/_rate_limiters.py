"""Distributed rate limiters that enforce one workspace's rate over all hosts, in virtual time."""

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
ONE_WAY_DELAY_S = 0.01
STORE_CALL_DURATION_S = 0.005
TICK_INTERVAL_S = 0.05
PROMISE_REQUEST_INTERVAL_S = 0.5


class DistributedRateLimiter(t.Protocol):
    """Admits requests of one workspace at several hosts."""

    @property
    def messages(self) -> int:
        """Messages sent between hosts so far."""

    @property
    def store_calls(self) -> int:
        """Calls of the store so far."""

    def step(self, now: float) -> None:
        """Run the tasks that are due by ``now``, in seconds."""

    def admit(self, host: int, now: float, is_retry: bool = False) -> bool:
        """Return whether a host admits a request; ``is_retry`` if it was refused before."""


class CentralTokenBucket:
    """An ideal token bucket that all hosts share without any delay; real systems can't have it."""

    def __init__(self, rate: Rate) -> None:
        self.bucket = TokenBucket(rate.requests_per_second, rate.burst, 0.0)
        self.bucket.tokens = rate.burst
        self.messages = 0
        self.store_calls = 0

    def step(self, now: float) -> None:
        """Do nothing."""

    def admit(self, host: int, now: float, is_retry: bool = False) -> bool:
        """Consume a token."""
        return self.bucket.try_consume(1.0, now)


class StaticSplit:
    """Gives each host the same fixed fraction of rate and burst."""

    def __init__(self, rate: Rate) -> None:
        fraction = 1.0 / HOSTS
        self.buckets = [
            TokenBucket(rate.requests_per_second * fraction, rate.burst * fraction, 0.0)
            for _ in range(HOSTS)
        ]
        for bucket in self.buckets:
            bucket.tokens = bucket.burst
        self.messages = 0
        self.store_calls = 0

    def step(self, now: float) -> None:
        """Do nothing."""

    def admit(self, host: int, now: float, is_retry: bool = False) -> bool:
        """Consume a token of the host's bucket."""
        return self.buckets[host].try_consume(1.0, now)


class WorkspaceOwner(CentralTokenBucket):
    """Lets one host decide; a request at another host costs a round trip and two messages."""

    def admit(self, host: int, now: float, is_retry: bool = False) -> bool:
        """Ask host 0, which owns the workspace."""
        self.messages += 2 * (host != 0)
        return super().admit(host, now + 2 * ONE_WAY_DELAY_S * (host != 0))


class StoreCounter(CentralTokenBucket):
    """Lets hosts fetch batches of tokens from a counter in the store, with two calls per batch."""

    def __init__(self, rate: Rate) -> None:
        super().__init__(rate)
        self.batch_tokens = max(1.0, rate.requests_per_second / HOSTS * 0.1)
        self.held_tokens = [0.0] * HOSTS
        self.due_at: list[float | None] = [None] * HOSTS

    def step(self, now: float) -> None:
        """Deliver the requested batches that are due."""
        for host, due_at in enumerate(self.due_at):
            if due_at is not None and due_at <= now:
                self.bucket.refill(now)
                granted = min(self.batch_tokens, self.bucket.tokens)
                self.bucket.tokens -= granted
                self.held_tokens[host] += granted
                self.due_at[host] = None

    def admit(self, host: int, now: float, is_retry: bool = False) -> bool:
        """Consume a local token, and request the next batch when half a batch is left."""
        admitted = self.held_tokens[host] >= 1.0
        self.held_tokens[host] -= admitted
        if self.held_tokens[host] < self.batch_tokens / 2 and self.due_at[host] is None:
            self.due_at[host] = now + 2 * STORE_CALL_DURATION_S
            self.store_calls += 2
        return admitted


class ShareRateLimiter:
    """The project's ``ShareAdmission`` with a store and a mesh in memory."""

    def __init__(self, rate: Rate, seed: int = 1) -> None:
        self.rate = rate
        self.store = MemoryStore()
        self.network = MemoryNetwork(random.Random(seed), delay_s=ONE_WAY_DELAY_S, jitter_s=0.002)
        self.clock = VirtualClock()
        self.clients = [StoreClient(self.store) for _ in range(HOSTS)]
        self.hosts: list[ShareAdmission | None] = [
            self._start_host(index) for index in range(HOSTS)
        ]
        self.next_renewal_at = [index * 0.1 for index in range(HOSTS)]
        self.next_tick_at = 0.0
        self.next_promise_request_at = 0.0

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
            if host is not None and now >= self.next_renewal_at[index]:
                self.next_renewal_at[index] = now + run_to_completion(host.membership.renew_once())
        if now >= self.next_tick_at:
            self.next_tick_at = now + TICK_INTERVAL_S
            for host in self._running_hosts():
                host.tick(now)
        if now >= self.next_promise_request_at:
            self.next_promise_request_at = now + PROMISE_REQUEST_INTERVAL_S
            for host in self._running_hosts():
                host.promises.request_promises(now)

    def admit(self, host: int, now: float, is_retry: bool = False) -> bool:
        """Ask the admission of the host."""
        admission = self.hosts[host]
        if admission is None:
            return False
        decide = admission.retry_admit if is_retry else admission.admit
        return decide(WORKSPACE, now) is None

    def crash(self, host: int) -> None:
        """Stop a host without a shutdown."""
        self.hosts[host] = None
        self.network.meshes[_name(host)].handlers.clear()

    def cut_store(self, hosts: t.Iterable[int]) -> None:
        """Disconnect hosts from the store."""
        for host in hosts:
            self.clients[host].reachable = False

    def cut_links(self, hosts: t.Collection[int]) -> None:
        """Disconnect hosts from all other hosts."""
        self.network.cut_links = {
            frozenset((_name(index), _name(other)))
            for index in hosts
            for other in range(HOSTS)
            if other not in hosts
        }

    def set_rate(self, rate: Rate | None, hosts: t.Iterable[int]) -> None:
        """Apply a rate at some hosts; ``None`` withdraws it."""
        record = Record(kind="rate", name=WORKSPACE, version=2, body=rate)
        for host in hosts:
            admission = self.hosts[host]
            if admission is not None:
                admission.update(record)

    def _start_host(self, index: int) -> ShareAdmission:
        mesh = MemoryMesh(self.network, _name(index), 1)
        client = self.clients[index]
        admission = ShareAdmission(client, mesh, _name(index), 1, clock=self.clock)
        admission.update(Record(kind="rate", name=WORKSPACE, version=1, body=self.rate))
        return admission

    def _running_hosts(self) -> list[ShareAdmission]:
        return [host for host in self.hosts if host is not None]


def _name(index: int) -> str:
    return f"host-{index}"


def run_to_completion(coroutine: t.Coroutine[t.Any, t.Any, float]) -> float:
    while True:
        try:
            coroutine.send(None)
        except StopIteration as result:
            return float(result.value)
