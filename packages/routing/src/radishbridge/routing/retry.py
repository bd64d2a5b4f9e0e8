"""Whether an attempt that failed may be followed by another one."""

from __future__ import annotations

MAX_ATTEMPTS = 3
RETRY_RATIO = 0.2
RETRY_BURST = 10.0
MIN_REMAINING_S = 0.005


class RetryBudget:
    """Retries of one service, paid for by a fraction of its requests.

    :param ratio: retries earned by each request.
    :param burst: most retries saved up; also the retries available at the start.
    """

    __slots__ = ("burst", "ratio", "tokens")

    def __init__(self, ratio: float = RETRY_RATIO, burst: float = RETRY_BURST) -> None:
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def record_request(self) -> None:
        """Earn a fraction of a retry."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def take(self) -> bool:
        """Spend one retry if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class FailedAttempt:
    """What decides whether a failed attempt may be repeated.

    :param attempts: attempts made so far.
    :param not_run: the request provably did not run.
    :param repeatable: the route's requests may run more than once.
    :param replayable: the whole body can be sent again.
    :param response_started: a byte of an answer went out to the caller.
    :param remaining_s: time left until the request's deadline, in seconds.
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
        """Whether another attempt is safe and can still be in time."""
        return (
            not self.response_started
            and self.replayable
            and (self.not_run or self.repeatable)
            and self.attempts < MAX_ATTEMPTS
            and self.remaining_s > MIN_REMAINING_S
        )


class RetryLimiter:
    """Grants retries, with a budget for each service."""

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
        """Return whether the request may be sent once more."""
        if not attempt.may_retry:
            return False
        if not self.budgets[service].take():
            self.denied += 1
            return False
        self.granted += 1
        return True
