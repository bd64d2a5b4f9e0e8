"""Hosts with replicas of the store, over a fake store and a fake mesh, in virtual time."""

from __future__ import annotations

import asyncio
import random

import msgspec

from radishbridge.records import RecordBody, encode_record
from radishbridge.store import (
    Freshness,
    HostEntry,
    Relay,
    RelaySettings,
    Replica,
    StoredObject,
)
from radishbridge_standin.fake import FakeStore
from radishbridge_standin.mesh import FakeNetwork
from radishbridge_standin.table import ObjectTable, Write

STEP_S = 0.25
SETTLE_ROUNDS = 12
WATCH_HEARTBEAT_INTERVAL_S = 1.0


class VirtualClock:
    """A clock that moves only by ``advance``, and a ``sleep`` that follows it."""

    __slots__ = ("now", "sleepers")

    def __init__(self) -> None:
        self.now = 1000.0
        self.sleepers: list[tuple[float, asyncio.Future[None]]] = []

    def __call__(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        """Wait until the clock has advanced by a number of seconds."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.sleepers.append((self.now + seconds, future))
        await future

    def advance(self, seconds: float) -> None:
        """Advance the clock and wake the sleepers that are due."""
        self.now += seconds
        due = [future for at, future in self.sleepers if at <= self.now]
        self.sleepers = [sleeper for sleeper in self.sleepers if sleeper[0] > self.now]
        for future in due:
            if not future.done():
                future.set_result(None)


class Location(msgspec.Struct, kw_only=True, frozen=True):
    """Name, region and data centre of a host."""

    name: str
    region: str
    data_center: str


class ReplicaHost:
    """One host with its own client of the store, its replica and its relay."""

    __slots__ = ("freshness", "location", "relay", "replica", "store")

    def __init__(self, fleet: ReplicaFleet, location: Location) -> None:
        self.location = location
        self.store = FakeStore(fleet.table, sleep=fleet.clock.sleep)
        self.replica = Replica(fleet.clock)
        self.freshness = Freshness(self.replica, fleet.store_region)
        self.relay = Relay(
            RelaySettings(
                host=location.name,
                region=location.region,
                data_center=location.data_center,
                store_region=fleet.store_region,
            ),
            self.store,
            self.replica,
            fleet.network.join(location.name, location.region, location.data_center),
            random.Random(f"{fleet.seed}-{location.name}"),
            freshness=self.freshness,
            clock=fleet.clock,
            sleep=fleet.clock.sleep,
        )

    def is_fresh(self) -> bool:
        """Return whether the host's keys are fresh enough to serve keyed requests."""
        return self.freshness.is_fresh(self.replica.clock())


class ReplicaFleet:
    """Several hosts over one object table and one fake network, advanced in steps."""

    __slots__ = ("clock", "hosts", "network", "seed", "store_region", "table")

    def __init__(self, locations: list[Location], store_region: str, seed: int = 1) -> None:
        self.seed = seed
        self.store_region = store_region
        self.clock = VirtualClock()
        self.table = ObjectTable(self.clock)
        self.network = FakeNetwork(random.Random(seed))
        self.hosts: dict[str, ReplicaHost] = {}
        for location in locations:
            self.start(location)

    def start(self, location: Location) -> ReplicaHost:
        """Start a host; one of the same name is replaced, as by a restart."""
        self.stop(location.name)
        self.hosts[location.name] = ReplicaHost(self, location)
        return self.hosts[location.name]

    def stop(self, name: str) -> None:
        """Remove a host without notice, as a crash does."""
        host = self.hosts.pop(name, None)
        if host is not None:
            self.network.leave(name)
            if host.relay.feed_task is not None:
                host.relay.feed_task.cancel()

    def write(self, kind: str, name: str, body: RecordBody) -> StoredObject:
        """Write a record to the store, whatever its current version."""
        previous = self.table.objects.get((kind, name))
        version = 0 if previous is None else previous.version
        value = encode_record(kind, body)
        write = Write(kind=kind, name=name, value=value, expected_version=version)
        stored = self.table.write(write)
        assert stored is not None
        return stored

    def announce_hosts(self) -> None:
        """Publish the running hosts in the platform's list of hosts."""
        self.table.set_hosts(
            [
                HostEntry(
                    name=host.location.name,
                    region=host.location.region,
                    data_center=host.location.data_center,
                    address="127.0.0.1:1",
                    admin_address="127.0.0.1:2",
                    peer_address="127.0.0.1:3",
                )
                for host in self.hosts.values()
            ]
        )

    async def run(self, seconds: float) -> None:
        """Advance the time in steps; each step runs the relays and delivers messages."""
        for step in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            if step % round(WATCH_HEARTBEAT_INTERVAL_S / STEP_S) == 0:
                self.table.notify()
            for host in list(self.hosts.values()):
                host.relay.tick(self.clock.now)
            await self.settle()

    async def settle(self) -> None:
        """Run tasks and deliver messages for ``SETTLE_ROUNDS`` rounds at the current time."""
        for _ in range(SETTLE_ROUNDS):
            self.network.deliver()
            await asyncio.sleep(0)

    async def close(self) -> None:
        """Stop all hosts."""
        tasks = [host.relay.feed_task for host in self.hosts.values()]
        for name in list(self.hosts):
            self.stop(name)
        await asyncio.gather(*(task for task in tasks if task), return_exceptions=True)
