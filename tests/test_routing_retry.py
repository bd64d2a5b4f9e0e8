from __future__ import annotations

import typing as t

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishbridge.routing import FailedAttempt, RetryBudget, RetryLimiter
from radishbridge.routing.retry import MAX_ATTEMPTS, MIN_REMAINING_S, RETRY_BURST, RETRY_RATIO

RETRYABLE: dict[str, t.Any] = {
    "attempts": 1,
    "not_run": False,
    "repeatable": True,
    "replayable": True,
    "response_started": False,
    "remaining_s": 1.0,
}


class TestFailedAttempt:
    def test_may_be_retried(self) -> None:
        assert FailedAttempt(**RETRYABLE).may_retry

    def test_may_be_retried_on_any_route_if_it_did_not_run(self) -> None:
        assert FailedAttempt(**(RETRYABLE | {"repeatable": False, "not_run": True})).may_retry

    @pytest.mark.parametrize(
        "change",
        [
            {"attempts": MAX_ATTEMPTS},
            {"repeatable": False},
            {"replayable": False},
            {"response_started": True},
            {"remaining_s": MIN_REMAINING_S},
        ],
    )
    def test_may_not_be_retried(self, change: dict[str, t.Any]) -> None:
        assert not FailedAttempt(**(RETRYABLE | change)).may_retry


class TestRetryBudget:
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.booleans(), max_size=300))
    def test_retries_stay_under_the_ratio(self, steps: list[bool]) -> None:
        budget = RetryBudget()
        requests = retries = 0
        for is_request in steps:
            if is_request:
                budget.record_request()
                requests += 1
            else:
                retries += budget.take_token()
            assert retries <= RETRY_BURST + RETRY_RATIO * requests + 1e-6


class TestRetryLimiter:
    def test_services_have_separate_budgets(self) -> None:
        limiter = RetryLimiter()
        for service in ("a", "b"):
            limiter.record_request(service)
        attempt = FailedAttempt(**RETRYABLE)
        assert sum(limiter.allow("a", attempt) for _ in range(50)) == int(RETRY_BURST)
        assert limiter.allow("b", attempt)
        assert (limiter.granted, limiter.denied) == (11, 40)
