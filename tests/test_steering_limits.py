from __future__ import annotations

import pytest
from steering_world import T0, split_evenly

from radishbridge.steering import FleetShare, RateLimiter, RetryBudget

STEP_S = 0.01


class Fleet:
    """Hosts that admit requests of one workspace, with the summary of the last exchange."""

    def __init__(self, hosts: int, rate: float, burst: float) -> None:
        self.fleet_shares = [FleetShare(T0) for _ in range(hosts)]
        for fleet_share in self.fleet_shares:
            fleet_share.hosts = fleet_share.hosts_reporting = hosts
        self.limiters = [
            RateLimiter(rate, burst, fleet_share.fraction(0.0, 0.0, T0), T0)
            for fleet_share in self.fleet_shares
        ]

    def exchange(self, now: float, reporting: list[int]) -> None:
        for host in reporting:
            self.limiters[host].reported_demand = self.limiters[host].demand.rate(now)
        total = sum(self.limiters[host].reported_demand for host in reporting)
        for host in reporting:
            self.limiters[host].total_demand = total
            self.fleet_shares[host].hosts_reporting = len(reporting)
            self.fleet_shares[host].summary_at = now

    def simulate(self, seconds, arrivals, reporting) -> list[float]:
        """Return the times at which requests were admitted.

        :param arrivals: returns the requests per second of each host at a given time.
        :param reporting: returns the hosts whose reports are received at a given time.
        """
        admitted: list[float] = []
        waiting = [0.0 for _ in self.limiters]
        for step in range(int(seconds / STEP_S)):
            now = T0 + step * STEP_S
            if step % 20 == 0:
                self.exchange(now, reporting(now - T0))
            for host, rate in enumerate(arrivals(now - T0)):
                waiting[host] += rate * STEP_S
                while waiting[host] >= 1.0:
                    waiting[host] -= 1.0
                    if self.limiters[host].admit(self.fleet_shares[host], now):
                        admitted.append(now)
        return admitted


def max_in_window(times: list[float], window_s: float) -> int:
    return max(sum(start <= at < start + window_s for at in times) for start in times[::7])


class TestRates:
    """A workspace sends many times its rate, and its callers move between hosts."""

    @pytest.mark.parametrize("hosts", [1, 5, 11])
    def test_all_hosts_together_admit_the_rate_and_not_more(self, hosts):
        fleet = Fleet(hosts, rate=100.0, burst=100.0)
        arrivals = [float(part) for part in split_evenly(700, hosts)]
        times = fleet.simulate(10.0, lambda _: arrivals, lambda _: list(range(hosts)))
        assert max_in_window(times, 5.0) <= 600
        assert len([at for at in times if at >= T0 + 2.0]) >= 0.9 * 8.0 * 100.0

    def test_shares_follow_callers_that_move_between_hosts(self):
        fleet = Fleet(4, rate=100.0, burst=100.0)

        def arrivals(at):
            return [90.0, 0.0, 0.0, 0.0] if at < 5.0 else [0.0, 0.0, 0.0, 90.0]

        times = fleet.simulate(12.0, arrivals, lambda _: [0, 1, 2, 3])
        assert len([at for at in times if at >= T0 + 8.0]) >= 0.95 * 4.0 * 90.0
        assert max_in_window(times, 5.0) <= 600

    @pytest.mark.parametrize("partitioned", [1, 2, 5])
    def test_partitioned_hosts_do_not_raise_the_admitted_total(self, partitioned):
        fleet = Fleet(8, rate=100.0, burst=50.0)

        def reporting(at):
            return list(range(8)) if at < 4.0 else list(range(8 - partitioned))

        times = fleet.simulate(14.0, lambda _: [100.0] * 8, reporting)
        assert max_in_window(times, 5.0) <= 100.0 * 5.0 * 1.1 + 50.0

    def test_a_host_without_summaries_for_long_has_no_share(self):
        fleet_share = FleetShare(T0)
        fleet_share.hosts = 4
        assert fleet_share.fraction(5.0, 5.0, T0 + 10.0) == pytest.approx(0.25)
        assert fleet_share.fraction(5.0, 5.0, T0 + 26.0) == 0.0


class TestBurstLimit:
    """Hosts that start, or an uneven spread of callers, must not add tokens beyond the burst."""

    def test_restarted_hosts_do_not_grant_a_second_burst(self):
        fleet = Fleet(24, rate=10.0, burst=100.0)
        starts = iter([0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 3.5, 4.0, 9.0])
        due = next(starts)

        def arrivals(at):
            nonlocal due
            if at >= due:
                due = next(starts)
                share = fleet.fleet_shares[0].fraction(0.0, 0.0, T0 + at)
                fleet.limiters = [RateLimiter(10.0, 100.0, share, T0 + at) for _ in range(24)]
            return [20.0] * 24

        times = fleet.simulate(5.0, arrivals, lambda _: list(range(24)))
        assert len(times) <= 10.0 * 5.0 + 100.0

    @pytest.mark.parametrize("busy", [1, 5, 20])
    def test_the_buckets_of_all_hosts_hold_the_burst_and_not_more(self, busy):
        fleet = Fleet(58, rate=100.0, burst=116.0)
        arrivals = [100.0 / busy if host < busy else 0.0 for host in range(58)]
        fleet.simulate(4.0, lambda _: arrivals, lambda _: list(range(58)))
        fleet.exchange(T0 + 4.0, list(range(58)))
        for limiter, fleet_share in zip(fleet.limiters, fleet.fleet_shares, strict=True):
            limiter.refill(fleet_share, T0 + 4.0)
        assert sum(limiter.max_tokens for limiter in fleet.limiters) <= 116.0 + 1e-6

    def test_tokens_accrue_at_the_share_in_force_at_the_time(self):
        fleet_share = FleetShare(T0)
        fleet_share.hosts = fleet_share.hosts_reporting = 4
        limiter = RateLimiter(100.0, 400.0, 0.25, T0)
        limiter.refill(fleet_share, T0)
        fleet_share.summary_at = T0 + 1.0
        limiter.update_demand(fleet_share, 90.0, 90.0, T0 + 1.0)
        assert limiter.share > 0.9
        assert limiter.tokens == pytest.approx(25.0, abs=0.1)


class TestRetryBudget:
    """Retries of requests that an overloaded service sheds must not overload the next server."""

    @pytest.mark.parametrize("hosts", [1, 11, 77])
    def test_all_hosts_together_retry_within_the_budget(self, hosts):
        ratio, allowance, window_s = 0.2, 62.0, 10.0
        requests = retries = 0
        for _ in range(hosts):
            budget = RetryBudget(ratio, allowance, window_s, T0)
            budget.hosts = hosts
            budget.tokens = budget.max_tokens
            for step in range(500):
                budget.record_request(T0 + step * window_s / 500)
                requests += 1
                retries += budget.take_token()
        assert retries <= ratio * requests + allowance
        assert retries >= 0.5 * ratio * requests

    def test_a_host_with_few_requests_may_still_retry(self):
        budget = RetryBudget(0.2, 62.0, 10.0, T0)
        for step in range(12):
            budget.record_request(T0 + step)
        assert budget.take_token()
