"""Compares placement policies in a simulation of the served systems.

``python -m bench.lab bench/shapes/bavaria.jsonc --seeds 5 --picture lab.png --json lab.json``
prints a table. All policies see the same arrivals for a seed. Exit code 2 means a settings error.
"""

from __future__ import annotations

import argparse
import itertools
import pathlib
import statistics
import sys
import typing as t

import msgspec

from bench._policies import POLICIES
from bench._simulation import RequestResult, Shape, Simulation
from radishbridge.records import Failure, ResultCode
from radishbridge.records.jsonc import load_document

EXIT_USAGE = 2
# Length of the time windows; the mean of the two worst is reported.
WINDOW_S = 2.0
# Worth of a response that misses the latency target; one within the target is worth 1.
LATE_RESPONSE_WORTH = 0.2


class Report(msgspec.Struct, kw_only=True):
    """Results of one policy in one experiment, as means over the seeds.

    :param requests: number of requests, summed over the seeds.
    :param worth: mean worth of a request; 1.0 if all responses came within the latency target.
    :param worst_windows: mean worth over the two worst windows.
    :param in_aim: fraction of the requests served within the latency target.
    :param late: fraction served after the latency target.
    :param windows: mean worth of each window in order of time.
    """

    policy: str
    requests: int
    worth: float
    worst_windows: float
    in_aim: float
    late: float
    refused: float
    failed: float
    p50_s: float
    p99_s: float
    windows: list[float]


def build_report(policy: str, results: list[RequestResult], aim_s: float) -> Report:
    """Summarize the results of one run."""
    latencies_s = sorted(result.latency_s for result in results if result.latency_s is not None)
    in_aim = sum(latency_s <= aim_s for latency_s in latencies_s)
    refused = sum(result.refused for result in results)
    count = max(1, len(results))
    windows = _worth_by_window(results, aim_s)
    return Report(
        policy=policy,
        requests=len(results),
        worth=_mean_worth(results, aim_s),
        worst_windows=statistics.fmean(sorted(windows)[:2]),
        in_aim=in_aim / count,
        late=(len(latencies_s) - in_aim) / count,
        refused=refused / count,
        failed=(len(results) - len(latencies_s) - refused) / count,
        p50_s=_quantile(latencies_s, 0.5),
        p99_s=_quantile(latencies_s, 0.99),
        windows=windows,
    )


def _mean_worth(results: t.Sequence[RequestResult], aim_s: float) -> float:
    earned = (
        1.0 if result.latency_s <= aim_s else LATE_RESPONSE_WORTH
        for result in results
        if result.latency_s is not None
    )
    return sum(earned) / max(1, len(results))


def _worth_by_window(results: list[RequestResult], aim_s: float) -> list[float]:
    sorted_results = sorted(results, key=lambda result: result.sent_at)
    groups = itertools.groupby(sorted_results, key=lambda result: int(result.sent_at / WINDOW_S))
    return [_mean_worth(list(group), aim_s) for _, group in groups]


def _quantile(sorted_values: list[float], fraction: float) -> float:
    return (
        sorted_values[min(len(sorted_values) - 1, int(fraction * len(sorted_values)))]
        if sorted_values
        else 0.0
    )


def average_reports(reports: list[Report]) -> Report:
    """Average the reports of one policy over its seeds."""
    figures = {
        name: statistics.fmean(getattr(report, name) for report in reports)
        for name in Report.__struct_fields__
        if name not in ("policy", "requests", "windows")
    }
    windows = [
        statistics.fmean(values)
        for values in zip(*(report.windows for report in reports), strict=False)
    ]
    requests = sum(report.requests for report in reports)
    return Report(policy=reports[0].policy, requests=requests, windows=windows, **figures)


def read_shape(path: pathlib.Path) -> Shape | Failure:
    """Read and validate the settings file of an experiment."""
    document = load_document(path)
    if isinstance(document, Failure):
        return document
    try:
        return msgspec.convert(document.value, type=Shape)
    except msgspec.ValidationError as error:
        return Failure(ResultCode.SETTINGS_INVALID, f"{path}: {error}")


def plot_windows(reports: list[Report], path: pathlib.Path) -> None:
    """Plot the mean worth of each window by policy."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4))
    for report in reports:
        seconds = [number * WINDOW_S for number in range(len(report.windows))]
        axes.plot(seconds, report.windows, label=report.policy)
    axes.set_xlabel("seconds")
    axes.set_ylabel("worth")
    axes.set_ylim(0.0, 1.0)
    axes.legend()
    figure.savefig(path)


def print_table(reports: list[Report]) -> None:
    """Print one line for each policy."""
    names = ["worth", "worst_windows", "in_aim", "late", "refused", "failed", "p50_s", "p99_s"]
    print(f"{'policy':<12}" + "".join(f"{name:>14}" for name in names))
    for report in reports:
        figures = "".join(f"{getattr(report, name):14.3f}" for name in names)
        print(f"{report.policy:<12}{figures}")


def main() -> None:
    """Run the experiment given on the command line."""
    parser = argparse.ArgumentParser(prog="bench.lab", description=__doc__)
    parser.add_argument("shape", type=pathlib.Path)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--policies", nargs="+", choices=list(POLICIES), default=list(POLICIES))
    parser.add_argument("--json", type=pathlib.Path)
    parser.add_argument("--picture", type=pathlib.Path)
    options = parser.parse_args()
    shape = read_shape(options.shape)
    if isinstance(shape, Failure):
        print(f"error {int(shape.code)}: {shape.reason}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    reports = [
        average_reports(
            [
                build_report(
                    name, Simulation(shape, POLICIES[name], seed).run(), shape.traffic.aim_s
                )
                for seed in range(options.seeds)
            ]
        )
        for name in options.policies
    ]
    print_table(reports)
    if options.json is not None:
        options.json.write_bytes(msgspec.json.format(msgspec.json.encode(reports)))
    if options.picture is not None:
        plot_windows(reports, options.picture)


if __name__ == "__main__":
    main()
