"""Compares distributed rate limiters for a workspace on ten hosts, and times one decision.

``python -m bench.shares`` prints JSON. Everything but the times of ``admit`` is in virtual time.
"""

from __future__ import annotations

import argparse
import json
import random
import statistics
import time
import typing as t

from bench._rate_limiters import (
    HOSTS,
    CentralTokenBucket,
    DistributedRateLimiter,
    ShareRateLimiter,
    StaticSplit,
    StoreCounter,
    WorkspaceOwner,
    run_to_completion,
)
from radishbridge.records import Rate, Record
from radishbridge.shares import ShareAdmission
from radishbridge_standin.memory import MemoryMesh, MemoryNetwork, MemoryStore, StoreClient

RATE = Rate(requests_per_second=200.0, burst=100.0)
SMALL_RATE = Rate(requests_per_second=4.0, burst=4.0)
STEP_S = 0.005
WARM_UP_S = 15.0
RUN_DURATION_S = 60.0
JUMP_INTERVAL_S = 2.0
NORMAL_LOAD_FACTOR = 0.9
CALLER_WAIT_MAX_S = 0.1
TIMED_CALLS = 200_000
CUT_OFF_HOSTS = (0, 1, 2)

HostChooser = t.Callable[[float, random.Random], int]


class RunCounts:
    """Request counts of one run.

    :param refused_within_rate: requests refused at once although the central bucket admits them.
    :param refused_after_wait: of these, requests still refused 0.1 s after they arrived.
    :param excess_max: largest number of requests admitted beyond rate and burst in any window.
    """

    __slots__ = ("admitted", "excess_max", "refused_after_wait", "refused_within_rate", "sent")

    def __init__(self) -> None:
        self.sent = 0
        self.admitted = 0
        self.refused_within_rate = 0
        self.refused_after_wait = 0
        self.excess_max = 0.0


class WaitingRequest(t.NamedTuple):
    """A refused request that is retried until ``give_up_at``."""

    host: int
    give_up_at: float


class ComparisonRun:
    """Runs a rate limiter under a load, with the central bucket under the same load.

    :param choose_host: returns the host of a request, given the time.
    """

    def __init__(
        self,
        rate_limiter: DistributedRateLimiter,
        choose_host: HostChooser,
        requests_per_s: float,
        rate: Rate,
    ) -> None:
        self.rate_limiter = rate_limiter
        self.choose_host = choose_host
        self.requests_per_s = requests_per_s
        self.rate = rate
        self.central = CentralTokenBucket(rate)
        self.rng = random.Random(5)
        self.counts = RunCounts()
        self.waiting: list[WaitingRequest] = []
        self.allowance = rate.burst
        self.now = 0.0
        self.retry_refused = False

    def warm_up(self) -> None:
        """Wait until the hosts have divided the units of the rate."""
        while self.now < WARM_UP_S:
            self._advance_clock()

    def send_requests(self, seconds: float) -> None:
        """Send requests at random intervals for some seconds."""
        end = self.now + seconds
        next_at = self.now + self.rng.expovariate(self.requests_per_s)
        while self.now < end:
            self._advance_clock()
            self._retry_waiting()
            while next_at <= self.now:
                self._send_request()
                next_at += self.rng.expovariate(self.requests_per_s)

    def _advance_clock(self) -> None:
        self.now += STEP_S
        refilled = self.allowance + STEP_S * self.rate.requests_per_second
        self.allowance = min(self.rate.burst, refilled)
        self.rate_limiter.step(self.now)

    def _send_request(self) -> None:
        host = self.choose_host(self.now, self.rng)
        self.counts.sent += 1
        is_within_rate = self.central.admit(host, self.now)
        if self._admit(host):
            return
        if is_within_rate:
            self.counts.refused_within_rate += 1
            if self.retry_refused:
                self.waiting.append(WaitingRequest(host, self.now + CALLER_WAIT_MAX_S))

    def _retry_waiting(self) -> None:
        # Retries consume tokens, as they do in a real host.
        still_refused = [
            request for request in self.waiting if not self._admit(request.host, is_retry=True)
        ]
        self.waiting = [request for request in still_refused if self.now < request.give_up_at]
        self.counts.refused_after_wait += len(still_refused) - len(self.waiting)

    def _admit(self, host: int, is_retry: bool = False) -> bool:
        if not self.rate_limiter.admit(host, self.now, is_retry):
            return False
        self.counts.admitted += 1
        self.allowance -= 1.0
        self.counts.excess_max = max(self.counts.excess_max, -self.allowance)
        return True

    def report(self) -> dict[str, float]:
        """Return the results of the run."""
        counts = self.counts
        return {
            "sent": counts.sent,
            "admitted": counts.admitted,
            "over_rate_and_burst": round(counts.excess_max, 2),
            "refused_within_rate": counts.refused_within_rate,
            "refused_within_rate_after_0.1_s": counts.refused_after_wait,
            "messages_per_s": round(self.rate_limiter.messages / self.now, 1),
            "store_calls_per_s": round(self.rate_limiter.store_calls / self.now, 1),
        }


def choose_uniform(now: float, rng: random.Random) -> int:
    """Return a random host."""
    host: int = rng.randrange(HOSTS)
    return host


def choose_jumping(now: float, rng: random.Random) -> int:
    """Return the same host for two seconds, then another one."""
    jumps = int(now / JUMP_INTERVAL_S)
    host: int = jumps * 7 % HOSTS
    return host


