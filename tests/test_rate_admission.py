from __future__ import annotations

import asyncio
import itertools
import random

import pytest
from fleet_world import Hosts
from rate_limits import WINDOW_S, limit_in_window, most_in_window

from radishbridge.entry import Bounds, RateAdmission, SteeringState, rate_admission
from radishbridge.entry.messages import TokenAnswer, TokenAsk
from radishbridge.entry.rate_admission import SliceKey
from radishbridge.steering import Configuration, WorkspaceRule

STEP_S = 0.02


class RateLimitedFleet:
    """A fleet that has run for some seconds, and the times at which it admitted requests.

    :param unanswered: fraction of token requests that get no answer.
    """

    def __init__(self, count: int, rate: float, burst: float, unanswered: float = 0.0) -> None:
        self.hosts = Hosts(count)
        self.rule = WorkspaceRule(name="school", rate_per_s=rate, burst=burst)
        self.rng = random.Random(count)
        self.unanswered = unanswered
        self.delayed: list[tuple[str, str, TokenAnswer]] = []
        self.admitted: list[float] = []
        self.hosts.run(1.0)
        self.admissions = [self.make_admission(fleet) for fleet in self.hosts.fleets]
        self.hosts.run(4.0)

    def make_admission(self, fleet) -> RateAdmission:
        steering_state = SteeringState(fleet.own.peer_address, None, Bounds())
        steering_state.fleet_share = fleet.fleet_share
        steering_state.configuration = Configuration(1, [], [], [self.rule])
        steering_state.accrue_from["school"] = self.hosts.now
        return RateAdmission(steering_state, fleet, lambda: self.hosts.now)

    def restart(self, admission: RateAdmission) -> None:
        """Restart a host under the same name, without its state."""
        index = self.admissions.index(admission)
        number = int(admission.fleet.own.peer_address.split(".")[3].split(":")[0])
        fleet = self.hosts.fleets[index] = self.hosts.start(number)
        self.admissions[index] = self.make_admission(fleet)

    def slice_owners(self) -> list[RateAdmission]:
        """Return the owners of the rate's slices, as the first host sees them."""
        names = {self.admissions[0]._slice_owner(SliceKey("school", number)) for number in (0, 1)}
        return [
            admission for admission in self.admissions if admission.fleet.own.peer_address in names
        ]

    async def send_request(self, admission: RateAdmission) -> None:
        if await admission.admit("school") is None:
            self.admitted.append(self.hosts.now)

    async def send_requests(
        self, seconds: float, rate_per_s: float, on_step=None, indices=None
    ) -> None:
        """Send requests to all hosts in turn, or to those in ``indices``."""
        turns = itertools.cycle(indices or range(len(self.admissions)))
        due_requests = 0.0
        for step in range(int(seconds / STEP_S)):
            self.hosts.now += STEP_S
            if on_step is not None:
                on_step(self, step * STEP_S)
            if step % 10 == 0:
                for fleet in self.hosts.fleets:
                    if fleet.own.peer_address not in self.hosts.network.disconnected:
                        fleet.step(self.hosts.now)
            due_requests += rate_per_s * STEP_S
            tasks = []
            while due_requests >= 1.0:
                due_requests -= 1.0
                tasks.append(asyncio.create_task(self.send_request(self.admissions[next(turns)])))
            while not all(task.done() for task in tasks):
                await asyncio.sleep(0)
                self.deliver()
            await asyncio.gather(*tasks)

    def deliver(self) -> None:
        network = self.hosts.network
        for one in list(network.sent):
            if (
                isinstance(one[2], TokenAsk | TokenAnswer)
                and self.rng.random() < self.unanswered / 2.0
            ):
                network.sent.remove(one)
        network.deliver()

    def most_in_window(self) -> int:
        return most_in_window(self.admitted)

    def limit_in_window(self) -> float:
        return limit_in_window(self.rule)


def restart_owners(limited_fleet: RateLimitedFleet, elapsed_s: float) -> None:
    if abs(elapsed_s - 2.0) < STEP_S / 2.0 or abs(elapsed_s - 4.0) < STEP_S / 2.0:
        for admission in limited_fleet.slice_owners():
            limited_fleet.restart(admission)


def hide_owners(limited_fleet: RateLimitedFleet, elapsed_s: float) -> None:
    # Half of the hosts do not know the owners that the others ask.
    for admission in limited_fleet.admissions[::2]:
        lost = {one.fleet.own.peer_address for one in limited_fleet.slice_owners()}
        admission.candidates = tuple(name for name in admission.candidates if name not in lost)
        admission.slice_owners.clear()


def disconnect_owners(limited_fleet: RateLimitedFleet, elapsed_s: float) -> None:
    if abs(elapsed_s - 2.0) < STEP_S / 2.0:
        limited_fleet.hosts.network.disconnected |= {
            one.fleet.own.peer_address for one in limited_fleet.slice_owners()
        }


def disagree_on_host_count(limited_fleet: RateLimitedFleet, elapsed_s: float) -> None:
    # Some hosts were restarted a while ago, and still count hosts that the others count as lost.
    for number, admission in enumerate(limited_fleet.admissions):
        admission.steering_state.fleet_share.hosts = 24 if number % 2 else 26


@pytest.fixture(autouse=True)
def short_token_timeout(monkeypatch):
    monkeypatch.setattr(rate_admission, "TOKEN_TIMEOUT_S", 0.001)


