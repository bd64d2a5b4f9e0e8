"""Summaries of the reports of all hosts."""

from __future__ import annotations

import itertools
import typing as t

from radishbridge.entry.messages import (
    ColdReport,
    CopyState,
    Crash,
    FleetReport,
    FleetSummary,
    Rejected,
)
from radishbridge.steering import Evidence, HomeDemand

# Maximum number of crashes in a summary, which all hosts get over links that may be thin.
CRASHES_SUMMARIZED_MAX = 1_024
# Maximum number of cold servers in a summary; a release of a large service restarts hundreds.
COLD_SUMMARIZED_MAX = 1_024


def merge_reports(reports: t.Mapping[str, FleetReport], copy_state: CopyState) -> FleetSummary:
    """Return the summary of several hosts' reports.

    :param reports: reports by host.
    :param copy_state: state of the aggregator's copy.
    """
    demands: dict[str, float] = {}
    home_bound: dict[str, dict[str, HomeDemand]] = {}
    evidence: dict[str, Evidence] = {}
    crashes: dict[Crash, None] = {}
    cleared: set[bytes] = set()
    rejected: dict[bytes, Rejected] = {}
    cold: dict[str, ColdReport] = {}
    for report in reports.values():
        _add_to(demands, report.demands)
        for service, by_region in report.home_bound.items():
            total = home_bound.setdefault(service, {})
            for region, demand in by_region.items():
                total[region] = total.get(region, HomeDemand()) + demand
        for service, reported in report.evidence.items():
            evidence.setdefault(service, Evidence()).merge(reported)
        for found in report.cold_servers:
            known_cold = cold.get(found.server)
            if known_cold is None or found.cold_for_s > known_cold.cold_for_s:
                cold[found.server] = found
        crashes.update(dict.fromkeys(report.crashes))
        cleared.update(report.cleared)
        for one in report.rejected:
            known = rejected.get(one.fingerprint)
            if known is None or one.crashes > known.crashes:
                rejected[one.fingerprint] = one
    return FleetSummary(
        hosts=[report.status for report in reports.values()],
        demands=demands,
        home_bound=home_bound,
        evidence=evidence,
        crashes=list(itertools.islice(crashes, CRASHES_SUMMARIZED_MAX)),
        cleared=list(cleared),
        rejected=list(rejected.values()),
        copy_state=copy_state,
        cold_servers=list(itertools.islice(cold.values(), COLD_SUMMARIZED_MAX)),
        size=max((report.size for report in reports.values()), default=1),
    )


def _add_to(total: dict[str, float], added: t.Mapping[str, float]) -> None:
    for name, amount in added.items():
        total[name] = total.get(name, 0.0) + amount
