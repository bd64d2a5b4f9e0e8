"""An estimate of the requests that arrive at this host."""

from __future__ import annotations

import math

DEMAND_TIME_CONSTANT_S = 0.4
JUMP_TIME_CONSTANT_S = 0.1
JUMP_FACTOR = 1.5
JUMP_REQUESTS = 4.0
REQUESTS_PER_GAP = 4.0


class Demand:
    """Requests per second that arrive here: an average, and a faster one that shows jumps."""

    __slots__ = ("_at", "_fast", "_rate")

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._fast = 0.0
        self._at = now

    def add(self, amount: float, now: float) -> None:
        """Count requests."""
        elapsed = max(0.0, now - self._at)
        kept = self._rate * math.exp(-elapsed / DEMAND_TIME_CONSTANT_S)
        self._rate = kept + amount / DEMAND_TIME_CONSTANT_S
        fast = self._fast * math.exp(-elapsed / JUMP_TIME_CONSTANT_S)
        self._fast = fast + amount / JUMP_TIME_CONSTANT_S
        self._at = max(self._at, now)

    def rate(self, now: float) -> float:
        """Return the average as of ``now``."""
        elapsed = max(0.0, now - self._at)
        average = self._rate * math.exp(-elapsed / DEMAND_TIME_CONSTANT_S)
        fast = self._fast * math.exp(-elapsed / JUMP_TIME_CONSTANT_S)
        if fast > JUMP_FACTOR * average and fast > JUMP_REQUESTS / JUMP_TIME_CONSTANT_S:
            average = fast
        # A long gap after the last request shows sooner than the average that demand is gone.
        return min(average, REQUESTS_PER_GAP / elapsed) if elapsed > 0.0 else average
