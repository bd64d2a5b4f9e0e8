"""Expected time until a request's completion on a server, for services whose servers report pace.

Load pattern: demand exceeds capacity, so that each server has a queue. Requests that would be
answered after their target latency are worth little and make those behind them late as well.
"""

from __future__ import annotations

import enum
import itertools
import typing as t

from radishbridge.steering.hashing import unit_hash
from radishbridge.steering.servers import ServerState

# Length of a run on a warm object relative to one on a cold object, until runs were measured.
WARM_RUN_FRACTION_INITIAL = 0.3
# A run shorter than this fraction of a cold one counts as warm.
WARM_RUN_FRACTION_MAX = 0.55
# Longest run, relative to a cold one, that is counted in full: 3 % of the runs of some services
# take seven times as long, which says nothing of the others.
RUN_OUTLIER_FACTOR = 2.0
# Weight of the newest run in the mean length of cold runs, and in the fractions of warm ones.
RUN_SAMPLE_WEIGHT = 0.05
# Runs needed before the expected time is used; until then servers are selected by occupancy.
RUN_SAMPLES_MIN = 10
# Runs whose expected wait was more than this fraction of a cold run are not measured: the error of
# the wait is then as large as the difference of a warm and a cold run.
MEASURED_WAIT_MAX = 0.5
# Fractions of warm runs that are assumed on the first, the second and any further server of an
# object. Measured fractions are no substitute: where requests are sent to the second server, it
# becomes warm and the first one loses another object, so that the measured difference vanishes
# together with half of the warm objects (in the model: 0.69 of the runs warm instead of 0.88).
WARM_FRACTIONS = (0.9, 0.1, 0.0)
# Fraction of warm runs on a server that has served the object to this host a few seconds ago.
KNOWN_WARM_FRACTION = 0.9
# Weight of a run's length, relative to the time of the request itself, on a server whose slots are
# all in use: the slot is not available to others for that time, and a run on a cold object evicts
# another one, whose next run will be cold.
SLOT_TIME_WEIGHT = 2.0
# Weight of the newest report in the mean load of a service's servers.
MEAN_LOAD_SAMPLE_WEIGHT = 0.02
# Expected time, relative to the target latency, above which a request is refused: it would
# probably be late, and all requests that arrive behind it as well. The rest is for the error of the
# estimate: in the model, 1.2 refused three times as many requests and served fewer in time.
TARGET_TOLERANCE = 1.6
# Reduction of that time for each more urgent priority level of the service's requests, and the
# maximum reduction: under overload the last places stay free for the more urgent levels.
RANK_TARGET_PENALTY = 0.15
RANK_TARGET_PENALTY_MAX = 0.3
# Fraction of the remaining time until the deadline that a request may be expected to take where
# its target latency cannot be met even by a free slot.
DEADLINE_FRACTION = 0.5
# Requests per slot up to which a server that does not usually serve the object may run it, if the
# run on the cold object meets the target latency. Each such run evicts an object there: in the
# model of servers with four slots, 6 % of such runs up to 0.6 lowered the warm ones from 0.76 to
# 0.68 of all.
IDLE_OCCUPANCY_MAX = 0.2


# Longest usual run, relative to a run on a cold object. Longer ones count as silence of the server:
# 3 % of the runs of some services take seven times as long, and another server is sooner done.
USUAL_RUN_FACTOR = 2.0
# Seconds after which a server counts as unheard if no host passes on a report of it, while
# summaries arrive. Each server answers several requests per second of all hosts together.
UNHEARD_AFTER_S = 3.0
# Gap between two summaries in seconds above which reports may have been lost.
SUMMARY_GAP_MAX_S = 1.5
# Mean fraction of a service's servers in a summary below which servers answer too seldom for that.
SUMMARY_COVERAGE_MIN = 0.6
# Weight of the newest summary in that mean.
COVERAGE_SAMPLE_WEIGHT = 0.1
# Fraction of the hosts that send requests to an unheard server, to notice when it answers again,
# and the period in seconds after which others do. Of several requests per second, one or two test
# it.
PROBE_FRACTION = 0.15
PROBE_PERIOD_S = 1.0
# Difference of the mean occupancy of an object's first and second server, in requests per slot,
# from which on the object belongs to the second one, and the range above it over which the objects
# of a server move one after the other. In the model, ranges of 0.7 and 3.0 served fewer requests in
# time on servers with four slots.
MOVE_OCCUPANCY_MIN = 0.3
MOVE_OCCUPANCY_RANGE = 1.5


