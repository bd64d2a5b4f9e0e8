"""The operators' bound on what all hosts together may admit of one workspace."""

from __future__ import annotations

import bisect
import typing as t

from radishbridge.steering import WorkspaceRule

# Seconds of the window, and the part and the number of requests beyond the limit that are borne.
WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20.0


def bound(rule: WorkspaceRule) -> float:
    """Return the most requests that may be admitted in any window."""
    return (rule.rate_per_s * WINDOW_S + rule.burst) * (1.0 + OVERAGE) + SLACK


def most_in_window(admitted: t.Iterable[float]) -> int:
    """Return the most requests that were admitted in any window.

    :param admitted: times in seconds.
    """
    times = sorted(admitted)
    ends = (bisect.bisect_left(times, at + WINDOW_S) for at in times)
    return max((end - start for start, end in enumerate(ends)), default=0)
