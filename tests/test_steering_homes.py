from __future__ import annotations

import asyncio
import itertools
import random
import time
import typing as t

import pytest
import virtual_time

from radishbridge.steering import HomeAdmission, HomeDemand, HomeMeter, HomeRegion

HOME = HomeRegion("catalogue", "east")
DURATION_S = 30.0
# Time in seconds at the start, before the hosts have a summary, that is not measured.
WARM_UP_S = 6.0


class Shape(t.NamedTuple):
    """A fleet and the servers of one region.

    :param run_s: mean duration of a run in seconds.
    :param deadline_s: time in seconds after which callers give up.
    :param summary_interval_s: interval in seconds between two summaries.
    """

    hosts: int
    servers: int
    slots: int
    run_s: float
    deadline_s: float
    summary_interval_s: float

    @property
    def all_slots(self) -> int:
        return self.servers * self.slots


LARGE = Shape(hosts=40, servers=11, slots=6, run_s=1.0, deadline_s=2.5, summary_interval_s=0.5)
SMALL = Shape(hosts=9, servers=2, slots=3, run_s=0.3, deadline_s=1.2, summary_interval_s=0.2)


class Server:
    """Backend server that runs some requests concurrently and queues the others in order."""

    def __init__(self, slots: int) -> None:
        self.slots = asyncio.Semaphore(slots)

    async def run(self, seconds: float) -> None:
        async with self.slots:
            await asyncio.sleep(seconds)


class Host:
    def __init__(self, initial_credit: float) -> None:
        self.meter = HomeMeter(time.monotonic())
        self.admission = HomeAdmission(initial_credit)


class Overload:
    """Callers of one home region send several times what its servers can run, to all hosts.

    No host sends enough requests to a server to know its queue.
    """

    def __init__(self, shape: Shape, demand: float, is_limited: bool) -> None:
        self.shape = shape
        self.rng = random.Random(7)
        self.demand = demand
        self.is_limited = is_limited
        self.servers = [Server(shape.slots) for _ in range(shape.servers)]
        self.hosts = [Host(number / shape.hosts) for number in range(shape.hosts)]
        self.refused = 0
        self.late = 0
        self.in_time = 0

    async def simulate(self) -> None:
        started_at = time.monotonic()
        arrivals_per_s = self.demand * self.shape.all_slots / self.shape.run_s
        async with asyncio.TaskGroup() as group:
            publisher = group.create_task(self.publish_summaries())
            while time.monotonic() < started_at + DURATION_S:
                await asyncio.sleep(self.rng.expovariate(arrivals_per_s))
                is_measured = time.monotonic() > started_at + WARM_UP_S
                group.create_task(self.serve(self.rng.choice(self.hosts), is_measured))
            publisher.cancel()

    async def serve(self, host: Host, is_measured: bool) -> None:
        now = time.monotonic()
        host.meter.record_request(now)
        if not host.admission.admits(HOME):
            self.refused += is_measured
            return
        host.meter.start(now)
        try:
            async with asyncio.timeout(self.shape.deadline_s):
                run_s = self.rng.uniform(0.5, 1.5) * self.shape.run_s
                await self.rng.choice(self.servers).run(run_s)
            self.in_time += is_measured
        except TimeoutError:
            self.late += is_measured
        finally:
            host.meter.finish()

    async def publish_summaries(self) -> None:
        while self.is_limited:
            await asyncio.sleep(self.shape.summary_interval_s)
            demands = [host.meter.demand(time.monotonic()) for host in self.hosts]
            total = sum(demands, HomeDemand())
            await asyncio.sleep(0.1)
            for host in self.hosts:
                host.admission.update(HOME, total, self.shape.all_slots)

    @property
    def utilization(self) -> float:
        """Responses in time as a fraction of those that the servers could send."""
        capacity = self.shape.all_slots * (DURATION_S - WARM_UP_S) / self.shape.run_s
        return self.in_time / capacity


def run_overload(shape: Shape, demand: float, monkeypatch, is_limited: bool = True) -> Overload:
    async def run() -> Overload:
        overload = Overload(shape, demand, is_limited)
        await overload.simulate()
        return overload

    return virtual_time.run(run(), monkeypatch)


@pytest.mark.parametrize("shape", [LARGE, SMALL], ids=["large", "small"])
class TestHomeBoundOverload:
    @pytest.mark.parametrize("demand", [1.5, 3.0, 6.0])
    def test_most_capacity_serves_requests_in_time(self, shape, demand, monkeypatch):
        overload = run_overload(shape, demand, monkeypatch)
        assert overload.utilization > 0.75
        assert overload.late < 0.1 * overload.in_time

    def test_without_admission_most_requests_exceed_their_deadline(self, shape, monkeypatch):
        overload = run_overload(shape, 3.0, monkeypatch, is_limited=False)
        assert overload.late > overload.in_time

    def test_requests_within_capacity_are_not_refused(self, shape, monkeypatch):
        overload = run_overload(shape, 0.7, monkeypatch)
        assert overload.refused < 0.02 * overload.in_time


class TestHomeAdmission:
    def test_a_fraction_is_admitted_at_even_intervals(self):
        admission = HomeAdmission(0.5)
        admission.update(HOME, HomeDemand(100.0, 10.0, 10), 25)
        admitted = [admission.admits(HOME) for _ in range(400)]
        assert sum(admitted) == pytest.approx(400 * (25 + 2 * 5) / 100, abs=1.0)
        gaps = [len(list(run)) for refused, run in itertools.groupby(admitted) if not refused]
        assert max(gaps) <= 3

    def test_hosts_with_a_single_request_admit_the_fraction_together(self):
        admissions = [HomeAdmission(number / 100) for number in range(100)]
        for admission in admissions:
            admission.update(HOME, HomeDemand(100.0, 10.0, 10), 50)
        admitted = sum(admission.admits(HOME) for admission in admissions)
        assert admitted == pytest.approx(50 + 2 * 50**0.5, abs=1.0)

    def test_all_requests_are_admitted_once_there_is_capacity(self):
        admission = HomeAdmission(0.5)
        admission.update(HOME, HomeDemand(100.0, 10.0, 10), 25)
        admission.update(HOME, HomeDemand(20.0, 10.0, 10), 25)
        assert all(admission.admits(HOME) for _ in range(50))

    def test_a_region_without_requests_keeps_the_last_known_duration(self):
        admission = HomeAdmission(0.5)
        assert admission.update(HOME, HomeDemand(100.0, 0.0, 0), 25) == 0.0
        assert admission.admits(HOME)
        admission.update(HOME, HomeDemand(100.0, 10.0, 20), 25)
        assert admission.update(HOME, HomeDemand(50.0, 0.0, 0), 25) == pytest.approx(100.0)

    def test_a_single_slot_that_was_blocked_for_long_gets_its_full_load_again(self):
        admission = HomeAdmission(0.5)
        admission.update(HOME, HomeDemand(20.0, 20.0, 200), 1)
        for _ in range(20):
            fraction = admission.admitted_fractions.get(HOME, 1.0)
            # From now on a request is in flight for 0.1 s.
            admission.update(HOME, HomeDemand(20.0, 20.0 * fraction, round(2.0 * fraction)), 1)
        assert not admission.admitted_fractions

    def test_requests_for_a_region_without_servers_are_admitted(self):
        admission = HomeAdmission(0.5)
        admission.update(HOME, HomeDemand(100.0, 10.0, 10), 0)
        assert admission.admits(HOME)
