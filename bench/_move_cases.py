"""Good and bad new versions, as probabilities of an error and factors of latency."""

from __future__ import annotations

import math
import typing as t

import numpy as np

ROUTES = ("/devices", "/register", "/images")
ROUTE_SHARES = np.array([0.7, 0.2, 0.1])
WORKSPACES = tuple(f"w{n}" for n in range(8))
WORKSPACE_SHARES = np.array([0.3, 0.25, 0.15, 0.1, 0.08, 0.06, 0.03, 0.03])
CELL_SHARES = np.outer(ROUTE_SHARES, WORKSPACE_SHARES)
BASE_ERRORS = 0.001

Array = np.ndarray[t.Any, np.dtype[np.float64]]


class Conditions:
    """What a new version meets at one moment.

    :param elapsed_s: seconds since the move began.
    :param share: share of traffic it gets now.
    """

    __slots__ = ("elapsed_s", "share")

    def __init__(self, elapsed_s: float, share: float) -> None:
        self.elapsed_s = elapsed_s
        self.share = share


class Case:
    """One kind of new version.

    :param errors: error probability by route and workspace under given conditions.
    :param latency_factor: its latency as a multiple of the old version's.
    :param old_errors: error probability of the old version at a time.
    :param silent_from_s: measurements stop at this time for 10 s.
    """

    __slots__ = ("bad", "errors", "latency_factor", "name", "old_errors", "silent_from_s")

    def __init__(
        self,
        name: str,
        bad: bool,
        errors: t.Callable[[Conditions], Array] | None = None,
        latency_factor: t.Callable[[Conditions], float] = lambda conditions: 1.0,
        old_errors: t.Callable[[float], float] = lambda elapsed_s: BASE_ERRORS,
        silent_from_s: float = math.inf,
    ) -> None:
        self.name = name
        self.bad = bad
        self.errors = errors or (lambda conditions: cells(old_errors(conditions.elapsed_s)))
        self.latency_factor = latency_factor
        self.old_errors = old_errors
        self.silent_from_s = silent_from_s


def cells(probability: float) -> Array:
    """Return the same probability for each route and workspace."""
    return np.full(CELL_SHARES.shape, probability)


def _one_route(conditions: Conditions) -> Array:
    errors = cells(BASE_ERRORS)
    errors[2, :] = 0.5
    return errors


def _one_workspace(conditions: Conditions) -> Array:
    errors = cells(BASE_ERRORS)
    errors[:, 7] = 0.8
    return errors


def _late_errors(conditions: Conditions) -> Array:
    return cells(0.3 if conditions.elapsed_s >= 60.0 else BASE_ERRORS)


def _cold(conditions: Conditions) -> float:
    return 1.0 + 2.0 * max(0.0, 1.0 - conditions.elapsed_s / 30.0)


def _noisy(elapsed_s: float) -> float:
    return 0.08 if int(elapsed_s) % 40 < 5 else 0.02


CASES = (
    Case("fails at once", True, lambda conditions: cells(0.5)),
    Case("fails after 60 s", True, _late_errors),
    Case("slow at once", True, latency_factor=lambda conditions: 2.5),
    Case(
        "slow only under load",
        True,
        latency_factor=lambda conditions: 3.0 if conditions.share >= 0.3 else 1.0,
    ),
    Case("fails on one route", True, _one_route),
    Case("fails for one workspace", True, _one_workspace),
    Case("crashes", True, lambda conditions: cells(1.0)),
    Case("good", False),
    Case("good, cold for 30 s", False, latency_factor=_cold),
    Case("good, old version noisy too", False, old_errors=_noisy),
    Case("good, measurements stop for 10 s", False, silent_from_s=120.0),
)