RATE_LIMITERS: dict[str, t.Callable[[Rate], DistributedRateLimiter]] = {
    "static split": StaticSplit,
    "owner per workspace": WorkspaceOwner,
    "store counters": StoreCounter,
    "shares": ShareRateLimiter,
}


def compare_rate_limiters() -> dict[str, dict[str, dict[str, float]]]:
    """Run each rate limiter under each load."""
    loads: dict[str, tuple[HostChooser, float, Rate]] = {
        "uniform at 90 %": (choose_uniform, NORMAL_LOAD_FACTOR, RATE),
        "jumping at 90 %": (choose_jumping, NORMAL_LOAD_FACTOR, RATE),
        "uniform at 8 times": (choose_uniform, 8.0, RATE),
        "uniform at 50 %, 4/s burst 4": (choose_uniform, 0.5, SMALL_RATE),
    }
    report: dict[str, dict[str, dict[str, float]]] = {}
    for load_name, (choose_host, load_factor, rate) in loads.items():
        report[load_name] = {}
        for name, make_rate_limiter in RATE_LIMITERS.items():
            report[load_name][name] = {
                **_run_load(make_rate_limiter, choose_host, load_factor, rate, retry_refused=False),
                "refused_within_rate_after_0.1_s": _run_load(
                    make_rate_limiter, choose_host, load_factor, rate, retry_refused=True
                )["refused_within_rate_after_0.1_s"],
            }
    return report


def _run_load(
    make_rate_limiter: t.Callable[[Rate], DistributedRateLimiter],
    choose_host: HostChooser,
    load_factor: float,
    rate: Rate,
    retry_refused: bool,
) -> dict[str, float]:
    run = ComparisonRun(
        make_rate_limiter(rate), choose_host, load_factor * rate.requests_per_second, rate
    )
    run.retry_refused = retry_refused
    run.warm_up()
    run.send_requests(RUN_DURATION_S)
    return run.report()


def measure_faults() -> dict[str, dict[str, float]]:
    """Run the shares through faults, with 90 % of the rate spread over the hosts with callers."""
    return {
        "outage alone": _run_with_fault(lambda shares: shares.cut_store(range(HOSTS))),
        "outage and one crash": _run_with_fault(_outage_and_crash, idle_hosts=(0,)),
        "one crash": _run_with_fault(lambda shares: shares.crash(0), idle_hosts=(0,)),
        "region cut off, callers in the rest": _run_with_fault(
            _cut_region, idle_hosts=CUT_OFF_HOSTS
        ),
        "region cut off, callers in it": _run_with_fault(
            _cut_region,
            idle_hosts=tuple(host for host in range(HOSTS) if host not in CUT_OFF_HOSTS),
        ),
        "region cut off, rate withdrawn elsewhere, callers in the region": _run_with_fault(
            _cut_region_and_withdraw,
            idle_hosts=tuple(host for host in range(HOSTS) if host not in CUT_OFF_HOSTS),
        ),
    }


def _run_with_fault(
    fault: t.Callable[[ShareRateLimiter], None], idle_hosts: tuple[int, ...] = ()
) -> dict[str, float]:
    shares = ShareRateLimiter(RATE)
    hosts = [host for host in range(HOSTS) if host not in idle_hosts]
    run = ComparisonRun(
        shares,
        lambda now, rng: rng.choice(hosts),
        NORMAL_LOAD_FACTOR * RATE.requests_per_second,
        RATE,
    )
    run.warm_up()
    fault(shares)
    run.send_requests(RUN_DURATION_S)
    return run.report()


def _outage_and_crash(shares: ShareRateLimiter) -> None:
    shares.cut_store(range(HOSTS))
    shares.crash(0)


def _cut_region(shares: ShareRateLimiter) -> None:
    shares.cut_store(CUT_OFF_HOSTS)
    shares.cut_links(CUT_OFF_HOSTS)


def _cut_region_and_withdraw(shares: ShareRateLimiter) -> None:
    _cut_region(shares)
    shares.set_rate(None, (host for host in range(HOSTS) if host not in CUT_OFF_HOSTS))


def time_admit(workspaces: int) -> dict[str, float]:
    """Time ``admit`` in microseconds of real time, at one host that holds all units."""
    network = MemoryNetwork(random.Random(1), delay_s=0.0)
    client = StoreClient(MemoryStore())
    admission = ShareAdmission(client, MemoryMesh(network, "host-0", 1), "host-0", 1)
    names = [f"workspace-{number}" for number in range(workspaces)]
    for name in names:
        admission.update(Record(kind="rate", name=name, version=1, body=RATE))
    run_to_completion(admission.membership.renew_once())
    rng = random.Random(2)
    times_us = []
    for name in rng.choices(names, k=TIMED_CALLS):
        started = time.perf_counter()
        admission.admit(name, time.monotonic())
        times_us.append((time.perf_counter() - started) * 1e6)
    quantiles = statistics.quantiles(times_us, n=1000)
    return {
        "workspaces": workspaces,
        "median_us": round(quantiles[499], 2),
        "p99_us": round(quantiles[989], 2),
        "p99.9_us": round(quantiles[998], 2),
    }


def main() -> None:
    """Print the results of the measurements given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", nargs="?", choices=["ways", "outages", "admit", "all"])
    part = parser.parse_args().part or "all"
    report: dict[str, t.Any] = {}
    if part in ("ways", "all"):
        report["ways"] = compare_rate_limiters()
    if part in ("outages", "all"):
        report["outages"] = measure_faults()
    if part in ("admit", "all"):
        report["admit"] = [time_admit(8), time_admit(3500)]
    print(json.dumps(report, indent=1))


if __name__ == "__main__":
    main()
