"""Outcomes of requests at two versions of a service, counted side by side."""

from __future__ import annotations

import enum
import typing as t

import msgspec


class Fault(enum.Enum):
    """What a stream of outcomes counts."""

    ERROR = "error"
    SLOW = "slow"


class StreamKey(msgspec.Struct, frozen=True, array_like=True):
    """Names one stream of outcomes: a fault on a route, of a workspace or in a load band.

    :param group: for instance ``route /devices`` or ``workspace school-17``.
    """

    fault: Fault
    group: str


class Tally(msgspec.Struct, array_like=True):
    """Requests of one stream in one interval, and how many of them showed the fault."""

    new_total: int = 0
    new_faults: int = 0
    old_total: int = 0
    old_faults: int = 0


class Outcome(msgspec.Struct, frozen=True):
    """One finished request.

    :param new: it ran at the version that traffic moves to.
    :param busy: more than half of the backend server's slots were in use.
    :param latency_s: seconds to the first byte of the answer.
    """

    route: str
    workspace: str
    new: bool
    busy: bool
    failed: bool
    latency_s: float


class Observations(msgspec.Struct):
    """Tallies by stream; those of different hosts add up."""

    tallies: dict[StreamKey, Tally] = {}

    def add(self, outcome: Outcome, slow: bool | None) -> None:
        """Count a finished request.

        :param slow: whether it was slow; ``None`` where that cannot be told yet.
        """
        for group in (f"route {outcome.route}", f"workspace {outcome.workspace}"):
            self._count(StreamKey(Fault.ERROR, group), outcome.new, outcome.failed)
        if slow is not None and not outcome.failed:
            band = "busy" if outcome.busy else "idle"
            self._count(StreamKey(Fault.SLOW, f"route {outcome.route} {band}"), outcome.new, slow)

    def merge(self, other: Observations) -> None:
        """Add the tallies of another host or interval."""
        for key, tally in other.tallies.items():
            held = self.tallies.setdefault(key, Tally())
            held.new_total += tally.new_total
            held.new_faults += tally.new_faults
            held.old_total += tally.old_total
            held.old_faults += tally.old_faults

    def _count(self, key: StreamKey, new: bool, fault: bool) -> None:
        tally = self.tallies.setdefault(key, Tally())
        if new:
            tally.new_total += 1
            tally.new_faults += fault
        else:
            tally.old_total += 1
            tally.old_faults += fault


class LatencyReference:
    """Tells slow requests by the old version's recent latency on the same route.

    Keeps the last latencies of the old version for each route; a request is slow if it took more
    than ``factor`` times their quantile.
    """

    __slots__ = ("factor", "latencies", "minimum", "position", "thresholds", "window")

    def __init__(
        self, quantile: float = 0.9, factor: float = 1.5, window: int = 100, minimum: int = 20
    ) -> None:
        self.factor = factor
        self.window = window
        self.minimum = minimum
        self.position = quantile
        self.latencies: dict[str, list[float]] = {}
        self.thresholds: dict[str, float] = {}

    def classify(self, outcome: Outcome) -> bool | None:
        """Return whether a request was slow; ``None`` before enough of the old version's are known.

        The old version's own request is added only after it was classified.
        """
        threshold = self.thresholds.get(outcome.route)
        if not outcome.new and not outcome.failed:
            self._learn(outcome)
        return None if threshold is None else outcome.latency_s > threshold

    def _learn(self, outcome: Outcome) -> None:
        recent = self.latencies.setdefault(outcome.route, [])
        recent.append(outcome.latency_s)
        if len(recent) == self.minimum or len(recent) >= self.window:
            ordered = sorted(recent)
            at = int(self.position * (len(ordered) - 1))
            self.thresholds[outcome.route] = self.factor * ordered[at]
        if len(recent) >= self.window:
            del recent[: self.window // 2]


def merged(parts: t.Iterable[Observations]) -> Observations:
    """Return the sum of several hosts' observations."""
    total = Observations()
    for part in parts:
        total.merge(part)
    return total
