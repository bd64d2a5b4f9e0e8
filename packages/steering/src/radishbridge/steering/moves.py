"""Version moves: what part of a service's requests the new version gets, and how a move ends.

Load pattern: a new version is bad at once or later, on all routes or one, by errors or by being
slow; a good one starts with no object warm. The new version gets a small part, chosen by object
so that its servers get warm, until its answers compare well with the old version's, then
grows to the whole in steps.
"""

from __future__ import annotations

import collections
import enum
import typing as t

import msgspec

from radishbridge.peers import rank
from radishbridge.steering.placement import unit_hash

# Part of the objects that an unproven version gets. The operators' bound is on requests, which
# spread unevenly over objects.
PROBE_FACTOR = 0.5
# Points of a move's time at which the part grows, and the parts. The first one leaves time to
# see faults that come late, the last leaves time to report the end.
RAMP: tuple[tuple[float, float], ...] = ((0.50, 0.2), (0.62, 0.45), (0.76, 1.0))
# Point of a move's time at which it is reported complete: all requests sent to the old version
# have ended by then.
COMPLETE_AT = 0.88
# Length in seconds of the recent past that is judged by itself: a fault that comes late, or with
# load, would drown in the good answers before it.
RECENT_S = 2.0
# Failed answers of the new version that are needed to call it bad.
FAILURES_MIN = 4
# Failures for each answer that the new version may have beyond the old one's.
FAILURE_MARGIN = 0.08
# Answers on warm objects that are needed on both sides to compare speeds.
SPEED_SAMPLES = 8
# A new version whose median is this many times the old one's counts as slow.
SLOW_FACTOR = 2.5
# Answers of the new version that are needed before it gets everything.
PROOF_SAMPLES = 20
# Upper ends of the buckets of answer times in seconds; each is 1.5 times the one before.
BUCKETS_S: tuple[float, ...] = tuple(0.01 * 1.5**step for step in range(18))


class MovePhase(enum.Enum):
    """Where a move stands, as the store records it."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "taken back"


class MoveOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's order to move a service's traffic to another version.

    :param duration_s: time for the move in seconds.
    :param phase: what the store says of the move; ``None`` before it was taken up.
    """

    service: str
    to_version: str
    duration_s: float
    phase: MovePhase | None = None


class ResponseCounts(msgspec.Struct, array_like=True):
    """Answers of one version on one route; ``times`` counts those on warm objects by bucket."""

    responses: int = 0
    failures: int = 0
    latency_counts: list[int] = []

    def add(self, latency_s: float, failed: bool, warm: bool) -> None:
        """Count one answer."""
        self.responses += 1
        self.failures += failed
        if failed or not warm:
            return
        self.latency_counts = self.latency_counts or [0] * (len(BUCKETS_S) + 1)
        self.latency_counts[sum(1 for end_s in BUCKETS_S if latency_s > end_s)] += 1

    def merge(self, other: ResponseCounts) -> None:
        """Add another host's counts."""
        self.responses += other.responses
        self.failures += other.failures
        pairs = zip(
            self.latency_counts or [0] * len(other.latency_counts),
            other.latency_counts,
            strict=False,
        )
        self.latency_counts = (
            [own + its for own, its in pairs] if other.latency_counts else self.latency_counts
        )

    def since(self, earlier: ResponseCounts) -> ResponseCounts:
        """Return what was counted after an earlier state; counts that fell began anew."""
        if earlier.responses > self.responses:
            return self
        pairs = zip(
            self.latency_counts,
            earlier.latency_counts or [0] * len(self.latency_counts),
            strict=False,
        )
        return ResponseCounts(
            responses=self.responses - earlier.responses,
            failures=max(0, self.failures - earlier.failures),
            latency_counts=[max(0, count - before) for count, before in pairs],
        )

    @property
    def median_s(self) -> float | None:
        """Upper end of the median's bucket; ``None`` with too few samples."""
        total = sum(self.latency_counts)
        if total < SPEED_SAMPLES:
            return None
        seen = 0
        for end_s, count in zip(
            (*BUCKETS_S, BUCKETS_S[-1] * 1.5), self.latency_counts, strict=True
        ):
            seen += count
            if seen * 2 >= total:
                return end_s
        return None


