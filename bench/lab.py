"""Plays placement policies against each other on a model of the served systems.

``python -m bench.lab bench/shapes/bavaria.jsonc --seeds 5 --picture lab.png --json lab.json``
prints a table; all runs of a seed see the same arrivals. Exit code 2 is a settings error.
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
from bench._served import Ended, Play, Shape
from radishbridge.records import Failure, ResultCode
from radishbridge.records.jsonc import load_document

EXIT_USAGE = 2
# Length of the windows in seconds of which the two worst are told.
WINDOW_S = 2.0
# Worth of an answer after its aim.
LATE_WORTH = 0.2


class Report(msgspec.Struct, kw_only=True):
    """What one policy made of a shape, as means over the seeds.

    :param worth: part of the full worth that answers earned.
    :param worst_windows: the same over the two worst windows.
    :param windows: the same by window, from the first on.
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


def measure(policy: str, ended: list[Ended], aim_s: float) -> Report:
    """Return what became of the requests of one run."""
    served = sorted(one.latency_s for one in ended if one.latency_s is not None)
    in_aim = sum(latency_s <= aim_s for latency_s in served)
    refused = sum(one.refused for one in ended)
    count = max(1, len(ended))
    windows = _windows(ended, aim_s)
    return Report(
        policy=policy,
        requests=len(ended),
        worth=_worth(ended, aim_s),
        worst_windows=statistics.fmean(sorted(windows)[:2]),
        in_aim=in_aim / count,
        late=(len(served) - in_aim) / count,
        refused=refused / count,
        failed=(len(ended) - len(served) - refused) / count,
        p50_s=_quantile(served, 0.5),
        p99_s=_quantile(served, 0.99),
        windows=windows,
    )


def _worth(ended: t.Sequence[Ended], aim_s: float) -> float:
    earned = (
        1.0 if one.latency_s <= aim_s else LATE_WORTH for one in ended if one.latency_s is not None
    )
    return sum(earned) / max(1, len(ended))


def _windows(ended: list[Ended], aim_s: float) -> list[float]:
    by_time = sorted(ended, key=lambda one: one.sent_at)
    groups = itertools.groupby(by_time, key=lambda one: int(one.sent_at / WINDOW_S))
    return [_worth(list(group), aim_s) for _, group in groups]


def _quantile(ordered: list[float], part: float) -> float:
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


def mean_of(reports: list[Report]) -> Report:
    """Return the means of one policy's reports."""
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
    """Read and check the settings of an experiment."""
    document = load_document(path)
    if isinstance(document, Failure):
        return document
    try:
        return msgspec.convert(document.value, type=Shape)
    except msgspec.ValidationError as error:
        return Failure(ResultCode.SETTINGS_INVALID, f"{path}: {error}")


def draw(reports: list[Report], path: pathlib.Path) -> None:
    """Draw the worth of each window by policy."""
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
    """Print one line a policy."""
    names = ["worth", "worst_windows", "in_aim", "late", "refused", "failed", "p50_s", "p99_s"]
    print(f"{'policy':<12}" + "".join(f"{name:>14}" for name in names))
    for report in reports:
        figures = "".join(f"{getattr(report, name):14.3f}" for name in names)
        print(f"{report.policy:<12}{figures}")


def main() -> None:
    """Run the experiment of the command line."""
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
        mean_of(
            [
                measure(name, Play(shape, POLICIES[name], seed).run(), shape.traffic.aim_s)
                for seed in range(options.seeds)
            ]
        )
        for name in options.policies
    ]
    print_table(reports)
    if options.json is not None:
        options.json.write_bytes(msgspec.json.format(msgspec.json.encode(reports)))
    if options.picture is not None:
        draw(reports, options.picture)


if __name__ == "__main__":
    main()
