"""The limit on requests of one workspace that all hosts together may admit."""

from __future__ import annotations

import bisect
import typing as t

from radishbridge.steering import WorkspaceRule

# Length of the window in seconds, and the tolerated excess: a fraction and a number of requests.
WINDOW_S = 5.0
TOLERATED_OVERAGE = 0.1
TOLERATED_REQUESTS = 20.0


def limit_in_window(rule: WorkspaceRule) -> float:
    """Return the maximum number of requests that may be admitted in any window."""
    return (rule.rate_per_s * WINDOW_S + rule.burst) * (
        1.0 + TOLERATED_OVERAGE
    ) + TOLERATED_REQUESTS


def most_in_window(admitted: t.Iterable[float]) -> int:
    """Return the largest number of requests that were admitted in any window.

    :param admitted: times in seconds.
    """
    times = sorted(admitted)
    ends = (bisect.bisect_left(times, at + WINDOW_S) for at in times)
    return max((end - start for start, end in enumerate(ends)), default=0)
