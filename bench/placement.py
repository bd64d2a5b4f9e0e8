"""Measures how many objects change their server when servers are added, removed or replaced.

``python -m bench.placement --servers 63 --objects 2000 --seeds 3`` prints a table of all cases, for
rankings by server name and by place. Each figure is a part of all objects, as a mean over the
seeds. It needs no network, and the time is virtual.
"""

from __future__ import annotations

import argparse
import itertools
import statistics
import sys
import time

import msgspec

from bench._placement_agreement import Disagreement, cold_runs
from bench._placement_alternatives import METHODS, compare
from bench._placement_cases import CASES, CAUSES, SERVICE, Result, World
from bench._placement_return import Setup, run_replacement, summarize_return

AGREEMENT_REQUESTS = 120_000
RANKINGS = {"name": False, "place": True}


def measure_case(case: str, by_place: bool, servers: int, objects: int, seeds: int) -> list[Result]:
    """Return the results of a case for each seed."""
    results = []
    for seed in range(seeds):
        world = World(servers, objects, by_place, seed)
        CASES[case](world)
        results.append(world.result())
    return results


def measure_costs(by_place: bool, servers: int, objects: int) -> dict[str, float]:
    """Return the cost of one ranking, of a choice with a cached ranking, and of a change, in µs."""
    world = World(servers, objects, by_place, 0)
    selector = world.selector
    selector.rankings.clear()
    start = time.process_time()
    for criteria in world.criteria:
        selector._ranking(criteria)
    ranked = time.process_time()
    for criteria in world.criteria:
        selector.choose(criteria, (), world.now)
    chosen = time.process_time()
    changes = 100
    for number in range(changes):
        server = world.new_server("west-a")
        selector.put(server, world.now)
        selector.settle_places(world.now + number)
        selector.remove(server.name)
    changed = time.process_time()
    return {
        "ranking": 1e6 * (ranked - start) / objects,
        "choice": 1e6 * (chosen - ranked) / objects,
        "change": 1e6 * (changed - chosen) / (2 * changes),
    }


def print_alternatives(servers: int, objects: int) -> None:
    """Print moves, shares and costs of other methods."""
    for name, method in METHODS.items():
        figures = compare(method, servers, objects)._asdict()
        cells = ", ".join(f"{column} {value:.2f}" for column, value in figures.items())
        print(f"{name}, {servers} servers, {objects} objects: {cells}")


def print_return(seeds: int) -> None:
    """Print what runs the objects of a replaced server, by seconds since the replacement."""
    for ranking, by_place in RANKINGS.items():
        histories = [run_replacement(by_place, seed) for seed in range(seeds)]
        for interval in summarize_return(histories, 5.0):
            print(
                f"by {ranking}, from {interval.from_s:2.0f} s: {interval.requests} requests, "
                f"{interval.by_replacement:.2f} by the replacement, {interval.cold:.3f} cold, "
                f"{interval.switches:.2f} switches for each object"
            )
    for keeps, load in itertools.product((30, 18), (0.5, 0.75)):
        cold = {
            ranking: statistics.fmean(
                sum(not one.was_warm for one in run_replacement(by_place, seed, Setup(keeps, load)))
                for seed in range(seeds)
            )
            for ranking, by_place in RANKINGS.items()
        }
        cells = ", ".join(f"{count:.1f} by {ranking}" for ranking, count in cold.items())
        print(f"{keeps} warm for each server, load {load}: cold runs in 61 s: {cells}")


def print_agreement(servers: int) -> None:
    """Print the runs on cold objects by how many hosts have other places for how many servers."""
    for objects, keeps in ((300, 20), (600, 20), (900, 20), (600, 12)):
        for hosts, replaced in ((0.0, 0.0), (1 / 76, 1.0), (0.1, 1.0), (0.5, 1.0), (0.5, 0.25)):
            setup = Disagreement(servers, objects, keeps, hosts, replaced)
            cold = statistics.fmean(cold_runs(setup, AGREEMENT_REQUESTS, seed) for seed in range(3))
            print(
                f"{objects} objects, {keeps} warm for each server, {hosts:.2f} of the hosts, "
                f"{replaced:.2f} of the servers: {cold:.3f} cold"
            )


def summarize(results: list[Result]) -> dict[str, float]:
    """Return the means over the seeds."""
    least = statistics.fmean(result.least for result in results)
    total = statistics.fmean(result.total for result in results)
    causes = {
        cause: statistics.fmean(result.moved[cause] for result in results) for cause in CAUSES
    }
    return {
        "least": least,
        "moved": total,
        "ratio": total / least,
        **causes,
        "least_net": statistics.fmean(result.least_net for result in results),
        "net": statistics.fmean(result.net for result in results),
        "share_error": statistics.fmean(result.share_error for result in results),
        "disagreement": statistics.fmean(result.disagreement for result in results),
        "recorded": statistics.fmean(result.recorded for result in results),
    }


def main(arguments: list[str] | None = None) -> int:
    """Run the measurement."""
    parser = argparse.ArgumentParser(prog="python -m bench.placement")
    parser.add_argument("--servers", type=int, default=63)
    parser.add_argument("--objects", type=int, default=2_000, help="at most 4,000")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--case", choices=sorted(CASES), action="append")
    parser.add_argument("--json", action="store_true")
    parser.add_argument(
        "--agreement", action="store_true", help="measure what hosts with other places cost"
    )
    parser.add_argument(
        "--alternatives", action="store_true", help="compare other ways to rank places"
    )
    parser.add_argument(
        "--return",
        dest="returning",
        action="store_true",
        help="measure how objects return to a place whose new server is cold",
    )
    options = parser.parse_args(arguments)
    if options.alternatives:
        print_alternatives(options.servers, options.objects)
        return 0
    if options.returning:
        print_return(options.seeds)
        return 0
    if options.agreement:
        print_agreement(options.servers)
        return 0
    report = {
        case: {
            ranking: summarize(
                measure_case(case, by_place, options.servers, options.objects, options.seeds)
            )
            for ranking, by_place in RANKINGS.items()
        }
        for case in options.case or CASES
    }
    costs = {
        ranking: measure_costs(by_place, options.servers, options.objects)
        for ranking, by_place in RANKINGS.items()
    }
    if options.json:
        document = {"service": SERVICE, "cases": report, "costs_us": costs}
        print(msgspec.json.format(msgspec.json.encode(document)).decode())
        return 0
    columns = list(next(iter(report.values()))["name"])
    print(f"{'case':30} {'ranked by':9} " + " ".join(f"{column:>12}" for column in columns))
    for case, by_ranking in report.items():
        for ranking, figures in by_ranking.items():
            cells = " ".join(f"{figures[column]:12.4f}" for column in columns)
            print(f"{case:30} {ranking:9} {cells}")
    for ranking, figures in costs.items():
        cells = ", ".join(f"{name} {value:.1f} µs" for name, value in figures.items())
        print(f"by {ranking}, {options.servers} servers: {cells}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
