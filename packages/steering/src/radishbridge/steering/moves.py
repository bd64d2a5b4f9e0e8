"""Version moves: which share of a service's requests the new version gets, and how a move ends.

Load pattern: a new version is faulty from the start or later, on all routes or on one, by errors or
by latency; a good one starts with no warm objects. The new version first gets a small share, chosen
by object so that its servers become warm, until its responses compare well with those of the old
version. Then its share grows to the whole in steps.
"""

from __future__ import annotations

import collections
import enum
import typing as t

import msgspec

from radishbridge.peers import rank
from radishbridge.steering.hashing import unit_hash

# Share of the objects that an unproven version gets, as a fraction of the operators' limit. That
# limit is on requests, which are spread unevenly over objects.
PROBE_SHARE_FACTOR = 0.5
# Steps of the new version's share: the progress of the move, 0 to 1, and the share from then on.
# The first step leaves time to detect late faults, the last leaves time to report the end.
RAMP_STEPS: tuple[tuple[float, float], ...] = ((0.50, 0.2), (0.62, 0.45), (0.76, 1.0))
# Progress of a move at which it is reported complete: all requests sent to the old version have
# ended by then.
COMPLETE_AT_PROGRESS = 0.88
# Window in seconds of recent responses that are judged separately: a fault that occurs late, or
# under load, would be hidden by the good responses before it.
RECENT_WINDOW_S = 2.0
# Minimum failed responses to judge the new version faulty.
FAILURES_MIN = 4
# Tolerated excess of the new version's failure rate over that of the old version.
FAILURE_RATE_MARGIN = 0.08
# Minimum responses on warm objects of each version to compare latencies.
LATENCY_SAMPLES_MIN = 8
# Ratio of the new version's median latency to the old one's above which it counts as slow.
SLOW_MEDIAN_FACTOR = 2.5
# Minimum responses of the new version to report the move complete.
COMPLETION_RESPONSES_MIN = 20
# Upper bounds of the latency buckets in seconds; each is 1.5 times the previous one.
LATENCY_BUCKETS_S: tuple[float, ...] = tuple(0.01 * 1.5**step for step in range(18))


class MovePhase(enum.Enum):
    """Phase of a move, as recorded in the store."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "taken back"


class MoveOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's order to move a service's traffic to another version.

    :param duration_s: time allowed for the move in seconds.
    :param phase: the recorded phase; ``None`` before the move has started.
    """

    service: str
    to_version: str
    duration_s: float
    phase: MovePhase | None = None


class ResponseCounts(msgspec.Struct, array_like=True):
    """Responses of one version on one route.

    :param latency_counts: successful responses on warm objects by latency bucket; the last bucket
        has no upper bound.
    """

    responses: int = 0
    failures: int = 0
    latency_counts: list[int] = []

    def add(self, latency_s: float, failed: bool, warm: bool) -> None:
        """Count one response.

        :param warm: the object was warm on the server.
        """
        self.responses += 1
        self.failures += failed
        if failed or not warm:
            return
        self.latency_counts = self.latency_counts or [0] * (len(LATENCY_BUCKETS_S) + 1)
        self.latency_counts[sum(1 for end_s in LATENCY_BUCKETS_S if latency_s > end_s)] += 1

    def merge(self, other: ResponseCounts) -> None:
        """Add the counts of another host."""
        self.responses += other.responses
        self.failures += other.failures
        pairs = zip(
            self.latency_counts or [0] * len(other.latency_counts),
            other.latency_counts,
            strict=False,
        )
        self.latency_counts = (
            [own + theirs for own, theirs in pairs] if other.latency_counts else self.latency_counts
        )

    def since(self, earlier: ResponseCounts) -> ResponseCounts:
        """Return the responses counted since an earlier state.

        All are returned if the count has fallen, because it has then restarted.
        """
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
        """Return the upper bound of the median's bucket; ``None`` with too few samples."""
        total = sum(self.latency_counts)
        if total < LATENCY_SAMPLES_MIN:
            return None
        cumulative = 0
        for end_s, count in zip(
            (*LATENCY_BUCKETS_S, LATENCY_BUCKETS_S[-1] * 1.5), self.latency_counts, strict=True
        ):
            cumulative += count
            if cumulative * 2 >= total:
                return end_s
        return None


