from __future__ import annotations

import asyncio
import contextlib
import random
import types
import typing as t

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishbridge.records import Failure, ResultCode
from radishbridge.store import Lease, LeaseSettings, StoredObject, steady_clock
from radishbridge_standin.fake import FakeStore
from radishbridge_standin.replicas import SETTLE_ROUNDS, VirtualClock
from radishbridge_standin.table import ObjectTable, Write

DURATION_S = 10.0
MARGIN_S = 2.0
# The clocks' rates differ by 10 %, which the margin covers: 10 s * 1.05 / 0.95 = 11.05 s < 12 s.
CLOCK_RATES = [0.95, 1.05, 1.0]


@types.coroutine
def yield_once() -> t.Generator[None, None, None]:
    yield


class LeaseCountedFromAnswer(Lease):
    """Faulty: counts the validity from after the response to the renewal."""

    __slots__ = ()

    def _mark_held(self, version: int, sent_at: float) -> None:
        super()._mark_held(version, self.clock())


class LeaseSeenBeforeRead(Lease):
    """Faulty: counts the wait before a takeover from before the read that showed the lease."""

    __slots__ = ("read_sent_at",)

    async def renew(self) -> Failure | None:
        self.read_sent_at = self.clock()
        return await super().renew()

    async def _renew_or_take_over(self, stored: StoredObject) -> Failure | None:
        if stored.version != self.seen_version:
            self.seen_version, self.seen_at = stored.version, self.read_sent_at
        return await super()._renew_or_take_over(stored)


class LeaseExtendedWhenUnclear(Lease):
    """Faulty: assumes that a renewal with an unknown outcome took effect."""

    __slots__ = ()

    async def _write(self, expected_version: int) -> StoredObject | Failure:
        result = await super()._write(expected_version)
        if isinstance(result, Failure) and result.code is ResultCode.WRITE_UNCLEAR:
            self._mark_held(expected_version + 1, self.write_sent_at)
        return result


class Competitor:
    """A host that the test advances step by step; without steps it is paused."""

    def __init__(self, world: World, number: int) -> None:
        self.world = world
        self.number = number
        self.incarnation = 0
        self.restart()

    def restart(self) -> None:
        self.incarnation += 1
        self.running: t.Coroutine[t.Any, t.Any, t.Any] | None = None
        self.lease = self.world.lease_type(
            FakeStore(self.world.table, yield_once),
            "duty",
            f"host-{self.number}",
            self.incarnation,
            LeaseSettings(duration_s=DURATION_S, margin_s=self.world.margin_s),
            clock=lambda: self.world.now * CLOCK_RATES[self.number] + 1000.0 * self.number,
        )

    def step(self, start: t.Callable[[Lease], t.Coroutine[t.Any, t.Any, t.Any]]) -> None:
        if self.running is None:
            self.running = start(self.lease)
        try:
            self.running.send(None)
        except StopIteration:
            self.running = None


class World:
    def __init__(self, lease_type: type[Lease] = Lease, margin_s: float = MARGIN_S) -> None:
        self.lease_type = lease_type
        self.margin_s = margin_s
        self.now = 0.0
        self.table = ObjectTable(lambda: self.now)
        self.hosts = [Competitor(self, number) for number in range(len(CLOCK_RATES))]
        self.most_holders = 0
        self.acquired: list[str] = []

    def play(self, events: list[tuple[str, int]]) -> World:
        for name, number in events:
            getattr(self, f"on_{name}")(number)
            holders = [host for host in self.hosts if host.lease.is_held()]
            self.most_holders = max(self.most_holders, len(holders))
            self.acquired += [
                name
                for name in (f"host-{host.number}" for host in holders)
                if self.acquired[-1:] != [name]
            ]
        for host in self.hosts:
            if host.running is not None:
                host.running.close()
        return self

    def on_step(self, number: int) -> None:
        self.hosts[number % len(self.hosts)].step(lambda lease: lease.renew())

    def on_round(self, number: int) -> None:
        for _ in range(5):
            self.on_step(number)

    def on_release(self, number: int) -> None:
        self.hosts[number % len(self.hosts)].step(lambda lease: lease.release())

    def on_restart(self, number: int) -> None:
        self.hosts[number % len(self.hosts)].restart()

    def on_wait(self, number: int) -> None:
        self.now += [0.5, 3.0, 9.0, 11.0, 11.8][number % 5]

    def on_lose(self, number: int) -> None:
        fault = ["lost_answers", "lost_requests", "late_writes"][number % 3]
        setattr(self.table.faults, fault, 1)

    def on_land(self, number: int) -> None:
        self.table.apply_late_writes()

    def on_down(self, number: int) -> None:
        self.table.faults.down = not self.table.faults.down


COMMON = ["step", "step", "round", "round", "round", "wait", "wait"]
RARE = ["release", "restart", "lose", "land", "down"]
EVENTS = st.lists(
    st.tuples(st.sampled_from(COMMON * 2 + RARE), st.integers(0, 5)), min_size=8, max_size=60
)
WALKS = 4000
WALK_LENGTH = 60


def random_walks() -> t.Iterator[list[tuple[str, int]]]:
    randomness = random.Random(20)
    names = COMMON * 3 + RARE
    for _ in range(WALKS):
        yield [(randomness.choice(names), randomness.randrange(6)) for _ in range(WALK_LENGTH)]


