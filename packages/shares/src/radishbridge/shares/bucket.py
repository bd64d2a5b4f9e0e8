"""A token bucket for one holder's part of a rate."""

from __future__ import annotations


class TokenBucket:
    """Tokens that refill at a rate up to a burst; starts empty, so that no restart adds any.

    :param rate: tokens per second.
    :param burst: most tokens held.
    :param now: monotonic time in seconds.
    """

    __slots__ = ("burst", "rate", "refilled_at", "tokens")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = 0.0
        self.refilled_at = now

    def try_consume(self, amount: float, now: float) -> bool:
        """Spend tokens if there are enough."""
        self.refill(now)
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

    def add(self, amount: float, now: float) -> None:
        """Add tokens received from another holder; what exceeds the burst is lost."""
        self.refill(now)
        self.tokens = min(self.burst, self.tokens + amount)

    def refill(self, now: float) -> None:
        """Add the tokens of the time since the last refill."""
        elapsed = max(0.0, now - self.refilled_at)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
        self.refilled_at = max(self.refilled_at, now)

    def resize(self, rate: float, burst: float, now: float) -> None:
        """Change rate and burst from ``now`` on; tokens above the new burst are lost."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self.tokens = min(burst, self.tokens)

    def wait_s(self, amount: float) -> float:
        """Return the seconds until ``amount`` tokens will be there at the present rate."""
        if self.rate <= 0.0 or amount > self.burst:
            return float("inf")
        return max(0.0, (amount - self.tokens) / self.rate)
