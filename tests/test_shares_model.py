from __future__ import annotations

import random
import typing as t

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from shares_chaos import ChaosWalk, walk
from shares_mutants import MUTANTS, Mutate
from shares_scenarios import SCENARIOS, Scenario
from shares_world import World

from radishbridge.shares import TOTAL_UNITS, HolderKey, ShareLease, ShareMembership, ShareTimes
from radishbridge_standin.memory import MemoryStore, StoreClient, VirtualClock

WALK_SEEDS = range(12)
RESUMES_PER_RENEWAL = 3


def walk_hosts(seed: int) -> int:
    return 2 + seed % 3


class TestWalks:
    """Guards against exceeding rate and burst during crashes, pauses, outages and lost messages."""

    @pytest.mark.parametrize("seed", WALK_SEEDS)
    def test_never_more_than_rate_and_burst(self, seed: int) -> None:
        world = walk(seed, walk_hosts(seed))
        assert world.admitted > 0

    @pytest.mark.parametrize("scenario", SCENARIOS)
    def test_scenario(self, scenario: Scenario) -> None:
        assert scenario().admitted > 0


class TestMutants:
    """Guards against a model check that passes although the shares are faulty."""

    @pytest.mark.parametrize("mutate", MUTANTS)
    def test_is_caught(self, mutate: Mutate, monkeypatch: pytest.MonkeyPatch) -> None:
        mutate(monkeypatch)
        with pytest.raises(AssertionError, match=r"units in use|over rate and burst|tokens at"):
            self.run_all()

    def run_all(self) -> None:
        for scenario in SCENARIOS:
            scenario()
        for seed in WALK_SEEDS:
            walk(seed, walk_hosts(seed))


class FaultMachine(RuleBasedStateMachine):
    """Lets Hypothesis choose the order of faults and load."""

    def __init__(self) -> None:
        super().__init__()
        world = World(seed=1, hosts=3, drift=0.02)
        world.run(6.0)
        self.walk = ChaosWalk(world)

    @rule(fault=st.integers(0, 8), seed=st.integers(0, 1000))
    def fault(self, fault: int, seed: int) -> None:
        self.walk.random.seed(seed)
        self.walk.faults[fault]()

    @rule(steps=st.sampled_from((1, 20, 200, 400)))
    def run_on(self, steps: int) -> None:
        for _ in range(steps):
            self.walk.world.step()
            self.walk.send_load()


TestFaultMachine = FaultMachine.TestCase
TestFaultMachine.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=15,
    stateful_step_count=20,
    suppress_health_check=list(HealthCheck),
)


class Member:
    """One process that renews its lease, resumed at each store call by the test."""

    def __init__(self, store: MemoryStore, name: str) -> None:
        self.client = StoreClient(store)
        self.lease = ShareLease(HolderKey(name, 1), ShareTimes())
        self.membership = ShareMembership(self.client, self.lease, VirtualClock())
        self.step: t.Coroutine[t.Any, t.Any, float] | None = None

    def resume(self) -> None:
        self.step = self.step or self.membership.renew_once()
        try:
            self.step.send(None)
        except StopIteration:
            self.step = None

    def close(self) -> None:
        if self.step is not None:
            self.step.close()


class TestEveryInterleaving:
    """Guards against two holders using the same units when their store calls interleave."""

    @pytest.mark.parametrize("silenced", [None, 0, 1, 2])
    def test_units_in_use_never_exceed_the_total(self, silenced: int | None) -> None:
        order = [0, 1, 2] * RESUMES_PER_RENEWAL
        schedules = set(_interleavings(tuple(order.count(one) for one in range(3))))
        assert len(schedules) == 1680
        for schedule in schedules:
            store = MemoryStore()
            members = [Member(store, f"host-{one}") for one in range(3)]
            for index in [0] * 5 + [1] * 5:
                members[index].resume()
            if silenced is not None:
                members[silenced].client.delivers_responses = False
            for index in schedule:
                members[index].resume()
                assert sum(one.lease.usable_units(0.0) for one in members) <= TOTAL_UNITS, schedule
            for member in members:
                member.close()


def _interleavings(left: tuple[int, ...]) -> t.Iterator[tuple[int, ...]]:
    if not any(left):
        yield ()
    for index, count in enumerate(left):
        if count:
            rest = (*left[:index], count - 1, *left[index + 1 :])
            yield from ((index, *tail) for tail in _interleavings(rest))


class TestRandomIsSeeded:
    """Guards against walks that can't be repeated because they use an unseeded generator."""

    def test_same_walk_twice(self) -> None:
        state = random.getstate()
        first, second = walk(4, 3, seconds=30.0), walk(4, 3, seconds=30.0)
        assert (first.admitted, first.refused) == (second.admitted, second.refused)
        assert random.getstate() == state
