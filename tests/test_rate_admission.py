from __future__ import annotations

import asyncio
import itertools
import random

import pytest
from fleet_world import Hosts
from rate_limits import WINDOW_S, bound, most_in_window

from radishbridge.entry import Bounds, RateAdmission, SteeringState, rate_admission
from radishbridge.entry.messages import TokenAnswer, TokenAsk
from radishbridge.entry.rate_admission import Piece
from radishbridge.steering import Configuration, WorkspaceRule

STEP_S = 0.02


class Admissions:
    """The desks of a fleet that has run for some seconds, and the requests that they admitted.

    :param late: part of questions whose answer comes too late.
    """

    def __init__(self, count: int, rate: float, burst: float, late: float = 0.0) -> None:
        self.hosts = Hosts(count)
        self.rule = WorkspaceRule(name="school", rate_per_s=rate, burst=burst)
        self.rng = random.Random(count)
        self.late = late
        self.held_up: list[tuple[str, str, TokenAnswer]] = []
        self.admitted: list[float] = []
        self.hosts.run(1.0)
        self.admissions = [self.open(fleet) for fleet in self.hosts.fleets]
        self.hosts.run(4.0)

    def open(self, fleet) -> RateAdmission:
        steering_state = SteeringState(fleet.own.peer_address, None, Bounds())
        steering_state.fleet_share = fleet.fleet_share
        steering_state.configuration = Configuration(1, [], [], [self.rule])
        steering_state.accrue_from["school"] = self.hosts.now
        return RateAdmission(steering_state, fleet, lambda: self.hosts.now)

    def restart(self, admission: RateAdmission) -> None:
        """Let a host come back under its name, without anything that it knew."""
        index = self.admissions.index(admission)
        number = int(admission.fleet.own.peer_address.split(".")[3].split(":")[0])
        fleet = self.hosts.fleets[index] = self.hosts.start(number)
        self.admissions[index] = self.open(fleet)

    def holders(self) -> list[RateAdmission]:
        """Return the hosts that hand out the workspace's rate, by the first host's view."""
        names = {self.admissions[0]._holder(Piece("school", number)) for number in (0, 1)}
        return [
            admission for admission in self.admissions if admission.fleet.own.peer_address in names
        ]

    async def ask(self, admission: RateAdmission) -> None:
        if await admission.admit("school") is None:
            self.admitted.append(self.hosts.now)

    async def play(self, seconds: float, per_s: float, each=None, among=None) -> None:
        """Let callers ask all hosts in turn, or those in ``among``."""
        turns = itertools.cycle(among or range(len(self.admissions)))
        waiting = 0.0
        for step in range(int(seconds / STEP_S)):
            self.hosts.now += STEP_S
            if each is not None:
                each(self, step * STEP_S)
            if step % 10 == 0:
                for fleet in self.hosts.fleets:
                    if fleet.own.peer_address not in self.hosts.network.cut:
                        fleet.step(self.hosts.now)
            waiting += per_s * STEP_S
            asks = []
            while waiting >= 1.0:
                waiting -= 1.0
                asks.append(asyncio.create_task(self.ask(self.admissions[next(turns)])))
            while not all(ask.done() for ask in asks):
                await asyncio.sleep(0)
                self.deliver()
            await asyncio.gather(*asks)

    def deliver(self) -> None:
        network = self.hosts.network
        for one in list(network.sent):
            if isinstance(one[2], TokenAsk | TokenAnswer) and self.rng.random() < self.late / 2.0:
                network.sent.remove(one)
        network.deliver()

    def most_in_window(self) -> int:
        return most_in_window(self.admitted)

    def bound(self) -> float:
        return bound(self.rule)


def restart_holders(admissions: Admissions, at: float) -> None:
    if abs(at - 2.0) < STEP_S / 2.0 or abs(at - 4.0) < STEP_S / 2.0:
        for admission in admissions.holders():
            admissions.restart(admission)


def split(admissions: Admissions, at: float) -> None:
    # Half of the hosts have heard nothing of the holder that the others ask.
    for admission in admissions.admissions[::2]:
        lost = {one.fleet.own.peer_address for one in admissions.holders()}
        admission.names = tuple(name for name in admission.names if name not in lost)
        admission.holders.clear()


def cut_holders(admissions: Admissions, at: float) -> None:
    if abs(at - 2.0) < STEP_S / 2.0:
        admissions.hosts.network.cut |= {one.fleet.own.peer_address for one in admissions.holders()}


def count_hosts_differently(admissions: Admissions, at: float) -> None:
    # Some hosts came back a while ago, and still count those that the others have given up.
    for number, admission in enumerate(admissions.admissions):
        admission.steering_state.fleet_share.hosts = 24 if number % 2 else 26


