"""Compares ways to hold a workspace's rate over ten hosts, and times one decision.

``python -m bench.shares`` prints JSON; all but the times of ``admit`` is in virtual time.
"""

from __future__ import annotations

import argparse
import json
import random
import statistics
import time
import typing as t

from bench._share_ways import (
    HOSTS,
    CentralBucket,
    OwnerPerWorkspace,
    Shares,
    StaticSplit,
    StoreCounters,
    Way,
    _finish,
)
from radishbridge.records import Rate, Record
from radishbridge.shares import ShareAdmission
from radishbridge_standin.memory import MemoryMesh, MemoryNetwork, MemoryStore, StoreClient

RATE = Rate(requests_per_second=200.0, burst=100.0)
SMALL_RATE = Rate(requests_per_second=4.0, burst=4.0)
STEP_S = 0.005
WARM_UP_S = 15.0
RUN_S = 60.0
JUMP_S = 2.0
WITHIN = 0.9
LONGEST_WAIT_S = 0.1
TIMED_CALLS = 200_000
REGION = (0, 1, 2)

Load = t.Callable[[float, random.Random], int]


class Outcome:
    """What one run of a way gave.

    :param refused_within: refused at once although the central bucket admits.
    :param refused_after_wait: the same, of those still refused 0.1 s after they arrived.
    :param over: most requests admitted beyond rate and burst in any window.
    """

    __slots__ = ("admitted", "over", "refused_after_wait", "refused_within", "sent")

    def __init__(self) -> None:
        self.sent = 0
        self.admitted = 0
        self.refused_within = 0
        self.refused_after_wait = 0
        self.over = 0.0


class Waiting(t.NamedTuple):
    """A refused request that tries again until a time."""

    host: int
    until: float


class Run:
    """One way under one load, next to the central bucket under the same load."""

    def __init__(self, way: Way, load: Load, per_second: float, rate: Rate) -> None:
        self.way = way
        self.load = load
        self.per_second = per_second
        self.rate = rate
        self.central = CentralBucket(rate)
        self.random = random.Random(5)
        self.outcome = Outcome()
        self.waiting: list[Waiting] = []
        self.allowance = rate.burst
        self.now = 0.0
        self.wait = False

    def warm_up(self) -> None:
        """Let the hosts divide the units."""
        while self.now < WARM_UP_S:
            self._advance()

    def go(self, seconds: float) -> None:
        """Send requests with random spacing for a while."""
        end = self.now + seconds
        next_at = self.now + self.random.expovariate(self.per_second)
        while self.now < end:
            self._advance()
            self._retry()
            while next_at <= self.now:
                self._request()
                next_at += self.random.expovariate(self.per_second)

    def _advance(self) -> None:
        self.now += STEP_S
        grown = self.allowance + STEP_S * self.rate.requests_per_second
        self.allowance = min(self.rate.burst, grown)
        self.way.step(self.now)

    def _request(self) -> None:
        host = self.load(self.now, self.random)
        self.outcome.sent += 1
        within = self.central.admit(host, self.now)
        if self._try(host):
            return
        if within:
            self.outcome.refused_within += 1
            if self.wait:
                self.waiting.append(Waiting(host, self.now + LONGEST_WAIT_S))

    def _retry(self) -> None:
        # Trials for the wait spend tokens as real ones would.
        left = [one for one in self.waiting if not self._try(one.host, again=True)]
        self.waiting = [one for one in left if self.now < one.until]
        self.outcome.refused_after_wait += len(left) - len(self.waiting)

    def _try(self, host: int, again: bool = False) -> bool:
        if not self.way.admit(host, self.now, again):
            return False
        self.outcome.admitted += 1
        self.allowance -= 1.0
        self.outcome.over = max(self.outcome.over, -self.allowance)
        return True

    def report(self) -> dict[str, float]:
        """Return the figures."""
        outcome = self.outcome
        return {
            "sent": outcome.sent,
            "admitted": outcome.admitted,
            "over_rate_and_burst": round(outcome.over, 2),
            "refused_within_rate": outcome.refused_within,
            "refused_within_rate_after_0.1_s": outcome.refused_after_wait,
            "messages_per_s": round(self.way.messages / self.now, 1),
            "store_calls_per_s": round(self.way.store_calls / self.now, 1),
        }


def uniform(now: float, rng: random.Random) -> int:
    """Spread requests over all hosts."""
    host: int = rng.randrange(HOSTS)
    return host


def jumping(now: float, rng: random.Random) -> int:
    """Send all requests to one host, another one every two seconds."""
    jumps = int(now / JUMP_S)
    host: int = jumps * 7 % HOSTS
    return host


