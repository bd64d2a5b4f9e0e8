from __future__ import annotations

import collections
import itertools
import typing as t

import pytest
from fleet_world import Hosts
from rate_limits import limit_in_window, most_in_window

from radishbridge.entry import Bounds, Fleet, SteeringState
from radishbridge.steering import Configuration, WorkspaceRule

STEP_S = 0.05
# Interval between reports of a host, and latency of messages between regions and over a link that
# loses packets, in steps.
REPORT_INTERVAL_STEPS = 10
MESSAGE_DELAY_STEPS = 1
DELAYED_MESSAGE_STEPS = 20
# Time in seconds between the signal to stop and the exit of a host that still has requests.
SHUTDOWN_S = 5.5

Arrivals = t.Callable[[int, float], float]


class Workspace:
    """A workspace whose rate is divided among hosts, and the times at which they admitted requests.

    :param silent_senders: hosts whose messages are all lost, and that get those of the others.
    :param delayed: hosts to which messages take a second.
    """

    def __init__(self, count: int, rate: float, burst: float) -> None:
        self.hosts = Hosts(count)
        self.rule = WorkspaceRule(name="school", rate_per_s=rate, burst=burst)
        self.states = [self.make_state(fleet) for fleet in self.hosts.fleets]
        self.in_transit: dict[int, list] = collections.defaultdict(list)
        self.silent_senders: set[str] = set()
        self.delayed: set[str] = set()
        self.admitted: list[float] = []
        self.step_count = 0

    def make_state(self, fleet: Fleet) -> SteeringState:
        steering_state = SteeringState(
            fleet.own.peer_address, None, Bounds(), clock=lambda: self.hosts.now
        )
        steering_state.fleet_share = fleet.fleet_share
        steering_state.configuration = Configuration(1, [], [], [self.rule])
        steering_state.accrue_from["school"] = self.hosts.now
        fleet.make_report = lambda: steering_state.build_report(fleet.make_status())
        fleet.listeners.append(steering_state.apply_summary)
        return steering_state

    def exchange_messages(self) -> None:
        # Hosts don't report all at the same time.
        for number, fleet in enumerate(self.hosts.fleets):
            if (self.step_count + number) % REPORT_INTERVAL_STEPS == 0:
                fleet.step(self.hosts.now)
        network = self.hosts.network
        for one in network.sent:
            if one[0] not in self.silent_senders:
                delay = DELAYED_MESSAGE_STEPS if one[1] in self.delayed else MESSAGE_DELAY_STEPS
                self.in_transit[self.step_count + delay].append(one)
        network.sent = self.in_transit.pop(self.step_count, [])
        network.deliver()
        network.sent = []

    def send_requests(self, seconds: float, arrivals: Arrivals) -> None:
        """Send requests to all hosts.

        :param arrivals: returns the requests per second at a host, by its number and the time since
            the beginning.
        """
        due_requests = [0.0 for _ in self.states]
        for step in range(int(seconds / STEP_S)):
            self.step_count += 1
            self.hosts.now += STEP_S
            self.exchange_messages()
            for number, steering_state in enumerate(self.states):
                due_requests[number] += arrivals(number, step * STEP_S) * STEP_S
                while due_requests[number] >= 1.0:
                    due_requests[number] -= 1.0
                    limiter = steering_state.rate_limiter("school", self.hosts.now)
                    if limiter.admit(steering_state.fleet_share, self.hosts.now):
                        self.admitted.append(self.hosts.now)

    def stop(self, count: int) -> None:
        """Stop the first hosts."""
        del self.hosts.fleets[:count], self.states[:count]

    def most_in_window(self) -> int:
        return most_in_window(self.admitted)

    def limit_in_window(self) -> float:
        return limit_in_window(self.rule)


class TestSharesAddUpToOne:
    """A workspace sends many times its rate, and its demand rises or moves to other hosts suddenly.

    Hosts that use different summaries could take shares that add up to more than the rate.
    """

    @pytest.mark.parametrize(("rate", "burst"), [(20.0, 120.0), (60.0, 130.0), (260.0, 260.0)])
    @pytest.mark.parametrize("rise", [2.0, 8.0, 40.0])
    def test_a_sudden_rise_of_demand_admits_no_more_than_the_limit(self, rate, burst, rise):
        workspace = Workspace(58, rate, burst)
        workspace.send_requests(6.0, lambda _, elapsed_s: 0.3 * rate / 58)
        workspace.send_requests(8.0, lambda _, elapsed_s: rise * rate / 58)
        assert workspace.most_in_window() <= workspace.limit_in_window()

    @pytest.mark.parametrize("busy", [1, 3])
    def test_a_host_whose_reports_are_lost_uses_the_share_that_others_leave_to_it(self, busy):
        workspace = Workspace(24, 100.0, 100.0)
        fleets = workspace.hosts.fleets
        aggregators = set(fleets[0]._aggregators(0.0))
        silent = [n for n, one in enumerate(fleets) if one.own.peer_address not in aggregators][
            :busy
        ]
        workspace.send_requests(5.0, lambda number, elapsed_s: 100.0 if number in silent else 10.0)
        workspace.silent_senders = {fleets[number].own.peer_address for number in silent}
        workspace.send_requests(10.0, lambda number, elapsed_s: 100.0 if number in silent else 10.0)
        assert workspace.most_in_window() <= workspace.limit_in_window()

    @pytest.mark.parametrize("busy", [3, 12])
    def test_delayed_summaries_admit_no_more_than_the_limit_when_callers_move(self, busy):
        workspace = Workspace(24, 100.0, 100.0)
        names = [fleet.own.peer_address for fleet in workspace.hosts.fleets]
        workspace.delayed = set(names[::2])

        def arrivals(number: int, elapsed_s: float) -> float:
            return 500.0 / busy if (number - int(elapsed_s)) % 24 < busy else 1.0

        workspace.send_requests(12.0, arrivals)
        assert workspace.most_in_window() <= workspace.limit_in_window()

    @pytest.mark.parametrize("leaving", [6, 12])
    def test_leaving_hosts_use_no_share_that_others_have_taken_over(self, leaving):
        workspace = Workspace(24, 100.0, 100.0)
        workspace.send_requests(5.0, lambda number, elapsed_s: 20.0)
        entries = workspace.hosts.entries
        stay = dict(itertools.islice(entries.items(), leaving, None))
        for fleet in workspace.hosts.fleets:
            fleet.update_hosts(stay)
        workspace.send_requests(SHUTDOWN_S, lambda number, elapsed_s: 20.0)
        workspace.stop(leaving)
        workspace.send_requests(4.0, lambda number, elapsed_s: 20.0)
        assert workspace.most_in_window() <= workspace.limit_in_window()
