"""Choice of region and backend server for each request."""

from __future__ import annotations

from radishbridge.routing.protocol import AttemptOutcome, Permit, Router, ServiceRoute
from radishbridge.routing.retry import FailedAttempt, Retries, RetryBudget
from radishbridge.routing.router import LocalRouter

__all__ = [
    "AttemptOutcome",
    "FailedAttempt",
    "LocalRouter",
    "Permit",
    "Retries",
    "RetryBudget",
    "Router",
    "ServiceRoute",
]
