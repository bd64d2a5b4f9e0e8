"""Good and faulty new versions, given by their error probabilities and latency factors."""

from __future__ import annotations

import math
import typing as t

import numpy as np

ROUTES = ("/devices", "/register", "/images")
ROUTE_SHARES = np.array([0.7, 0.2, 0.1])
WORKSPACES = tuple(f"w{number}" for number in range(8))
WORKSPACE_SHARES = np.array([0.3, 0.25, 0.15, 0.1, 0.08, 0.06, 0.03, 0.03])
TRAFFIC_SHARES = np.outer(ROUTE_SHARES, WORKSPACE_SHARES)
BASE_ERROR_PROBABILITY = 0.001

ProbabilityArray = np.ndarray[t.Any, np.dtype[np.float64]]


class Conditions:
    """Conditions for a new version at one moment of a move.

    :param elapsed_s: seconds since the move began.
    :param share: share of the traffic that the new version gets.
    """

    __slots__ = ("elapsed_s", "share")

    def __init__(self, elapsed_s: float, share: float) -> None:
        self.elapsed_s = elapsed_s
        self.share = share


class Case:
    """Behaviour of a new version and of the old one it replaces.

    :param is_faulty: whether the move should be rolled back.
    :param error_probabilities: error probability by route and workspace, given the conditions.
    :param latency_factor: latency as a multiple of the old version's, given the conditions.
    :param old_error_probability: error probability of the old version, given the elapsed seconds.
    :param measurement_gap_at_s: time in seconds at which measurements stop for 10 s.
    """

    __slots__ = (
        "error_probabilities",
        "is_faulty",
        "latency_factor",
        "measurement_gap_at_s",
        "name",
        "old_error_probability",
    )

    def __init__(
        self,
        name: str,
        is_faulty: bool,
        error_probabilities: t.Callable[[Conditions], ProbabilityArray] | None = None,
        latency_factor: t.Callable[[Conditions], float] = lambda conditions: 1.0,
        old_error_probability: t.Callable[
            [float], float
        ] = lambda elapsed_s: BASE_ERROR_PROBABILITY,
        measurement_gap_at_s: float = math.inf,
    ) -> None:
        self.name = name
        self.is_faulty = is_faulty
        self.error_probabilities = error_probabilities or (
            lambda conditions: uniform_probabilities(old_error_probability(conditions.elapsed_s))
        )
        self.latency_factor = latency_factor
        self.old_error_probability = old_error_probability
        self.measurement_gap_at_s = measurement_gap_at_s


def uniform_probabilities(probability: float) -> ProbabilityArray:
    """Return an array with the same probability for every route and workspace."""
    return np.full(TRAFFIC_SHARES.shape, probability)


def _errors_on_one_route(conditions: Conditions) -> ProbabilityArray:
    error_probabilities = uniform_probabilities(BASE_ERROR_PROBABILITY)
    error_probabilities[2, :] = 0.5
    return error_probabilities


def _errors_for_one_workspace(conditions: Conditions) -> ProbabilityArray:
    error_probabilities = uniform_probabilities(BASE_ERROR_PROBABILITY)
    error_probabilities[:, 7] = 0.8
    return error_probabilities


def _late_errors(conditions: Conditions) -> ProbabilityArray:
    return uniform_probabilities(0.3 if conditions.elapsed_s >= 60.0 else BASE_ERROR_PROBABILITY)


def _cold_start_factor(conditions: Conditions) -> float:
    return 1.0 + 2.0 * max(0.0, 1.0 - conditions.elapsed_s / 30.0)


def _noisy_error_probability(elapsed_s: float) -> float:
    return 0.08 if int(elapsed_s) % 40 < 5 else 0.02


CASES = (
    Case("fails at once", True, lambda conditions: uniform_probabilities(0.5)),
    Case("fails after 60 s", True, _late_errors),
    Case("slow at once", True, latency_factor=lambda conditions: 2.5),
    Case(
        "slow only under load",
        True,
        latency_factor=lambda conditions: 3.0 if conditions.share >= 0.3 else 1.0,
    ),
    Case("fails on one route", True, _errors_on_one_route),
    Case("fails for one workspace", True, _errors_for_one_workspace),
    Case("crashes", True, lambda conditions: uniform_probabilities(1.0)),
    Case("good", False),
    Case("good, cold for 30 s", False, latency_factor=_cold_start_factor),
    Case("good, old version noisy too", False, old_error_probability=_noisy_error_probability),
    Case("good, measurements stop for 10 s", False, measurement_gap_at_s=120.0),
)