class TestSingleHolder:
    @settings(derandomize=True, deadline=None, max_examples=500)
    @given(events=EVENTS)
    def test_never_two_under_any_events(self, events: list[tuple[str, int]]) -> None:
        assert World().play(events).most_holders <= 1

    def test_never_two_in_random_walks_with_handovers(self) -> None:
        worlds = [World().play(events) for events in random_walks()]
        assert max(world.most_holders for world in worlds) == 1
        handed_over = sum(len(set(world.acquired)) > 1 for world in worlds)
        assert handed_over > WALKS / 10

    @pytest.mark.parametrize(
        ("lease_type", "margin_s"),
        [
            pytest.param(Lease, 0.0, id="no margin"),
            pytest.param(LeaseCountedFromAnswer, MARGIN_S, id="counted from the answer"),
            pytest.param(LeaseSeenBeforeRead, MARGIN_S, id="seen before the read"),
            pytest.param(LeaseExtendedWhenUnclear, MARGIN_S, id="extended when unclear"),
        ],
    )
    def test_check_detects_a_faulty_lease(self, lease_type: type[Lease], margin_s: float) -> None:
        most = (World(lease_type, margin_s).play(events).most_holders for events in random_walks())
        assert any(holders > 1 for holders in most)


class LeasePair:
    """Two hosts that compete for a lease in the same store, in virtual time."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self.table = ObjectTable(self.clock)
        self.leases = [
            Lease(
                FakeStore(self.table),
                "duty",
                name,
                1,
                randomness=random.Random(name),
                clock=self.clock,
                sleep=self.clock.sleep,
            )
            for name in ("host-1", "host-2")
        ]

    async def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.5)):
            self.clock.advance(0.5)
            for _ in range(SETTLE_ROUNDS):
                await asyncio.sleep(0)

    def held(self) -> list[bool]:
        return [lease.is_held() for lease in self.leases]


@contextlib.asynccontextmanager
async def running_leases(
    pair: LeasePair, count: int = 2
) -> t.AsyncIterator[list[asyncio.Task[None]]]:
    tasks = [asyncio.create_task(lease.run()) for lease in pair.leases[:count]]
    try:
        yield tasks
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class TestLease:
    async def test_is_kept_while_its_holder_renews(self) -> None:
        pair = LeasePair()
        async with running_leases(pair):
            await pair.run(1)
            assert pair.held() == [True, False]
            tokens = [pair.leases[0].token]
            for _ in range(20):
                await pair.run(3)
                assert pair.held() == [True, False]
                tokens.append(pair.leases[0].token)
        assert tokens == sorted(set(tokens))

    async def test_is_taken_over_from_a_crashed_holder(self) -> None:
        pair = LeasePair()
        async with running_leases(pair) as tasks:
            await pair.run(1)
            tasks[0].cancel()
            await pair.run(20)
            assert pair.held() == [False, True]

    async def test_is_taken_over_at_once_after_a_release(self) -> None:
        pair = LeasePair()
        async with running_leases(pair) as tasks:
            await pair.run(4)
            token = pair.leases[0].check()
            tasks[0].cancel()
            await asyncio.gather(tasks[0], return_exceptions=True)
            await pair.leases[0].release()
            assert pair.held() == [False, False]
            await pair.run(4)
            assert pair.held() == [False, True]
            taken = pair.leases[1].check()
        assert isinstance(token, int)
        assert isinstance(taken, int)
        assert taken > token

    async def test_expires_in_an_outage_and_is_acquired_again_after_it(self) -> None:
        pair = LeasePair()
        async with running_leases(pair):
            await pair.run(1)
            pair.table.faults.down = True
            await pair.run(5)
            assert pair.held() == [True, False]
            await pair.run(6)
            assert pair.held() == [False, False]
            pair.table.faults.down = False
            await pair.run(4)
            assert sum(pair.held()) == 1

    async def test_paused_holder_finds_it_expired(self) -> None:
        pair = LeasePair()
        lease = pair.leases[0]
        assert await lease.renew() is None
        assert isinstance(lease.check(), int)
        pair.clock.now += 10.0
        result = lease.check()
        assert isinstance(result, Failure)
        assert result.code is ResultCode.LEASE_LOST

    async def test_lost_response_is_resolved_by_the_next_read(self) -> None:
        pair = LeasePair()
        lease = pair.leases[0]
        pair.table.faults.lost_answers = 1
        assert await lease.renew() is not None
        assert not lease.is_held()
        assert await lease.renew() is None
        assert lease.check() == pair.table.revision == 2

    async def test_earlier_process_of_the_same_host_is_another_holder(self) -> None:
        pair = LeasePair()
        await pair.leases[0].renew()
        again = Lease(FakeStore(pair.table), "duty", "host-1", 2, clock=pair.clock)
        await again.renew()
        assert not again.is_held()

    async def test_malformed_value_is_overwritten_after_the_duration(self) -> None:
        pair = LeasePair()
        pair.table.write(Write(kind="lease", name="duty", value=b"[]", expected_version=0))
        async with running_leases(pair, count=1):
            await pair.run(10)
            assert not pair.leases[0].is_held()
            await pair.run(8)
            assert pair.leases[0].is_held()

    async def test_only_candidates_call_the_store(self) -> None:
        pair = LeasePair()
        task = asyncio.create_task(pair.leases[0].run(lambda: False))
        await pair.run(10)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert not pair.table.calls


class TestSteadyClock:
    def test_does_not_go_back(self) -> None:
        times = [steady_clock() for _ in range(100)]
        assert times == sorted(times)
