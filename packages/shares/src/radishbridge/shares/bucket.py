"""A token bucket for one host's share of a rate limit."""

from __future__ import annotations


class TokenBucket:
    """A token bucket that starts empty, so that restarting a host adds no tokens.

    :param rate: tokens per second.
    :param burst: maximum number of tokens.
    :param now: monotonic time in seconds.
    """

    __slots__ = ("burst", "rate", "refilled_at", "tokens")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = 0.0
        self.refilled_at = now

    def try_consume(self, amount: float, now: float) -> bool:
        """Consume tokens if there are enough, and return whether there were."""
        self.refill(now)
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

    def add(self, amount: float, now: float) -> None:
        """Add tokens received from another host; those above the burst are discarded."""
        self.refill(now)
        self.tokens = min(self.burst, self.tokens + amount)

    def refill(self, now: float) -> None:
        """Add the tokens earned since the last refill."""
        elapsed = max(0.0, now - self.refilled_at)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
        self.refilled_at = max(self.refilled_at, now)

    def resize(self, rate: float, burst: float, now: float) -> None:
        """Change rate and burst from ``now`` on; tokens above the new burst are discarded."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self.tokens = min(burst, self.tokens)

    def wait_s(self, amount: float) -> float:
        """Return the seconds until the bucket holds ``amount`` tokens; infinite if it can't."""
        if self.rate <= 0.0 or amount > self.burst:
            return float("inf")
        return max(0.0, (amount - self.tokens) / self.rate)
