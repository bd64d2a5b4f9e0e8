"""Estimates the rate of requests that arrive at this host."""

from __future__ import annotations

import math

DEMAND_TIME_CONSTANT_S = 0.4
SURGE_TIME_CONSTANT_S = 0.1
SURGE_FACTOR = 1.5
MIN_SURGE_REQUESTS = 4.0
MAX_REQUESTS_PER_GAP = 4.0


class Demand:
    """Exponentially decaying averages of the request rate: a slow one, and a fast one for surges.

    :param now: monotonic time in seconds, as in all methods.
    """

    __slots__ = ("_fast_rate", "_rate", "_updated_at")

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._fast_rate = 0.0
        self._updated_at = now

    def add(self, amount: float, now: float) -> None:
        """Count ``amount`` requests that arrive at ``now``."""
        elapsed = max(0.0, now - self._updated_at)
        decayed = self._rate * math.exp(-elapsed / DEMAND_TIME_CONSTANT_S)
        self._rate = decayed + amount / DEMAND_TIME_CONSTANT_S
        fast_rate = self._fast_rate * math.exp(-elapsed / SURGE_TIME_CONSTANT_S)
        self._fast_rate = fast_rate + amount / SURGE_TIME_CONSTANT_S
        self._updated_at = max(self._updated_at, now)

    def rate(self, now: float) -> float:
        """Return the estimated requests per second as of ``now``.

        The fast average is used during a surge.
        """
        elapsed = max(0.0, now - self._updated_at)
        average = self._rate * math.exp(-elapsed / DEMAND_TIME_CONSTANT_S)
        fast_rate = self._fast_rate * math.exp(-elapsed / SURGE_TIME_CONSTANT_S)
        if (
            fast_rate > SURGE_FACTOR * average
            and fast_rate > MIN_SURGE_REQUESTS / SURGE_TIME_CONSTANT_S
        ):
            average = fast_rate
        # In a gap after heavy demand, this bound shows sooner than the average that the demand is
        # gone.
        return min(average, MAX_REQUESTS_PER_GAP / elapsed) if elapsed > 0.0 else average
