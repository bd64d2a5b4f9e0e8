"""A budget for retries of requests at further backend servers.

Load pattern: an overloaded service sheds requests, hosts retry them at the next server, and the
retries overload that one too. Retries are limited to a ratio of the requests.
"""

from __future__ import annotations

# Fraction of the allowed ratio that is used; the rest covers requests that hosts count differently.
RATIO_USED = 0.75
# Fraction of the allowance that is used, divided equally between hosts.
ALLOWANCE_USED = 0.6


class RetryBudget:
    """One host's share of a service's retry budget, as a token bucket.

    The shares of all hosts add up to at most the whole budget: each host earns tokens by its own
    requests. One half of its share of the fixed allowance is the capacity of the bucket, and the
    other half refills over one window.

    :param ratio: retries that all hosts together may send per request.
    :param allowance: retries beyond the ratio that all hosts together may send in a window.
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
    def max_tokens(self) -> float:
        """Return the capacity of the bucket: half the host's share of the allowance, at least 1."""
        return max(1.0, self.allowance / 2.0 / self.hosts)

    def record_request(self, now: float) -> None:
        """Add the tokens earned by a request's first attempt and by the time since the last one."""
        refill = self.allowance / 2.0 / self.hosts * (now - self.updated_at) / self.window_s
        self.updated_at = now
        self.tokens = min(self.max_tokens, self.tokens + self.ratio + refill)

    def return_token(self) -> None:
        """Return the token of a retry that was not made."""
        self.tokens += 1.0
        self.granted -= 1

    def take_token(self) -> bool:
        """Take one token for a retry.

        :return: whether the budget allows the retry.
        """
        if self.tokens < 1.0:
            self.denied += 1
            return False
        self.tokens -= 1.0
        self.granted += 1
        return True