@pytest.fixture(autouse=True)
def short_wait(monkeypatch):
    monkeypatch.setattr(rate_admission, "ASK_S", 0.001)


class TestRateHandedOutTwice:
    """Load pattern: one workspace sends many times its rate at all hosts, in trouble."""

    @pytest.mark.parametrize(
        ("late", "trouble"),
        [
            (0.0, None),
            (0.3, None),
            (1.0, None),
            (0.0, restart_holders),
            (0.0, cut_holders),
            (0.3, cut_holders),
            (0.0, count_hosts_differently),
        ],
    )
    @pytest.mark.parametrize(("rate", "burst"), [(5.0, 10.0), (10.0, 20.0), (40.0, 49.0)])
    async def test_no_window_admits_more_than_the_limit(self, rate, burst, late, trouble):
        admissions = Admissions(24, rate, burst, late)
        await admissions.play(9.0, 200.0, trouble)
        assert admissions.most_in_window() <= admissions.bound()

    async def test_a_late_answer_costs_no_second_token(self):
        admissions = Admissions(24, 10.0, 20.0, late=0.5)
        await admissions.play(6.0, 200.0)
        assert len(admissions.admitted) <= 10.0 * 6.0 + 20.0

    async def test_a_holder_that_comes_back_hands_out_no_second_burst(self):
        admissions = Admissions(24, 5.0, 40.0)
        await admissions.play(0.5, 200.0)
        for admission in admissions.holders():
            admissions.restart(admission)
        await admissions.play(4.5, 200.0)
        assert len(admissions.admitted) <= 5.0 * 5.0 + 40.0

    async def test_when_hosts_join_the_parts_and_the_holders_do_not_both_hand_out(self):
        admissions = Admissions(24, 40.0, 49.0)
        await admissions.play(1.0, 200.0)
        more = {f"10.0.0.{number}:7000": admissions.hosts.fleets[0].own for number in range(24, 26)}
        for fleet in admissions.hosts.fleets:
            fleet.update_hosts({**admissions.hosts.entries, **more})
            await admissions.play(0.02, 200.0)
        await admissions.play(5.0, 200.0)
        assert admissions.most_in_window() <= 40.0 * WINDOW_S + 49.0


class TestRollingRestart:
    """Load pattern: hosts leave the list and come back in turn, at the size that divides a rate."""

    async def test_it_does_not_keep_callers_of_a_rate_waiting(self):
        admissions = Admissions(24, 40.0, 47.0)
        hosts = admissions.hosts

        def roll(_: Admissions, at: float) -> None:
            gone = f"10.0.0.{int(at) % 24}:7000"
            is_back = int(at * 2.0) % 2 == 1
            listed = {name: one for name, one in hosts.entries.items() if is_back or name != gone}
            for fleet in hosts.fleets:
                fleet.update_hosts(listed)

        await admissions.play(8.0, 20.0, roll)
        assert len(admissions.admitted) >= 0.95 * 8.0 * 20.0


class TestSmallRates:
    """Load pattern: many hosts, each of which sees a small workspace now and then."""

    async def test_requests_within_the_rate_are_admitted_wherever_they_come(self):
        admissions = Admissions(40, rate=25.0, burst=25.0)
        await admissions.play(6.0, per_s=20.0)
        assert len(admissions.admitted) == 120

    async def test_what_is_beyond_the_rate_is_not(self):
        admissions = Admissions(40, rate=25.0, burst=25.0)
        await admissions.play(6.0, per_s=200.0)
        assert 0.9 * 150 <= len(admissions.admitted) <= 175

    async def test_a_lost_holder_is_replaced(self):
        admissions = Admissions(12, rate=20.0, burst=20.0)
        lost = admissions.holders()[0]
        name = lost.fleet.own.peer_address
        admissions.hosts.network.cut.add(name)
        admissions.hosts.run(2.4)
        rest = [
            index for index, admission in enumerate(admissions.admissions) if admission is not lost
        ]
        for number in (0, 1):
            held = {admissions.admissions[index]._holder(Piece("school", number)) for index in rest}
            assert len(held) == 1
            assert name not in held
        await admissions.play(4.0, per_s=15.0, among=rest)
        assert len(admissions.admitted) >= 0.8 * 40

    async def test_while_a_holder_is_silent_the_other_one_serves(self):
        admissions = Admissions(24, rate=20.0, burst=20.0)
        lost, *others = admissions.holders()
        assert others
        admissions.hosts.network.cut.add(lost.fleet.own.peer_address)
        rest = [
            index for index, admission in enumerate(admissions.admissions) if admission is not lost
        ]
        await admissions.play(1.5, per_s=15.0, among=rest)
        assert len(admissions.admitted) >= 0.5 * 20.0 * 1.5