# Longest delay until a retry, as a fraction of the time until the deadline: callers do not wait for
# more than a third of it.
RETRY_DELAY_FRACTION_MAX = 0.3
# Longest addition to the usual delay, relative to the time after which the queue is short enough.
# Callers return evenly spread over it. In the model, 2.0 refused a quarter fewer retries for good,
# but most of these were then late and made others late; 0.5 serves as many in time as no addition.
RETRY_EXCESS_WEIGHT = 0.5
# Weight of the newest selection in the mean expected time, which is reported to operators.
EXPECTED_SAMPLE_WEIGHT = 0.05


# Servers after those of the object that are examined for one that is nearly idle. With 32, a
# refusal took 170 us of processor time; if this many are busy, others are as well.
OTHER_SERVERS_MAX = 8


class Refusal(enum.Enum):
    """Why no server was selected."""

    NO_SERVER = "no server"
    DEADLINE = "deadline"
    DISPLACES = "displaces others"


class Choice(t.NamedTuple):
    """The selected server, or why there is none.

    :param state: ``None`` if the request is refused.
    :param position: position of the server among the object's servers; 2 for any other server.
    :param wait_s: expected wait in the server's queue in seconds.
    :param expected_s: expected time until completion in seconds; of the best server, if refused.
    :param excess_s: expected time until the best server could accept the request.
    """

    state: ServerState | None
    position: int = 0
    wait_s: float = 0.0
    expected_s: float = 0.0
    refusal: Refusal = Refusal.NO_SERVER
    excess_s: float = 0.0


def is_moved(first: ServerState, second: ServerState, key: str) -> bool:
    """Return whether an object belongs to its second server, because the first is busier for long.

    All hosts decide alike, since the loads that they know are about the same.
    """
    excess = first.mean_occupancy - second.mean_occupancy - MOVE_OCCUPANCY_MIN
    return excess > 0.0 and excess > MOVE_OCCUPANCY_RANGE * unit_hash(key, "moved")


class RunLengths:
    """Lengths of a service's runs at the usual pace, from this host's own responses.

    :param cold_s: mean length of a run on a cold object in seconds.
    :param warm_fraction: fraction of warm runs.
    :param warm_run_fraction: mean length of a warm run, relative to a cold one.
    """

    __slots__ = ("cold_s", "samples", "warm_fraction", "warm_run_fraction")

    def __init__(self) -> None:
        self.cold_s = 0.0
        self.samples = 0
        self.warm_fraction = WARM_FRACTIONS[0]
        self.warm_run_fraction = WARM_RUN_FRACTION_INITIAL

    @property
    def warm_s(self) -> float:
        """Return the mean length of a run on a warm object in seconds."""
        return self.warm_run_fraction * self.cold_s

    @property
    def mean_s(self) -> float:
        """Return the mean length of all runs in seconds."""
        return self.expected_s(self.warm_fraction)

    def expected_s(self, warm_fraction: float) -> float:
        """Return the expected length of a run that is warm with some probability, in seconds."""
        return warm_fraction * self.warm_s + (1.0 - warm_fraction) * self.cold_s

    def add(self, run_s: float) -> None:
        """Count a run.

        :param run_s: its length in seconds at the usual pace, without the wait in the queue.
        """
        is_warm = run_s < WARM_RUN_FRACTION_MAX * self.cold_s
        as_cold_s = run_s / self.warm_run_fraction if is_warm else run_s
        if is_warm:
            excess = run_s / self.cold_s - self.warm_run_fraction
            self.warm_run_fraction += RUN_SAMPLE_WEIGHT * excess
        if self.cold_s:
            as_cold_s = min(as_cold_s, RUN_OUTLIER_FACTOR * self.cold_s)
        self.samples += 1
        gain = max(RUN_SAMPLE_WEIGHT, 1.0 / self.samples)
        self.cold_s += gain * (as_cold_s - self.cold_s)
        self.warm_fraction += RUN_SAMPLE_WEIGHT * (is_warm - self.warm_fraction)