class Evidence(msgspec.Struct):
    """Responses of both versions of one service, by route."""

    new: dict[str, ResponseCounts] = {}
    old: dict[str, ResponseCounts] = {}

    def add(self, route: str, is_new: bool, latency_s: float, failed: bool, warm: bool) -> None:
        """Count one response.

        :param warm: the object was warm on the server.
        """
        side = self.new if is_new else self.old
        side.setdefault(route, ResponseCounts()).add(latency_s, failed, warm)

    def merge(self, other: Evidence) -> None:
        """Add the evidence of another host."""
        for mine, theirs in ((self.new, other.new), (self.old, other.old)):
            for route, counts in theirs.items():
                mine.setdefault(route, ResponseCounts()).merge(counts)

    def since(self, earlier: Evidence) -> Evidence:
        """Return the responses counted since an earlier state."""
        return Evidence(
            new={
                route: counts.since(earlier.new.get(route, ResponseCounts()))
                for route, counts in self.new.items()
            },
            old={
                route: counts.since(earlier.old.get(route, ResponseCounts()))
                for route, counts in self.old.items()
            },
        )

    def find_fault(self) -> str:
        """Return why the new version is faulty; empty if no fault was found."""
        routes = sorted(self.new)
        found = (self._route_fault(route) for route in routes)
        return next((fault for fault in found if fault), "")

    @property
    def new_responses(self) -> int:
        """Return the number of responses of the new version on all routes."""
        return sum(counts.responses for counts in self.new.values())

    def _route_fault(self, route: str) -> str:
        new, old = self.new[route], self.old.get(route, ResponseCounts())
        old_failure_rate = old.failures / old.responses if old.responses else 0.0
        allowed = new.responses * (old_failure_rate + FAILURE_RATE_MARGIN)
        if new.failures >= FAILURES_MIN and new.failures > allowed:
            return f"{new.failures} of {new.responses} responses failed on route {route}"
        new_s, old_s = new.median_s, old.median_s
        if new_s is not None and old_s is not None and new_s > SLOW_MEDIAN_FACTOR * old_s:
            return f"median latency {new_s:.2f} s instead of {old_s:.2f} s on route {route}"
        return ""


class RecentEvidence:
    """Evidence of the last ``RECENT_WINDOW_S`` seconds, from totals counted since the order."""

    __slots__ = ("snapshots",)

    def __init__(self) -> None:
        self.snapshots: collections.deque[tuple[float, Evidence]] = collections.deque()

    def update(self, evidence: Evidence, now: float) -> Evidence:
        """Add a new total and return the evidence of the window.

        :param evidence: responses at all hosts since the order.
        """
        self.snapshots.append((now, evidence))
        while len(self.snapshots) > 1 and self.snapshots[1][0] <= now - RECENT_WINDOW_S:
            self.snapshots.popleft()
        return evidence.since(self.snapshots[0][1])


class Move:
    """One service's move as followed by this host.

    :param exposure: maximum share of the requests for a version that may be faulty.
    :param now: monotonic time in seconds at which this host first saw the order.
    """

    __slots__ = ("evidence", "exposure", "fault", "order", "recent_evidence", "started_at")

    def __init__(self, order: MoveOrder, exposure: float, now: float) -> None:
        self.order = order
        self.exposure = exposure
        self.started_at = now
        self.evidence = Evidence()
        self.recent_evidence = RecentEvidence()
        self.fault = ""

    def find_fault(self, evidence: Evidence, now: float) -> str:
        """Return why the new version is faulty; empty if no fault was found.

        :param evidence: responses at all hosts since the order.
        """
        return evidence.find_fault() or self.recent_evidence.update(evidence, now).find_fault()

    @property
    def probe_share(self) -> float:
        """Return the share of objects for the new version until it is proven."""
        return self.exposure * PROBE_SHARE_FACTOR

    def progress(self, now: float) -> float:
        """Return the fraction of the move's duration that has passed."""
        return (now - self.started_at) / max(0.1, self.order.duration_s)

    def share(self, now: float, is_proven: bool) -> float:
        """Return the share of objects that go to the new version, 0 to 1.

        :param is_proven: the evidence of all hosts shows no fault.
        """
        if self.order.phase is MovePhase.COMPLETED:
            return 1.0
        if self.order.phase is MovePhase.ROLLED_BACK or self.fault:
            return 0.0
        if not is_proven:
            return self.probe_share
        progress = self.progress(now)
        reached = (share for point, share in RAMP_STEPS if progress >= point)
        return max(reached, default=self.probe_share)

    def choose_servers(self, new: t.Iterable[str], old_count: int, share: float) -> frozenset[str]:
        """Return the servers of the new version that serve its share.

        They are so few that each gets the usual load of a server, because some faults occur only
        under load.

        :param new: names of the new version's servers.
        :param old_count: number of the old version's servers.
        """
        count = max(1, round(share * old_count))
        return frozenset(rank(self.order.service, new)[:count])

    def uses_new_version(self, route: str, key: str, share: float) -> bool:
        """Return whether an object goes to the new version.

        :param share: share of objects that go to the new version, 0 to 1.
        """
        return unit_hash(self.order.service, route, key, "move") < share


def decide_phase(move: Move, evidence: Evidence, now: float) -> MovePhase:
    """Return the phase of a move according to the evidence.

    :param evidence: responses at all hosts since the order.
    """
    if move.fault or evidence.find_fault():
        return MovePhase.ROLLED_BACK
    progress = move.progress(now)
    if progress < COMPLETE_AT_PROGRESS:
        return MovePhase.RUNNING
    if evidence.new_responses >= COMPLETION_RESPONSES_MIN:
        return MovePhase.COMPLETED
    return MovePhase.RUNNING if progress < 1.0 else MovePhase.ROLLED_BACK


def stable_versions(counts: t.Mapping[str, int], without: str = "") -> frozenset[str] | None:
    """Return the versions that serve requests outside a move.

    :param counts: number of servers by version.
    :param without: a version that must not serve requests.
    :return: the version with the most servers; ``None``, which allows all, if there is only one.
    """
    allowed = {version: count for version, count in counts.items() if version != without}
    if len(counts) <= 1 and not without:
        return None
    if not allowed:
        return frozenset()
    return frozenset({max(allowed, key=lambda version: (allowed[version], version))})