class TestNoTokenGrantedTwice:
    """A workspace sends many times its rate to all hosts, during faults.

    Two hosts that both grant the tokens of a rate would admit more than the limit.
    """

    @pytest.mark.parametrize(
        ("unanswered", "fault"),
        [
            (0.0, None),
            (0.3, None),
            (1.0, None),
            (0.0, restart_owners),
            (0.0, disconnect_owners),
            (0.3, disconnect_owners),
            (0.0, disagree_on_host_count),
        ],
    )
    @pytest.mark.parametrize(("rate", "burst"), [(5.0, 10.0), (10.0, 20.0), (40.0, 49.0)])
    async def test_no_window_admits_more_than_the_limit(self, rate, burst, unanswered, fault):
        limited_fleet = RateLimitedFleet(24, rate, burst, unanswered)
        await limited_fleet.send_requests(9.0, 200.0, fault)
        assert limited_fleet.most_in_window() <= limited_fleet.limit_in_window()

    async def test_a_request_without_an_answer_takes_no_second_token(self):
        limited_fleet = RateLimitedFleet(24, 10.0, 20.0, unanswered=0.5)
        await limited_fleet.send_requests(6.0, 200.0)
        assert len(limited_fleet.admitted) <= 10.0 * 6.0 + 20.0

    async def test_a_restarted_owner_grants_no_second_burst(self):
        limited_fleet = RateLimitedFleet(24, 5.0, 40.0)
        await limited_fleet.send_requests(0.5, 200.0)
        for admission in limited_fleet.slice_owners():
            limited_fleet.restart(admission)
        await limited_fleet.send_requests(4.5, 200.0)
        assert len(limited_fleet.admitted) <= 5.0 * 5.0 + 40.0

    async def test_hosts_that_join_do_not_let_shares_and_owners_grant_the_same_tokens(self):
        limited_fleet = RateLimitedFleet(24, 40.0, 49.0)
        await limited_fleet.send_requests(1.0, 200.0)
        more = {
            f"10.0.0.{number}:7000": limited_fleet.hosts.fleets[0].own for number in range(24, 26)
        }
        for fleet in limited_fleet.hosts.fleets:
            fleet.update_hosts({**limited_fleet.hosts.entries, **more})
            await limited_fleet.send_requests(0.02, 200.0)
        await limited_fleet.send_requests(5.0, 200.0)
        assert limited_fleet.most_in_window() <= 40.0 * WINDOW_S + 49.0


class TestRollingRestart:
    """Hosts leave the list and come back in turn, with a fleet just small enough to divide a rate.

    A rate that was redistributed at each step would admit nothing for most of the time.
    """

    async def test_requests_within_the_rate_are_admitted(self):
        limited_fleet = RateLimitedFleet(24, 40.0, 47.0)
        hosts = limited_fleet.hosts

        def restart_in_turn(_: RateLimitedFleet, elapsed_s: float) -> None:
            absent = f"10.0.0.{int(elapsed_s) % 24}:7000"
            is_registered = int(elapsed_s * 2.0) % 2 == 1
            listed = {
                name: one for name, one in hosts.entries.items() if is_registered or name != absent
            }
            for fleet in hosts.fleets:
                fleet.update_hosts(listed)

        await limited_fleet.send_requests(8.0, 20.0, restart_in_turn)
        assert len(limited_fleet.admitted) >= 0.95 * 8.0 * 20.0


class TestSmallRates:
    """A workspace with a small rate sends its requests to many hosts.

    An equal share for each host would be too small to admit a single request.
    """

    @pytest.fixture(autouse=True)
    def patient_token_timeout(self, monkeypatch, short_token_timeout):
        # No answer is lost here, and a busy machine must not make one late.
        monkeypatch.setattr(rate_admission, "TOKEN_TIMEOUT_S", 5.0)

    async def test_requests_within_the_rate_are_admitted_wherever_they_come(self):
        limited_fleet = RateLimitedFleet(40, rate=25.0, burst=25.0)
        await limited_fleet.send_requests(6.0, rate_per_s=20.0)
        assert len(limited_fleet.admitted) == 120

    async def test_requests_beyond_the_rate_are_refused(self):
        limited_fleet = RateLimitedFleet(40, rate=25.0, burst=25.0)
        await limited_fleet.send_requests(6.0, rate_per_s=200.0)
        assert 0.9 * 150 <= len(limited_fleet.admitted) <= 175

    async def test_a_lost_owner_is_replaced(self):
        limited_fleet = RateLimitedFleet(12, rate=20.0, burst=20.0)
        lost = limited_fleet.slice_owners()[0]
        name = lost.fleet.own.peer_address
        limited_fleet.hosts.network.disconnected.add(name)
        limited_fleet.hosts.run(2.4)
        rest = [
            index
            for index, admission in enumerate(limited_fleet.admissions)
            if admission is not lost
        ]
        for number in (0, 1):
            owners = {
                limited_fleet.admissions[index]._slice_owner(SliceKey("school", number))
                for index in rest
            }
            assert len(owners) == 1
            assert name not in owners
        await limited_fleet.send_requests(4.0, rate_per_s=15.0, indices=rest)
        assert len(limited_fleet.admitted) >= 0.8 * 40

    async def test_while_one_owner_is_silent_the_other_one_grants_tokens(self):
        limited_fleet = RateLimitedFleet(24, rate=20.0, burst=20.0)
        lost, *others = limited_fleet.slice_owners()
        assert others
        limited_fleet.hosts.network.disconnected.add(lost.fleet.own.peer_address)
        rest = [
            index
            for index, admission in enumerate(limited_fleet.admissions)
            if admission is not lost
        ]
        await limited_fleet.send_requests(1.5, rate_per_s=15.0, indices=rest)
        assert len(limited_fleet.admitted) >= 0.5 * 20.0 * 1.5