WAYS: dict[str, t.Callable[[Rate], Way]] = {
    "static split": StaticSplit,
    "owner per workspace": OwnerPerWorkspace,
    "store counters": StoreCounters,
    "shares": Shares,
}


def compare() -> dict[str, dict[str, dict[str, float]]]:
    """Run each way under each load."""
    loads: dict[str, tuple[Load, float, Rate]] = {
        "uniform at 90 %": (uniform, WITHIN, RATE),
        "jumping at 90 %": (jumping, WITHIN, RATE),
        "uniform at 8 times": (uniform, 8.0, RATE),
        "uniform at 50 %, 4/s burst 4": (uniform, 0.5, SMALL_RATE),
    }
    report: dict[str, dict[str, dict[str, float]]] = {}
    for load_name, (load, times, rate) in loads.items():
        report[load_name] = {}
        for name, create in WAYS.items():
            report[load_name][name] = {
                **_run(create, load, times, rate, wait=False),
                "refused_within_rate_after_0.1_s": _run(create, load, times, rate, wait=True)[
                    "refused_within_rate_after_0.1_s"
                ],
            }
    return report


def _run(
    create: t.Callable[[Rate], Way], load: Load, times: float, rate: Rate, wait: bool
) -> dict[str, float]:
    run = Run(create(rate), load, times * rate.requests_per_second, rate)
    run.wait = wait
    run.warm_up()
    run.go(RUN_S)
    return run.report()


def outages() -> dict[str, dict[str, float]]:
    """Run the shares through faults, at 90 % of the rate over the hosts that run."""
    return {
        "outage alone": _faulty(lambda shares: shares.cut_store(range(HOSTS))),
        "outage and one crash": _faulty(_outage_and_crash, skip=(0,)),
        "one crash": _faulty(lambda shares: shares.crash(0), skip=(0,)),
        "region cut off, callers in the rest": _faulty(_cut_region, skip=REGION),
        "region cut off, callers in it": _faulty(
            _cut_region, skip=tuple(one for one in range(HOSTS) if one not in REGION)
        ),
        "region cut off, rate withdrawn elsewhere, callers in the region": _faulty(
            _cut_region_and_withdraw, skip=tuple(one for one in range(HOSTS) if one not in REGION)
        ),
    }


def _faulty(fault: t.Callable[[Shares], None], skip: tuple[int, ...] = ()) -> dict[str, float]:
    shares = Shares(RATE)
    hosts = [one for one in range(HOSTS) if one not in skip]
    run = Run(shares, lambda now, rng: rng.choice(hosts), WITHIN * RATE.requests_per_second, RATE)
    run.warm_up()
    fault(shares)
    run.go(RUN_S)
    return run.report()


def _outage_and_crash(shares: Shares) -> None:
    shares.cut_store(range(HOSTS))
    shares.crash(0)


def _cut_region(shares: Shares) -> None:
    shares.cut_store(REGION)
    shares.cut_links(REGION)


def _cut_region_and_withdraw(shares: Shares) -> None:
    _cut_region(shares)
    shares.set_rate(None, (one for one in range(HOSTS) if one not in REGION))


def time_admit(workspaces: int) -> dict[str, float]:
    """Time ``admit`` on the real clock at one host that holds all units, in microseconds."""
    network = MemoryNetwork(random.Random(1), delay_s=0.0)
    client = StoreClient(MemoryStore())
    admission = ShareAdmission(client, MemoryMesh(network, "host-0", 1), "host-0", 1)
    names = [f"workspace-{one}" for one in range(workspaces)]
    for name in names:
        admission.update(Record(kind="rate", name=name, version=1, body=RATE))
    _finish(admission.membership.renew_once())
    rng = random.Random(2)
    spent = []
    for name in rng.choices(names, k=TIMED_CALLS):
        started = time.perf_counter()
        admission.admit(name, time.monotonic())
        spent.append((time.perf_counter() - started) * 1e6)
    cuts = statistics.quantiles(spent, n=1000)
    return {
        "workspaces": workspaces,
        "median_us": round(cuts[499], 2),
        "p99_us": round(cuts[989], 2),
        "p99.9_us": round(cuts[998], 2),
    }


def main() -> None:
    """Print the figures asked for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", nargs="?", choices=["ways", "outages", "admit", "all"])
    part = parser.parse_args().part or "all"
    report: dict[str, t.Any] = {}
    if part in ("ways", "all"):
        report["ways"] = compare()
    if part in ("outages", "all"):
        report["outages"] = outages()
    if part in ("admit", "all"):
        report["admit"] = [time_admit(8), time_admit(3500)]
    print(json.dumps(report, indent=1))


if __name__ == "__main__":
    main()
