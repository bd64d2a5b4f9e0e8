"""A budget for sending requests to further backend servers.

Load pattern: an overloaded service sheds, hosts send what it shed to the next server, and the
repeats overload that one too. Repeats are bounded by a part of the requests themselves.
"""

from __future__ import annotations

# Part of the allowed ratio that is used; the rest covers requests that hosts count differently.
RATIO_USED = 0.75
# Part of the allowed allowance that is used, shared evenly between hosts.
ALLOWANCE_USED = 0.6


class RetryBudget:
    """One host's part of a service's retry budget.

    The parts of all hosts add up to at most the whole: each host earns by its own requests, and
    its part of the fixed allowance refills over one window.

    :param ratio: repeats that all hosts together may send for each request.
    :param allowance: repeats beyond the ratio that all hosts together may send in a window.
    :param window_s: length of the window in seconds.
    """

    __slots__ = (
        "allowance",
        "denied",
        "granted",
        "hosts",
        "ratio",
        "tokens",
        "updated_at",
        "window_s",
    )

    def __init__(self, ratio: float, allowance: float, window_s: float, now: float) -> None:
        self.ratio = ratio * RATIO_USED
        self.allowance = allowance * ALLOWANCE_USED
        self.window_s = window_s
        self.hosts = 1
        self.tokens = 1.0
        self.updated_at = now
        self.granted = 0
        self.denied = 0

    @property
    def most_tokens(self) -> float:
        """Tokens that may gather: a host's part of the allowance, and enough for one repeat."""
        return max(1.0, self.allowance / 2.0 / self.hosts)

    def record_request(self, now: float) -> None:
        """Earn by a request that was sent for the first time."""
        refill = self.allowance / 2.0 / self.hosts * (now - self.updated_at) / self.window_s
        self.updated_at = now
        self.tokens = min(self.most_tokens, self.tokens + self.ratio + refill)

    def take_token(self) -> bool:
        """Spend one repeat if the budget allows it."""
        if self.tokens < 1.0:
            self.denied += 1
            return False
        self.tokens -= 1.0
        self.granted += 1
        return True
