"""Decides whether a failed attempt may be retried."""

from __future__ import annotations

MAX_ATTEMPTS = 3
RETRY_RATIO = 0.2
RETRY_BURST = 10.0
MIN_REMAINING_S = 0.005


class RetryBudget:
    """Token bucket that limits the retries of one service to a fraction of its requests.

    :param ratio: retries earned by each request.
    :param burst: size of the bucket in retries; the bucket is full at the start.
    """

    __slots__ = ("burst", "ratio", "tokens")

    def __init__(self, ratio: float = RETRY_RATIO, burst: float = RETRY_BURST) -> None:
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def record_request(self) -> None:
        """Add the fraction of a retry that one request earns."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def take_token(self) -> bool:
        """Spend one retry and return whether one was available."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class FailedAttempt:
    """The facts that decide whether a failed attempt may be retried.

    :param attempts: attempts made so far.
    :param not_run: the backend server certainly did not run the request.
    :param repeatable: requests of this route may run more than once.
    :param replayable: the whole body can be sent again.
    :param response_started: a byte of a response was sent to the caller.
    :param remaining_s: seconds left until the request's deadline.
    """

    __slots__ = (
        "attempts",
        "not_run",
        "remaining_s",
        "repeatable",
        "replayable",
        "response_started",
    )

    def __init__(
        self,
        *,
        attempts: int,
        not_run: bool,
        repeatable: bool,
        replayable: bool,
        response_started: bool,
        remaining_s: float,
    ) -> None:
        self.attempts = attempts
        self.not_run = not_run
        self.repeatable = repeatable
        self.replayable = replayable
        self.response_started = response_started
        self.remaining_s = remaining_s

    @property
    def may_retry(self) -> bool:
        """Whether another attempt is safe and can still meet the deadline."""
        return (
            not self.response_started
            and self.replayable
            and (self.not_run or self.repeatable)
            and self.attempts < MAX_ATTEMPTS
            and self.remaining_s > MIN_REMAINING_S
        )


class RetryLimiter:
    """Grants retries, with a separate budget for each service.

    :ivar granted: number of retries granted so far.
    :ivar denied: number of retries denied because a budget was exhausted.
    """

    __slots__ = ("budgets", "denied", "granted")

    def __init__(self) -> None:
        self.budgets: dict[str, RetryBudget] = {}
        self.granted = 0
        self.denied = 0

    def record_request(self, service: str) -> None:
        """Count a request towards its service's budget."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = RetryBudget()
        budget.record_request()

    def allow(self, service: str, attempt: FailedAttempt) -> bool:
        """Return whether the request may be retried, and charge the service's budget."""
        if not attempt.may_retry:
            return False
        if not self.budgets[service].take_token():
            self.denied += 1
            return False
        self.granted += 1
        return True
