"""Counts of request outcomes for the two versions of a service."""

from __future__ import annotations

import enum
import typing as t

import msgspec


class Fault(enum.Enum):
    """The kind of fault that a stream of outcomes counts."""

    ERROR = "error"
    SLOW = "slow"


class StreamKey(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a stream of outcomes: a kind of fault in one group of requests.

    :param group: a route, a workspace, or a route at one load level; for instance
        ``route /devices``, ``workspace school-17`` or ``route /devices busy``.
    """

    fault: Fault
    group: str


class Tally(msgspec.Struct, array_like=True):
    """Number of requests of one stream in one interval, and how many of them had the fault."""

    new_total: int = 0
    new_faults: int = 0
    old_total: int = 0
    old_faults: int = 0


class RequestOutcome(msgspec.Struct, frozen=True):
    """Outcome of one finished request.

    :param new: whether the request ran at the version that traffic moves to.
    :param busy: whether more than half of the backend server's slots were in use.
    :param latency_s: seconds to the first byte of the response.
    """

    route: str
    workspace: str
    new: bool
    busy: bool
    failed: bool
    latency_s: float


class Observations(msgspec.Struct):
    """Tallies by stream; the tallies of several hosts can be summed."""

    tallies: dict[StreamKey, Tally] = {}

    def add(self, outcome: RequestOutcome, slow: bool | None) -> None:
        """Count a finished request.

        :param slow: whether the request was slow; ``None`` if there is no baseline yet.
        """
        for group in (f"route {outcome.route}", f"workspace {outcome.workspace}"):
            self._count(StreamKey(Fault.ERROR, group), outcome.new, outcome.failed)
        if slow is not None and not outcome.failed:
            load_level = "busy" if outcome.busy else "idle"
            self._count(
                StreamKey(Fault.SLOW, f"route {outcome.route} {load_level}"), outcome.new, slow
            )

    def merge(self, other: Observations) -> None:
        """Add the tallies of another host or interval to these."""
        for key, tally in other.tallies.items():
            own = self.tallies.setdefault(key, Tally())
            own.new_total += tally.new_total
            own.new_faults += tally.new_faults
            own.old_total += tally.old_total
            own.old_faults += tally.old_faults

    def _count(self, key: StreamKey, new: bool, fault: bool) -> None:
        tally = self.tallies.setdefault(key, Tally())
        if new:
            tally.new_total += 1
            tally.new_faults += fault
        else:
            tally.old_total += 1
            tally.old_faults += fault


class LatencyBaseline:
    """Classifies requests as slow by the old version's recent latency on the same route.

    A request is slow if it took more than ``factor`` times a quantile of the old version's recent
    latencies on its route.

    :param quantile: quantile of the latencies, 0 to 1.
    :param window_samples: maximum number of latencies kept for each route.
    :param min_samples: number of latencies required before requests are classified.
    """

    __slots__ = ("factor", "latencies", "min_samples", "quantile", "thresholds", "window_samples")

    def __init__(
        self,
        quantile: float = 0.9,
        factor: float = 1.5,
        window_samples: int = 100,
        min_samples: int = 20,
    ) -> None:
        self.factor = factor
        self.window_samples = window_samples
        self.min_samples = min_samples
        self.quantile = quantile
        self.latencies: dict[str, list[float]] = {}
        self.thresholds: dict[str, float] = {}

    def classify(self, outcome: RequestOutcome) -> bool | None:
        """Return whether a request was slow; ``None`` until there are enough samples.

        A request of the old version is classified before it is added to the baseline.
        """
        threshold = self.thresholds.get(outcome.route)
        if not outcome.new and not outcome.failed:
            self._add_sample(outcome)
        return None if threshold is None else outcome.latency_s > threshold

    def _add_sample(self, outcome: RequestOutcome) -> None:
        recent = self.latencies.setdefault(outcome.route, [])
        recent.append(outcome.latency_s)
        if len(recent) == self.min_samples or len(recent) >= self.window_samples:
            ordered = sorted(recent)
            index = int(self.quantile * (len(ordered) - 1))
            self.thresholds[outcome.route] = self.factor * ordered[index]
        if len(recent) >= self.window_samples:
            del recent[: self.window_samples // 2]


def merge_observations(observations: t.Iterable[Observations]) -> Observations:
    """Return the sum of the observations of several hosts."""
    total = Observations()
    for host_observations in observations:
        total.merge(host_observations)
    return total