class ServiceLoad:
    """Load of a service whose servers report pace.

    :param mean_load: mean of the requests per slot that servers reported for other hosts.
    :param mean_expected_s: mean expected time of the last selections in seconds.
    :param refusals: number of selections without a server, by reason.
    :param coverage: mean fraction of the service's servers in a summary.
    :param shared_at: time of the last summary that contained reports of the service's servers.
    :param shared_since: time since which such summaries have arrived without a gap.
    """

    __slots__ = (
        "coverage",
        "mean_expected_s",
        "mean_load",
        "refusals",
        "runs",
        "shared_at",
        "shared_since",
    )

    def __init__(self) -> None:
        self.runs = RunLengths()
        self.mean_load = 0.0
        self.mean_expected_s = 0.0
        self.coverage = 0.0
        self.shared_at = self.shared_since = float("-inf")
        self.refusals: dict[Refusal, int] = dict.fromkeys(Refusal, 0)

    @property
    def is_known(self) -> bool:
        """Return whether enough runs were measured to estimate times."""
        return self.runs.samples >= RUN_SAMPLES_MIN

    def record_report(self, state: ServerState) -> None:
        """Count the load that a server has just reported."""
        load = state.other_hosts_load / max(1, state.server.slots)
        self.mean_load += MEAN_LOAD_SAMPLE_WEIGHT * (load - self.mean_load)

    @property
    def longest_usual_s(self) -> float:
        """Return the longest usual time until completion in seconds; 0 if unknown.

        It is the mean expected time, for the wait in the queue, and a long run on a cold object.
        """
        if not self.is_known:
            return 0.0
        return self.mean_expected_s + USUAL_RUN_FACTOR * self.runs.cold_s

    def record_summary(self, fraction: float, now: float) -> None:
        """Count a summary.

        :param fraction: fraction of the service's servers of which it contains a report.
        """
        if now - self.shared_at > SUMMARY_GAP_MAX_S:
            self.shared_since = now
        self.shared_at = now
        self.coverage += COVERAGE_SAMPLE_WEIGHT * (min(1.0, fraction) - self.coverage)

    def is_unheard(self, state: ServerState, now: float) -> bool:
        """Return whether no host has got a response of a server for a while.

        It hangs or is cut off. A single host sends it too few requests to notice that.
        """
        if now - self.shared_at > SUMMARY_GAP_MAX_S or self.coverage < SUMMARY_COVERAGE_MIN:
            return False
        # A server that has just started may not have got a request yet.
        heard_at = state.load_reported_at
        return heard_at > float("-inf") and (
            now - max(heard_at, self.shared_since) > UNHEARD_AFTER_S
        )

    def avoids(self, state: ServerState, host: str, now: float) -> bool:
        """Return whether a host sends a server nothing because it is unheard.

        Some hosts do send it requests, and which ones changes with time.
        """
        if not self.is_unheard(state, now):
            return False
        period = str(int(now / PROBE_PERIOD_S))
        return unit_hash(host, state.server.name, period) >= PROBE_FRACTION

    def record_choice(self, choice: Choice) -> None:
        """Count a selection, or a refusal."""
        self.mean_expected_s += EXPECTED_SAMPLE_WEIGHT * (choice.expected_s - self.mean_expected_s)
        if choice.state is None:
            self.refusals[choice.refusal] += 1

    def record_run(self, latency_s: float, choice: Choice, pace: float) -> None:
        """Count a response.

        :param latency_s: time from sending the request to its response in seconds.
        """
        wait_s = choice.wait_s
        if self.is_known and wait_s > MEASURED_WAIT_MAX * self.runs.cold_s:
            return
        self.runs.add(max(0.0, latency_s - wait_s) / pace)

    def estimate(self, state: ServerState, position: int, key: str, now: float) -> Estimate:
        """Return the expected time of a request on a server.

        :param position: position of the server for the request's object; 2 for any other server.
        :param key: key of the object; empty if the server's objects don't matter.
        """
        slots = max(1, state.server.slots)
        load = state.expected_load(self.mean_load, now)
        ahead = max(0.0, load - slots + 1.0)
        pace = state.pace
        wait_s = ahead * pace * self.runs.mean_s / slots
        warm_fraction = WARM_FRACTIONS[position]
        if key and state.has_warm_object(key, now):
            warm_fraction = max(warm_fraction, KNOWN_WARM_FRACTION)
        run_s = pace * self.runs.expected_s(warm_fraction)
        warm_run_s = run_s if position > 1 else pace * self.runs.warm_s
        return Estimate(state, position, load / slots, wait_s, run_s, wait_s + warm_run_s)


