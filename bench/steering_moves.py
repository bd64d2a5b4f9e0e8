"""Simulates version moves to good and faulty versions, and compares them with a fixed-step move.

Prints JSON: for each case and policy how the moves ended, and which share of all requests the new
version got.
"""

from __future__ import annotations

import argparse
import collections
import concurrent.futures
import math
import statistics
import sys
import typing as t

import msgspec
import numpy as np

from bench import _move_cases as cases
from radishbridge.moves import (
    FINAL_PHASES,
    Fault,
    Observations,
    Phase,
    Ramp,
    StreamKey,
    Tally,
    effective_share,
    start_move,
)
from radishbridge.records import Move

REQUESTS_PER_S = 400.0
LATENCY_LOG_SIGMA = 0.5
SLOW_THRESHOLD_FACTOR = 1.5
BASELINE_QUANTILE_Z = 1.2816
WORKER_PROCESSES = 3
MEASUREMENT_GAP_S = 10.0
MOVE = Move(service="catalogue", from_version="1", to_version="2", deadline_s=600.0)


class RunResult(msgspec.Struct):
    """Result of one move.

    :param ended_s: time at which the move reached a final phase.
    :param new_share: share of all requests within the deadline that the new version got.
    :param after_verdict: requests sent to the new version later than 2 s after the move ended
        without success.
    """

    phase: Phase
    ended_s: float
    new_share: float
    after_verdict: int


class CaseReport(msgspec.Struct, kw_only=True):
    """Results of all runs of one case under one policy."""

    case: str
    policy: str
    runs: int
    phases: dict[str, int]
    median_end_s: float
    mean_new_share: float
    worst_new_share: float
    after_verdict: int


def slow_probability(factor: float) -> float:
    """Return the probability that a log-normal latency times a factor exceeds the slow threshold.

    The threshold is a multiple of a high quantile of the old version's latency.
    """
    z = (
        math.log(SLOW_THRESHOLD_FACTOR / factor) + LATENCY_LOG_SIGMA * BASELINE_QUANTILE_Z
    ) / LATENCY_LOG_SIGMA
    return 0.5 * math.erfc(z / math.sqrt(2.0))


class Simulation:
    """Simulates the traffic of one move in steps of one second."""

    __slots__ = ("case", "rng", "sent_new", "sent_total")

    def __init__(self, case: cases.Case, seed: int) -> None:
        self.case = case
        self.rng = np.random.default_rng(seed)
        self.sent_new = 0
        self.sent_total = 0

    def simulate_second(self, elapsed_s: float, share: float) -> Observations:
        """Return what hosts observe in one second.

        :param share: share of the requests that go to the new version.
        """
        total = self.rng.poisson(REQUESTS_PER_S * cases.TRAFFIC_SHARES)
        new = self.rng.binomial(total, share)
        old = total - new
        self.sent_new += int(new.sum())
        self.sent_total += int(total.sum())
        conditions = cases.Conditions(elapsed_s, share)
        new_errors = self.rng.binomial(new, self.case.error_probabilities(conditions))
        old_errors = self.rng.binomial(old, self.case.old_error_probability(elapsed_s))
        observations = Observations()
        for axis, kind, names in ((1, "route", cases.ROUTES), (0, "workspace", cases.WORKSPACES)):
            sums = [counts.sum(axis=axis) for counts in (new, new_errors, old, old_errors)]
            for index, name in enumerate(names):
                key = StreamKey(Fault.ERROR, f"{kind} {name}")
                observations.tallies[key] = Tally(*(int(counts[index]) for counts in sums))
        self._add_latency_tallies(observations, conditions, (new - new_errors), (old - old_errors))
        return observations

    def _add_latency_tallies(
        self, observations: Observations, conditions: cases.Conditions, new: t.Any, old: t.Any
    ) -> None:
        new_probability = slow_probability(self.case.latency_factor(conditions))
        for index, name in enumerate(cases.ROUTES):
            new_total, old_total = int(new[index].sum()), int(old[index].sum())
            observations.tallies[StreamKey(Fault.SLOW, f"route {name} idle")] = Tally(
                new_total,
                int(self.rng.binomial(new_total, new_probability)),
                old_total,
                int(self.rng.binomial(old_total, slow_probability(1.0))),
            )


def run_ramp(case: cases.Case, seed: int) -> RunResult:
    """Run ``Ramp``; observations and changes of the share each take a second to arrive."""
    simulation = Simulation(case, seed)
    ramp = Ramp(MOVE, start_move("m", MOVE, 0.0), 0.0)
    status_in_force = ramp.status
    ended_s = 0.0
    after_verdict = 0
    for second in range(int(MOVE.deadline_s)):
        now = float(second)
        before = simulation.sent_new
        observations = simulation.simulate_second(now, effective_share(status_in_force, now))
        if ended_s and status_in_force.phase is not Phase.DONE and now > ended_s + 2.0:
            after_verdict += simulation.sent_new - before
        status_in_force = ramp.status
        if not case.measurement_gap_at_s <= now < case.measurement_gap_at_s + MEASUREMENT_GAP_S:
            ramp.observe(observations, now + 1.0)
        if ramp.step(now + 1.0).phase in FINAL_PHASES and not ended_s:
            ended_s = now + 1.0
    share = simulation.sent_new / simulation.sent_total
    return RunResult(ramp.step(MOVE.deadline_s).phase, ended_s, share, after_verdict)


def run_fixed_steps(case: cases.Case, seed: int) -> RunResult:
    """Run a move that adds a tenth each minute, and rolls back if most requests fail."""
    simulation = Simulation(case, seed)
    share = 0.0
    for second in range(int(MOVE.deadline_s)):
        share = min(1.0, 0.1 * (1 + second // 60))
        observations = simulation.simulate_second(float(second), share)
        tallies = [
            tally
            for key, tally in observations.tallies.items()
            if key.fault is Fault.ERROR and key.group.startswith("route")
        ]
        if sum(tally.new_faults for tally in tallies) > 0.5 * sum(
            tally.new_total for tally in tallies
        ):
            remaining_s = MOVE.deadline_s - second
            total = simulation.sent_total + remaining_s * REQUESTS_PER_S
            return RunResult(Phase.ROLLED_BACK, float(second), simulation.sent_new / total, 0)
    new_share = simulation.sent_new / simulation.sent_total
    return RunResult(Phase.DONE, MOVE.deadline_s, new_share, 0)


POLICIES = {"radishbridge": run_ramp, "fixed steps": run_fixed_steps}


def run_case(index: int, policy: str, seeds: int) -> CaseReport:
    """Run one case over all seeds."""
    case = cases.CASES[index]
    results = [POLICIES[policy](case, seed) for seed in range(seeds)]
    return CaseReport(
        case=case.name,
        policy=policy,
        runs=seeds,
        phases=dict(collections.Counter(result.phase.value for result in results)),
        median_end_s=statistics.median(result.ended_s for result in results),
        mean_new_share=statistics.fmean(result.new_share for result in results),
        worst_new_share=max(result.new_share for result in results),
        after_verdict=sum(result.after_verdict for result in results),
    )


def main() -> None:
    """Print the reports of all cases as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    seeds = parser.parse_args().seeds
    with concurrent.futures.ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        jobs = [
            pool.submit(run_case, index, policy, seeds)
            for policy in POLICIES
            for index in range(len(cases.CASES))
        ]
        reports = [job.result() for job in jobs]
    sys.stdout.write(msgspec.json.format(msgspec.json.encode(reports)).decode() + "\n")


if __name__ == "__main__":
    main()
