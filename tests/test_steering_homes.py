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
PLAYED_S = 30.0
# Until then the hosts have no sum yet, in seconds.
BEGUN_S = 6.0


class Shape(t.NamedTuple):
    """A fleet and the servers of one region.

    :param run_s: time in seconds that a run takes on the mean.
    :param deadline_s: time in seconds after which callers give up.
    :param sum_s: pause in seconds between two sums.
    """

    hosts: int
    servers: int
    slots: int
    run_s: float
    deadline_s: float
    sum_s: float

    @property
    def all_slots(self) -> int:
        return self.servers * self.slots


LARGE = Shape(hosts=40, servers=11, slots=6, run_s=1.0, deadline_s=2.5, sum_s=0.5)
SMALL = Shape(hosts=9, servers=2, slots=3, run_s=0.3, deadline_s=1.2, sum_s=0.2)


class Server:
    """Runs some requests at once and queues all others in order."""

    def __init__(self, slots: int) -> None:
        self.slots = asyncio.Semaphore(slots)

    async def run(self, seconds: float) -> None:
        async with self.slots:
            await asyncio.sleep(seconds)


class Host:
    def __init__(self, first_credit: float) -> None:
        self.meter = HomeMeter(time.monotonic())
        self.admission = HomeAdmission(first_credit)


class Overload:
    """Callers of one home region send several times what its servers can run, to all hosts.

    Load pattern: no host sends enough to a server to know its queue.
    """

    def __init__(self, shape: Shape, demand: float, is_bounded: bool) -> None:
        self.shape = shape
        self.rng = random.Random(7)
        self.demand = demand
        self.is_bounded = is_bounded
        self.servers = [Server(shape.slots) for _ in range(shape.servers)]
        self.hosts = [Host(number / shape.hosts) for number in range(shape.hosts)]
        self.refused = 0
        self.late = 0
        self.in_time = 0

    async def play(self) -> None:
        begun = time.monotonic()
        arrivals_per_s = self.demand * self.shape.all_slots / self.shape.run_s
        async with asyncio.TaskGroup() as group:
            summing = group.create_task(self.sum_up())
            while time.monotonic() < begun + PLAYED_S:
                await asyncio.sleep(self.rng.expovariate(arrivals_per_s))
                counts = time.monotonic() > begun + BEGUN_S
                group.create_task(self.serve(self.rng.choice(self.hosts), counts))
            summing.cancel()

    async def serve(self, host: Host, counts: bool) -> None:
        now = time.monotonic()
        host.meter.record_request(now)
        if not host.admission.admits(HOME):
            self.refused += counts
            return
        host.meter.start(now)
        try:
            async with asyncio.timeout(self.shape.deadline_s):
                run_s = self.rng.uniform(0.5, 1.5) * self.shape.run_s
                await self.rng.choice(self.servers).run(run_s)
            self.in_time += counts
        except TimeoutError:
            self.late += counts
        finally:
            host.meter.finish()

    async def sum_up(self) -> None:
        while self.is_bounded:
            await asyncio.sleep(self.shape.sum_s)
            demands = [host.meter.demand(time.monotonic()) for host in self.hosts]
            total = sum(demands, HomeDemand())
            await asyncio.sleep(0.1)
            for host in self.hosts:
                host.admission.update(HOME, total, self.shape.all_slots)

    @property
    def used(self) -> float:
        """Answers in time by those that the servers could give."""
        most = self.shape.all_slots * (PLAYED_S - BEGUN_S) / self.shape.run_s
        return self.in_time / most


def play(shape: Shape, demand: float, monkeypatch, is_bounded: bool = True) -> Overload:
    async def run() -> Overload:
        overload = Overload(shape, demand, is_bounded)
        await overload.play()
        return overload

    return virtual_time.run(run(), monkeypatch)


@pytest.mark.parametrize("shape", [LARGE, SMALL], ids=["large", "small"])
class TestHomeBoundOverload:
    @pytest.mark.parametrize("demand", [1.5, 3.0, 6.0])
    def test_most_of_what_is_sent_is_answered_in_time(self, shape, demand, monkeypatch):
        overload = play(shape, demand, monkeypatch)
        assert overload.used > 0.75
        assert overload.late < 0.1 * overload.in_time

    def test_without_a_bound_most_of_it_passes_its_deadline(self, shape, monkeypatch):
        overload = play(shape, 3.0, monkeypatch, is_bounded=False)
        assert overload.late > overload.in_time

    def test_what_the_servers_can_run_is_not_refused(self, shape, monkeypatch):
        overload = play(shape, 0.7, monkeypatch)
        assert overload.refused < 0.02 * overload.in_time


class TestHomeAdmission:
    def test_a_part_is_let_through_evenly(self):
        admission = HomeAdmission(0.5)
        admission.update(HOME, HomeDemand(100.0, 10.0, 10), 25)
        admitted = [admission.admits(HOME) for _ in range(400)]
        assert sum(admitted) == pytest.approx(400 * (25 + 2 * 5) / 100, abs=1.0)
        gaps = [len(list(run)) for refused, run in itertools.groupby(admitted) if not refused]
        assert max(gaps) <= 3

    def test_few_requests_of_each_host_are_let_through_in_part_too(self):
        admissions = [HomeAdmission(number / 100) for number in range(100)]
        for admission in admissions:
            admission.update(HOME, HomeDemand(100.0, 10.0, 10), 50)
        admitted = sum(admission.admits(HOME) for admission in admissions)
        assert admitted == pytest.approx(50 + 2 * 50**0.5, abs=1.0)

    def test_all_are_let_through_once_there_is_room(self):
        admission = HomeAdmission(0.5)
        admission.update(HOME, HomeDemand(100.0, 10.0, 10), 25)
        admission.update(HOME, HomeDemand(20.0, 10.0, 10), 25)
        assert all(admission.admits(HOME) for _ in range(50))

    def test_a_region_without_requests_keeps_the_time_last_known(self):
        admission = HomeAdmission(0.5)
        assert admission.update(HOME, HomeDemand(100.0, 0.0, 0), 25) == 0.0
        assert admission.admits(HOME)
        admission.update(HOME, HomeDemand(100.0, 10.0, 20), 25)
        assert admission.update(HOME, HomeDemand(50.0, 0.0, 0), 25) == pytest.approx(100.0)

    def test_a_single_slot_that_was_blocked_for_long_gets_all_it_can_run_again(self):
        admission = HomeAdmission(0.5)
        admission.update(HOME, HomeDemand(20.0, 20.0, 200), 1)
        for _ in range(20):
            part = admission.admitted_fractions.get(HOME, 1.0)
            # From now on a request is under way for 0.1 s.
            admission.update(HOME, HomeDemand(20.0, 20.0 * part, round(2.0 * part)), 1)
        assert not admission.admitted_fractions

    def test_a_region_without_servers_is_left_to_the_choice_of_servers(self):
        admission = HomeAdmission(0.5)
        admission.update(HOME, HomeDemand(100.0, 10.0, 10), 0)
        assert admission.admits(HOME)
