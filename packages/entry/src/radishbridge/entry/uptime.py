"""The clock of an entry host."""

from __future__ import annotations

import time

# Makes the clock agree with ``time.monotonic`` until the machine is suspended for the first time.
_OFFSET_S = time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


def now() -> float:
    """Return the seconds of a monotonic clock that includes the time a machine is suspended.

    ``time.monotonic`` stops meanwhile, so a host that resumes would still regard a summary, a
    role, a share of a rate or an idle connection as fresh that has expired for the other side.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) - _OFFSET_S
