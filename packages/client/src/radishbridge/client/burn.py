"""Service-level burn rates: the request counts of all hosts, summed over time windows."""

from __future__ import annotations

import collections
import itertools
import typing as t

import msgspec

from radishbridge.records import BurnCount, BurnReport

FAST_WINDOWS_S = (300, 3600)
SLOW_WINDOWS_S = (1800, 21_600)
DEFAULT_OBJECTIVE = 0.999


class WindowBurn(msgspec.Struct, kw_only=True):
    """Requests of one workspace to one service in one window.

    :param window_s: length of the window in seconds.
    :param burn: share of bad requests divided by the share that the objective allows; 1 spends
        the error budget exactly.
    """

    window_s: int
    good: int
    bad: int
    over_rate: int
    burn: float

    @property
    def requests(self) -> int:
        """Requests that count for the objective."""
        return self.good + self.bad


class ServiceBurn(msgspec.Struct, kw_only=True):
    """The burn of one workspace at one service, for each window."""

    workspace: str
    service: str
    windows: list[WindowBurn]

    @property
    def worst(self) -> float:
        """The largest burn of all windows."""
        return max((window.burn for window in self.windows), default=0.0)


class BurnSummary(msgspec.Struct, kw_only=True):
    """The burn report.

    :param objective: target share of good requests.
    :param hosts: number of hosts whose counts are included.
    :param silent_hosts: hosts that did not respond, whose counts are missing.
    :param worst_workspace: workspace with the largest burn, empty if all burns are 0.
    """

    objective: float
    hosts: int
    silent_hosts: list[str]
    worst_workspace: str
    services: list[ServiceBurn]


def sum_burn(
    reports: t.Sequence[BurnReport],
    silent_hosts: list[str],
    windows_s: t.Sequence[int],
    objective: float,
    now_s: float,
) -> BurnSummary:
    """Sum the counts of all hosts, the worst-served workspace first.

    :param windows_s: lengths of the windows in seconds.
    :param now_s: end of the windows, in seconds since the Unix epoch.
    """
    counts: dict[tuple[str, str], list[tuple[float, BurnCount]]] = collections.defaultdict(list)
    for report in reports:
        for count in report.counts:
            ended_s = count.start_s + report.interval_s
            counts[count.workspace, count.service].append((ended_s, count))
    services = [
        ServiceBurn(
            workspace=workspace,
            service=service,
            windows=[
                _sum_window(service_counts, window_s, objective, now_s) for window_s in windows_s
            ],
        )
        for (workspace, service), service_counts in sorted(counts.items())
    ]
    services.sort(key=lambda service_burn: service_burn.worst, reverse=True)
    worst = next(
        (service_burn.workspace for service_burn in services if service_burn.worst > 0.0), ""
    )
    return BurnSummary(
        objective=objective,
        hosts=len(reports),
        silent_hosts=silent_hosts,
        worst_workspace=worst,
        services=services,
    )


def _sum_window(
    counts: t.Iterable[tuple[float, BurnCount]], window_s: int, objective: float, now_s: float
) -> WindowBurn:
    in_window = [count for ended_s, count in counts if ended_s > now_s - window_s]
    good = sum(count.good for count in in_window)
    bad = sum(count.bad for count in in_window)
    bad_share = bad / (good + bad) if good + bad else 0.0
    return WindowBurn(
        window_s=window_s,
        good=good,
        bad=bad,
        over_rate=sum(count.over_rate for count in in_window),
        burn=bad_share / (1.0 - objective),
    )


def burn_rows(summary: BurnSummary) -> list[tuple[object, ...]]:
    """Return a table row for each workspace, service and window."""
    rows = itertools.chain.from_iterable(
        ((service, window) for window in service.windows) for service in summary.services
    )
    return [
        (
            service.workspace,
            service.service,
            format_window(window.window_s),
            window.requests,
            window.bad,
            window.over_rate,
            f"{window.burn:.2f}",
        )
        for service, window in rows
    ]


def format_window(window_s: int) -> str:
    """Format the length of a window in the largest unit that divides it, as in ``6h``."""
    for unit_s, unit in ((3600, "h"), (60, "m")):
        if window_s % unit_s == 0:
            return f"{window_s // unit_s}{unit}"
    return f"{window_s}s"
