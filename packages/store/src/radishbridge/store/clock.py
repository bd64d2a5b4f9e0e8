"""The clock by which leases and proofs are timed."""

from __future__ import annotations

import time


def steady_clock() -> float:
    """Return seconds on a clock that never goes back and runs on while the machine sleeps.

    ``time.monotonic`` stands still while a machine is suspended, so that a host would wake with
    a lease that others have taken over.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