class Evidence(msgspec.Struct):
    """What was seen of both versions of one service, by route."""

    new: dict[str, ResponseCounts] = {}
    old: dict[str, ResponseCounts] = {}

    def add(self, route: str, is_new: bool, latency_s: float, failed: bool, warm: bool) -> None:
        """Count one answer."""
        side = self.new if is_new else self.old
        side.setdefault(route, ResponseCounts()).add(latency_s, failed, warm)

    def merge(self, other: Evidence) -> None:
        """Add another host's counts."""
        for mine, its in ((self.new, other.new), (self.old, other.old)):
            for route, tally in its.items():
                mine.setdefault(route, ResponseCounts()).merge(tally)

    def since(self, earlier: Evidence) -> Evidence:
        """Return what was seen after an earlier state."""
        return Evidence(
            new={
                at: one.since(earlier.new.get(at, ResponseCounts())) for at, one in self.new.items()
            },
            old={
                at: one.since(earlier.old.get(at, ResponseCounts())) for at, one in self.old.items()
            },
        )

    def find_fault(self) -> str:
        """Return why the new version is bad; empty where nothing says so."""
        routes = sorted(self.new)
        found = (self._route_fault(route) for route in routes)
        return next((fault for fault in found if fault), "")

    @property
    def new_responses(self) -> int:
        """Answers of the new version on all routes."""
        return sum(tally.responses for tally in self.new.values())

    def _route_fault(self, route: str) -> str:
        new, old = self.new[route], self.old.get(route, ResponseCounts())
        usual = old.failures / old.responses if old.responses else 0.0
        allowed = new.responses * (usual + FAILURE_MARGIN)
        if new.failures >= FAILURES_MIN and new.failures > allowed:
            return f"{new.failures} of {new.responses} answers failed on route {route}"
        new_s, old_s = new.median_s, old.median_s
        if new_s is not None and old_s is not None and new_s > SLOW_FACTOR * old_s:
            return f"median {new_s:.2f} s against {old_s:.2f} s on route {route}"
        return ""


class Recent:
    """The evidence of the last seconds, from sums that count since the order."""

    __slots__ = ("states",)

    def __init__(self) -> None:
        self.states: collections.deque[tuple[float, Evidence]] = collections.deque()

    def update(self, seen: Evidence, now: float) -> Evidence:
        """Take a new sum over, and return what came in the last seconds."""
        self.states.append((now, seen))
        while len(self.states) > 1 and self.states[1][0] <= now - RECENT_S:
            self.states.popleft()
        return seen.since(self.states[0][1])


class Move:
    """One service's move as a host follows it.

    :param started_at: monotonic time at which this host first saw the order.
    :param exposure: largest part of the requests for a version that may be bad.
    """

    __slots__ = ("evidence", "exposure", "fault", "order", "recent", "started_at")

    def __init__(self, order: MoveOrder, exposure: float, now: float) -> None:
        self.order = order
        self.exposure = exposure
        self.started_at = now
        self.evidence = Evidence()
        self.recent = Recent()
        self.fault = ""

    def find_fault(self, seen: Evidence, now: float) -> str:
        """Return why the new version is bad by all hosts' evidence; empty where nothing says so."""
        return seen.find_fault() or self.recent.update(seen, now).find_fault()

    @property
    def probe_share(self) -> float:
        """Part of the objects that go to the new version before it has proved itself."""
        return self.exposure * PROBE_FACTOR

    def progress(self, now: float) -> float:
        """Return the part of the move's time that is over."""
        return (now - self.started_at) / max(0.1, self.order.duration_s)

    def share(self, now: float, proved: bool) -> float:
        """Return the part of the objects that go to the new version.

        :param proved: the evidence of all hosts shows no fault.
        """
        if self.order.phase is MovePhase.COMPLETED:
            return 1.0
        if self.order.phase is MovePhase.ROLLED_BACK or self.fault:
            return 0.0
        if not proved:
            return self.probe_share
        progress = self.progress(now)
        reached = (part for point, part in RAMP if progress >= point)
        return max(reached, default=self.probe_share)

    def choose_servers(self, new: t.Iterable[str], old_count: int, share: float) -> frozenset[str]:
        """Return the new version's servers that share its part.

        So few of them that each bears what a server usually does: some faults come with load.

        :param new: names of the new version's servers.
        :param old_count: number of servers that bear the whole.
        """
        count = max(1, round(share * old_count))
        return frozenset(rank(self.order.service, new)[:count])

    def uses_new_version(self, route: str, key: str, share: float) -> bool:
        """Tell whether an object goes to the new version."""
        return unit_hash(self.order.service, route, key, "move") < share


def decide_phase(move: Move, evidence: Evidence, now: float) -> MovePhase:
    """Return how a move stands by all hosts' evidence.

    :param evidence: counts of all hosts since the order.
    """
    if move.fault or evidence.find_fault():
        return MovePhase.ROLLED_BACK
    progress = move.progress(now)
    if progress < COMPLETE_AT:
        return MovePhase.RUNNING
    if evidence.new_responses >= PROOF_SAMPLES:
        return MovePhase.COMPLETED
    return MovePhase.RUNNING if progress < 1.0 else MovePhase.ROLLED_BACK


def stable_versions(counts: t.Mapping[str, int], without: str = "") -> frozenset[str] | None:
    """Return the versions that serve while no move says otherwise.

    :param counts: servers by version.
    :param without: a version that must not serve.
    :return: the version of the most servers; ``None`` where there is only one anyway.
    """
    allowed = {version: count for version, count in counts.items() if version != without}
    if len(counts) <= 1 and not without:
        return None
    if not allowed:
        return frozenset()
    return frozenset({max(allowed, key=lambda version: (allowed[version], version))})
