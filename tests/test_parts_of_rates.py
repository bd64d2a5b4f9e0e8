from __future__ import annotations

import collections
import itertools
import typing as t

import pytest
from fleet_world import Hosts
from rate_limits import bound, most_in_window

from radishbridge.entry import Bounds, Fleet, SteeringState
from radishbridge.steering import Configuration, WorkspaceRule

STEP_S = 0.05
# Pause between two reports of a host, and the time that a message takes between regions, and over
# a link that loses packets, in steps.
REPORT_STEPS = 10
DELAY_STEPS = 1
LATE_STEPS = 20
# Time in seconds between the signal to stop and the end of a host that still has requests.
LEAVING_S = 5.5

Arrivals = t.Callable[[int, float], float]


class Workspace:
    """A workspace whose rate is divided among hosts, and the requests of it that they admitted.

    :param lost_reports: hosts that hear all others and are heard by none.
    :param late: hosts to which messages take a second.
    """

    def __init__(self, count: int, rate: float, burst: float) -> None:
        self.hosts = Hosts(count)
        self.rule = WorkspaceRule(name="school", rate_per_s=rate, burst=burst)
        self.states = [self.open(fleet) for fleet in self.hosts.fleets]
        self.under_way: dict[int, list] = collections.defaultdict(list)
        self.lost_reports: set[str] = set()
        self.late: set[str] = set()
        self.admitted: list[float] = []
        self.step_count = 0

    def open(self, fleet: Fleet) -> SteeringState:
        steering_state = SteeringState(
            fleet.own.peer_address, None, Bounds(), clock=lambda: self.hosts.now
        )
        steering_state.fleet_share = fleet.fleet_share
        steering_state.configuration = Configuration(1, [], [], [self.rule])
        steering_state.accrue_from["school"] = self.hosts.now
        fleet.make_report = lambda: steering_state.build_report(fleet.make_status())
        fleet.listeners.append(steering_state.apply_summary)
        return steering_state

    def exchange(self) -> None:
        # Hosts report in turn, not all at once.
        for number, fleet in enumerate(self.hosts.fleets):
            if (self.step_count + number) % REPORT_STEPS == 0:
                fleet.step(self.hosts.now)
        network = self.hosts.network
        for one in network.sent:
            if one[0] not in self.lost_reports:
                delay = LATE_STEPS if one[1] in self.late else DELAY_STEPS
                self.under_way[self.step_count + delay].append(one)
        network.sent = self.under_way.pop(self.step_count, [])
        network.deliver()
        network.sent = []

    def play(self, seconds: float, arrivals: Arrivals) -> None:
        """Let requests come for a while.

        :param arrivals: returns the requests a second at a host at a time since the beginning.
        """
        waiting = [0.0 for _ in self.states]
        for step in range(int(seconds / STEP_S)):
            self.step_count += 1
            self.hosts.now += STEP_S
            self.exchange()
            for number, steering_state in enumerate(self.states):
                waiting[number] += arrivals(number, step * STEP_S) * STEP_S
                while waiting[number] >= 1.0:
                    waiting[number] -= 1.0
                    limiter = steering_state.rate_limiter("school", self.hosts.now)
                    if limiter.admit(steering_state.fleet_share, self.hosts.now):
                        self.admitted.append(self.hosts.now)

    def stop(self, count: int) -> None:
        """End the first hosts."""
        del self.hosts.fleets[:count], self.states[:count]

    def most_in_window(self) -> int:
        return most_in_window(self.admitted)

    def bound(self) -> float:
        return bound(self.rule)


class TestPartsAddUpToOne:
    """Load pattern: a workspace sends many times its rate, and its callers come or move at once."""

    @pytest.mark.parametrize(("rate", "burst"), [(20.0, 120.0), (60.0, 130.0), (260.0, 260.0)])
    @pytest.mark.parametrize("rise", [2.0, 8.0, 40.0])
    def test_callers_that_come_all_at_once_get_no_more_than_the_limit(self, rate, burst, rise):
        workspace = Workspace(58, rate, burst)
        workspace.play(6.0, lambda _, at: 0.3 * rate / 58)
        workspace.play(8.0, lambda _, at: rise * rate / 58)
        assert workspace.most_in_window() <= workspace.bound()

    @pytest.mark.parametrize("busy", [1, 3])
    def test_a_host_that_is_not_heard_uses_the_part_that_others_leave_to_it(self, busy):
        workspace = Workspace(24, 100.0, 100.0)
        fleets = workspace.hosts.fleets
        summing = set(fleets[0]._summing(0.0))
        unheard = [n for n, one in enumerate(fleets) if one.own.peer_address not in summing][:busy]
        workspace.play(5.0, lambda number, at: 100.0 if number in unheard else 10.0)
        workspace.lost_reports = {fleets[number].own.peer_address for number in unheard}
        workspace.play(10.0, lambda number, at: 100.0 if number in unheard else 10.0)
        assert workspace.most_in_window() <= workspace.bound()

    @pytest.mark.parametrize("busy", [3, 12])
    def test_sums_that_come_late_leave_callers_that_move_no_more_than_the_limit(self, busy):
        workspace = Workspace(24, 100.0, 100.0)
        names = [fleet.own.peer_address for fleet in workspace.hosts.fleets]
        workspace.late = set(names[::2])

        def arrivals(number: int, at: float) -> float:
            return 500.0 / busy if (number - int(at)) % 24 < busy else 1.0

        workspace.play(12.0, arrivals)
        assert workspace.most_in_window() <= workspace.bound()

    @pytest.mark.parametrize("leaving", [6, 12])
    def test_hosts_that_leave_use_no_part_that_others_have_taken_over(self, leaving):
        workspace = Workspace(24, 100.0, 100.0)
        workspace.play(5.0, lambda number, at: 20.0)
        entries = workspace.hosts.entries
        stay = dict(itertools.islice(entries.items(), leaving, None))
        for fleet in workspace.hosts.fleets:
            fleet.update_hosts(stay)
        workspace.play(LEAVING_S, lambda number, at: 20.0)
        workspace.stop(leaving)
        workspace.play(4.0, lambda number, at: 20.0)
        assert workspace.most_in_window() <= workspace.bound()