def retry_delay_s(choice: Choice, usual_s: float, remaining_s: float, point: float) -> float:
    """Return the delay in seconds after which a refused request may be accepted.

    :param usual_s: delay without an estimate of the time until a server has capacity.
    :param remaining_s: time until the request's deadline.
    :param point: number from 0 to 1 that spreads the retries of callers refused together.
    """
    if not choice.excess_s:
        return usual_s
    longest_s = max(usual_s, RETRY_DELAY_FRACTION_MAX * remaining_s)
    return min(longest_s, usual_s + RETRY_EXCESS_WEIGHT * choice.excess_s * point)


class Estimate(t.NamedTuple):
    """Expected time of a request on one server.

    :param occupancy: requests per slot that it runs or queues.
    :param wait_s: wait in its queue in seconds.
    :param run_s: length of the run in seconds.
    :param warm_finish_s: time until completion if the object is warm, on the servers of the object.
    """

    state: ServerState
    position: int
    occupancy: float
    wait_s: float
    run_s: float
    warm_finish_s: float

    @property
    def cost_s(self) -> float:
        """Return the expected time, plus the time for which others can't use the slot."""
        return self.wait_s + self.run_s * (1.0 + SLOT_TIME_WEIGHT * min(1.0, self.occupancy))

    def choice(self) -> Choice:
        """Return the choice of this server."""
        return Choice(self.state, self.position, self.wait_s, self.wait_s + self.run_s)


class Limits(t.NamedTuple):
    """Limits on the expected time of a request.

    :param target_s: target latency in seconds.
    :param remaining_s: time until the deadline in seconds.
    :param rank: number of more urgent priority levels of the service's requests.
    """

    target_s: float
    remaining_s: float
    rank: int

    def longest_s(self, free_slot_s: float) -> float:
        """Return the expected time above which the request would displace others.

        :param free_slot_s: time on a warm object without a queue.
        """
        if free_slot_s > self.target_s:
            return DEADLINE_FRACTION * self.remaining_s
        penalty = min(RANK_TARGET_PENALTY_MAX, RANK_TARGET_PENALTY * self.rank)
        return min(self.remaining_s, self.target_s * (TARGET_TOLERANCE - penalty))


def has_room_in_time(one: Estimate, limits: Limits) -> bool:
    """Return whether a server may run a request without making others late.

    :param one: its position tells whether the server is one of the object's.
    """
    if one.position >= len(WARM_FRACTIONS) - 1:
        in_time = one.wait_s + one.run_s <= min(limits.target_s, limits.remaining_s)
        return one.occupancy < IDLE_OCCUPANCY_MAX and in_time
    longest_s = limits.longest_s(one.warm_finish_s - one.wait_s)
    displaces = one.warm_finish_s > longest_s and one.wait_s > 0.0
    return not displaces and one.wait_s + one.run_s <= limits.remaining_s


def choose_by_time(
    estimates: t.Iterable[Estimate],
    others: t.Iterable[Estimate],
    limits: Limits,
    admits: t.Callable[[ServerState], bool],
) -> Choice:
    """Return the server on which a request is expected to complete first, or the refusal.

    :param estimates: of the object's servers.
    :param others: of further servers; read only as far as needed.
    :param admits: whether a server's slow start admits the request.
    """
    by_cost = sorted(estimates, key=lambda one: one.cost_s)
    for one in itertools.chain(by_cost, others):
        if has_room_in_time(one, limits) and admits(one.state):
            return one.choice()
    if not by_cost:
        return Choice(None)
    best = min(by_cost, key=lambda one: one.warm_finish_s)
    excess_s = best.warm_finish_s - limits.longest_s(best.warm_finish_s - best.wait_s)
    expected_s = best.wait_s + best.run_s
    refusal = Refusal.DEADLINE if expected_s > limits.remaining_s else Refusal.DISPLACES
    return Choice(None, best.position, best.wait_s, expected_s, refusal, max(0.0, excess_s))
