"""The clock that leases use."""

from __future__ import annotations

import time


def steady_clock() -> float:
    """Return the seconds of a monotonic clock that includes the time a machine is suspended.

    ``time.monotonic`` stops during a suspend, so a host that resumes would still regard a lease
    as valid that another host has taken over.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
