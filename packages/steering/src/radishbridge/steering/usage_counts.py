"""Counts of the requests that backend servers began to run, by workspace and window.

Each host counts its own attempts; the host that sends the usage reports adds the counts of all.
Windows are numbered from the start of 1970 in the fleet's time, which is the median of the hosts'
times of day. All other times are monotonic, in seconds.
"""

from __future__ import annotations

import enum
import math
import statistics
import typing as t

import msgspec

# Ranges of numbers in messages, beyond which a message counts as malformed.
NUMBER_MAX = 2**53
TIME_MAX_S = 1e12
# Difference in seconds between a host's time of day and the fleet's above which the host uses the
# fleet's. The fleet's time arrives late by the transit of a report and a summary, some 20 ms each.
CLOCK_ERROR_MAX_S = 0.05
# Time in seconds after a window's end at which a host may settle it. It covers the error of the
# clock, so that no later attempt belongs to the window.
SETTLE_AFTER_S = 0.1
# Longest time in seconds that a request is assumed to take to its server.
TRANSIT_MAX_S = 0.1
# Servers that refuse a request do so at once. An attempt that a server with a free slot has held
# for this long, in seconds, is running.
REFUSAL_TIMEOUT_S = 0.5
# A connection that breaks this soon after a request was sent on it, in seconds and as a fraction of
# the usual run time, had been closed by the server before: the request did not run.
LOST_AT_ONCE_S = 0.1
LOST_RUN_FRACTION = 0.5
# Weight of the newest sample in the mean run time of a service.
RUN_TIME_WEIGHT = 0.1
# A host whose last report is older than this, in seconds, is silent: at least two were lost.
SILENT_AFTER_S = 1.1

Number = t.Annotated[int, msgspec.Meta(ge=0, le=NUMBER_MAX)]
Seconds = t.Annotated[float, msgspec.Meta(ge=-TIME_MAX_S, le=TIME_MAX_S)]
CountsByWindow = dict[Number, dict[str, Number]]


class UsageHolding(msgspec.Struct, frozen=True, array_like=True):
    """What the holder of the duty has last written to the store.

    :param holder: name of the host.
    :param address: its peer address.
    :param token: its fencing token.
    :param revision: revision of the store at that write.
    :param finalized_through: newest window whose counts are final.
    """

    holder: str
    address: str
    token: Number
    revision: Number
    finalized_through: Number


class UsageReport(msgspec.Struct, frozen=True, array_like=True):
    """One host's counts, as a part of its report to the aggregators.

    :param incarnation: differs for each start of the host.
    :param sequence: number of the report since that start.
    :param time_s: the host's time of day, in seconds since the start of 1970.
    :param settled_through: newest window whose counts of this host do not change any more.
    :param counts: requests by window and workspace; cumulative, for windows that are not final.
    :param holding: only from the holder of the duty.
    :param reaches_record: the store answered the host's recent calls for the record, if any.
    """

    incarnation: Number
    sequence: Number
    time_s: Seconds
    settled_through: Number
    counts: CountsByWindow
    holding: UsageHolding | None = None
    reaches_record: bool = True


class UsageNews(msgspec.Struct, frozen=True, array_like=True):
    """What an aggregator tells all hosts with its summary.

    :param time_s: the fleet's time, in seconds since the start of 1970.
    :param unable: hosts that do not reach the record in the store.
    """

    time_s: Seconds
    holding: UsageHolding | None = None
    unable: list[str] = []


class FleetTime:
    """The fleet's time of day, on this host's monotonic clock.

    :param own_offset_s: this host's time of day less its monotonic time.
    :param fleet_offset_s: the same of the fleet; ``None`` before the first summary.
    """

    __slots__ = ("fleet_offset_s", "own_offset_s")

    def __init__(self, own_offset_s: float) -> None:
        self.own_offset_s = own_offset_s
        self.fleet_offset_s: float | None = None

    @property
    def offset_s(self) -> float:
        """The fleet's time less the monotonic time."""
        fleet = self.fleet_offset_s
        if fleet is None or abs(fleet - self.own_offset_s) <= CLOCK_ERROR_MAX_S:
            return self.own_offset_s
        return fleet

    def at(self, now: float) -> float:
        """Return the fleet's time at a monotonic time, in seconds since the start of 1970."""
        return now + self.offset_s


class AttemptEnding(enum.Enum):
    """How an attempt that was sent has ended.

    ``BROKEN`` is a connection that ended before the whole response, ``NOT_RUN`` a refusal.
    """

    ANSWERED = "answered"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    NOT_RUN = "not run"


class _Running(t.NamedTuple):
    """An attempt without a response.

    :param arrives_at: estimated time at which the server gets it.
    :param starts_at: estimated time at which the server begins to run it.
    :param is_queued: the server had no free slot when the attempt was sent.
    """

    workspace: str
    service: str
    sent_at: float
    arrives_at: float
    starts_at: float
    is_queued: bool


class UsageCounter:
    """This host's counts by window and workspace.

    :param window_s: length of a window in seconds.
    :param keep_s: time after its end for which a window is counted, in seconds.
    :param time: the fleet's time.
    :param running: attempts that were sent and have not ended.
    :param run_times: mean run time by service in seconds, of attempts that did not wait.
    :param dropped_through: newest window that is not counted any more.
    """

    __slots__ = (
        "counts",
        "dropped_through",
        "keep_s",
        "run_times",
        "running",
        "time",
        "window_s",
    )

    def __init__(self, window_s: float, keep_s: float, time: FleetTime) -> None:
        self.window_s = window_s
        self.keep_s = keep_s
        self.time = time
        self.counts: dict[int, dict[str, int]] = {}
        self.running: dict[object, _Running] = {}
        self.run_times: dict[str, float] = {}
        self.dropped_through = -1

    def begin(
        self,
        attempt: object,
        workspace: str,
        service: str,
        occupancy: float,
        round_trip_s: float,
        now: float,
    ) -> None:
        """Record that an attempt is sent.

        :param workspace: empty for requests without a workspace, which are not counted.
        :param occupancy: requests at the server per slot, this one included.
        :param round_trip_s: of the connection in seconds; 0 if unknown.
        """
        if not workspace:
            return
        queue = max(0.0, occupancy - 1.0)
        wait_s = queue * self.run_times.get(service, 0.0)
        arrives_at = now + min(TRANSIT_MAX_S, round_trip_s / 2.0)
        self.running[attempt] = _Running(
            workspace, service, now, arrives_at, arrives_at + wait_s, queue > 0.0
        )

    def finish(self, attempt: object, ending: AttemptEnding, now: float) -> None:
        """Record that an attempt has ended; one that was not begun is ignored."""
        running = self.running.pop(attempt, None)
        if running is None or ending is AttemptEnding.NOT_RUN:
            return
        if ending is AttemptEnding.BROKEN and self._was_lost_at_once(running, now):
            return
        starts_at = running.starts_at
        if ending is AttemptEnding.ANSWERED:
            starts_at = self._start_before_response(running, now)
        if starts_at <= now:
            self._add(self.counts, running.workspace, starts_at)

    def settle(self, finalized_through: int, now: float) -> None:
        """Drop the counts of windows that are final or too old to be reported."""
        oldest = math.floor((self.time.at(now) - self.keep_s) / self.window_s)
        self.dropped_through = max(self.dropped_through, finalized_through, oldest - 1)
        for window in [one for one in self.counts if one <= self.dropped_through]:
            del self.counts[window]

    def settled_through(self, now: float) -> int:
        """Return the newest window whose counts do not change any more."""
        uncertain = (
            running.sent_at
            for running in self.running.values()
            if running.is_queued or now - running.sent_at < REFUSAL_TIMEOUT_S
        )
        settled_at = min(uncertain, default=now)
        settled_at = min(settled_at, now - SETTLE_AFTER_S)
        return max(0, math.floor(self.time.at(settled_at) / self.window_s) - 1)

    def snapshot(self, now: float) -> CountsByWindow:
        """Return the counts, with the running attempts at their estimated start."""
        counts = {window: dict(by_workspace) for window, by_workspace in self.counts.items()}
        for running in self.running.values():
            if running.starts_at <= now:
                self._add(counts, running.workspace, running.starts_at)
        return counts

    def _was_lost_at_once(self, running: _Running, now: float) -> bool:
        run_time_s = self.run_times.get(running.service, 0.0)
        return now - running.sent_at < min(LOST_AT_ONCE_S, LOST_RUN_FRACTION * run_time_s)

    def _start_before_response(self, running: _Running, now: float) -> float:
        known_s = self.run_times.get(running.service)
        arrives_at = running.arrives_at
        if running.is_queued:
            return arrives_at if known_s is None else max(arrives_at, now - known_s)
        run_s = now - arrives_at
        mean_s = run_s if known_s is None else known_s + RUN_TIME_WEIGHT * (run_s - known_s)
        self.run_times[running.service] = mean_s
        return min(arrives_at, now)

    def _add(self, counts: CountsByWindow, workspace: str, starts_at: float) -> None:
        window = math.floor(self.time.at(starts_at) / self.window_s)
        if window <= self.dropped_through:
            return
        by_workspace = counts.setdefault(window, {})
        by_workspace[workspace] = by_workspace.get(workspace, 0) + 1


class _Gathered:
    """The last report of one incarnation of a host."""

    __slots__ = (
        "counts",
        "heard_at",
        "is_leaving",
        "name",
        "reaches_record",
        "sequence",
        "settled_through",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.sequence = -1
        self.counts: CountsByWindow = {}
        self.settled_through = 0
        self.heard_at = float("-inf")
        self.is_leaving = False
        self.reaches_record = True


class Unsettled(t.NamedTuple):
    """Hosts whose counts of a window may still change.

    :param late: they report, but have attempts whose start is uncertain.
    :param silent: they have not reported for a while, or not at all.
    """

    late: list[str]
    silent: list[str]


class UsageGathering:
    """The counts of all hosts, as an aggregator has received them.

    Counts of hosts that have ended are kept until their windows are final.

    :param hosts: by name and incarnation.
    :param time_offsets: time of day less the monotonic time of arrival, by host.
    :param holding: the newest that any holder has reported.
    """

    __slots__ = ("holding", "hosts", "time_offsets", "window_s")

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.hosts: dict[tuple[str, int], _Gathered] = {}
        self.time_offsets: dict[str, float] = {}
        self.holding: UsageHolding | None = None

    def record(self, name: str, report: UsageReport, is_leaving: bool, now: float) -> None:
        """Record a host's report; an older or repeated one changes nothing."""
        gathered = self.hosts.setdefault((name, report.incarnation), _Gathered(name))
        if report.sequence <= gathered.sequence:
            return
        gathered.sequence = report.sequence
        gathered.settled_through = report.settled_through
        gathered.heard_at = now
        gathered.is_leaving = is_leaving
        gathered.reaches_record = report.reaches_record
        gathered.counts = dict(report.counts)
        self.time_offsets[name] = report.time_s - now
        self.hold(report.holding)

    def hold(self, holding: UsageHolding | None) -> None:
        """Keep what a holder has reported if it is newer."""
        if holding is None:
            return
        if self.holding is None or holding.revision > self.holding.revision:
            self.holding = holding

    def drop(self, finalized_through: int, now: float, keep_s: float) -> None:
        """Drop the counts of final windows, and hosts that have been silent for long.

        :param keep_s: time in seconds for which silent hosts are kept.
        """
        for key, gathered in list(self.hosts.items()):
            for window in [one for one in gathered.counts if one <= finalized_through]:
                del gathered.counts[window]
            if now - gathered.heard_at > keep_s:
                del self.hosts[key]
        names = {name for name, _ in self.hosts}
        for name in [one for one in self.time_offsets if one not in names]:
            del self.time_offsets[name]

    def time_offset(self, now: float) -> float | None:
        """Return the fleet's time less this host's monotonic time; ``None`` if unknown.

        It is the median of the hosts that have reported lately.
        """
        live = {
            gathered.name
            for gathered in self.hosts.values()
            if now - gathered.heard_at <= SILENT_AFTER_S
        }
        offsets = [self.time_offsets[name] for name in live if name in self.time_offsets]
        return statistics.median(offsets) if offsets else None

    def unable(self, now: float) -> list[str]:
        """Return the hosts that have lately reported that they do not reach the record."""
        return [
            gathered.name
            for gathered in self.hosts.values()
            if not gathered.reaches_record and now - gathered.heard_at <= SILENT_AFTER_S
        ]

    def totals(self, window: int) -> dict[str, int]:
        """Return the counts of all hosts in a window, by workspace."""
        totals: dict[str, int] = {}
        for gathered in self.hosts.values():
            for workspace, count in gathered.counts.get(window, {}).items():
                totals[workspace] = totals.get(workspace, 0) + count
        return totals

    def unsettled(
        self, window: int, live: t.Iterable[str], time: FleetTime, now: float
    ) -> Unsettled:
        """Return the hosts whose counts of a window may still change.

        Hosts that fell silent more than a window before it began have ended, or were cut off for
        so long that they are not waited for.

        :param live: names of the hosts that are known to run.
        """
        awaited_from = (window - 1) * self.window_s - time.offset_s
        late = []
        silent = []
        newest: dict[str, float] = {}
        for gathered in self.hosts.values():
            newest[gathered.name] = max(gathered.heard_at, newest.get(gathered.name, float("-inf")))
        for gathered in self.hosts.values():
            if gathered.settled_through >= window or gathered.heard_at < awaited_from:
                continue
            # An earlier incarnation of a host that has started again reports no more.
            if gathered.heard_at < newest[gathered.name]:
                continue
            is_silent = now - gathered.heard_at > SILENT_AFTER_S
            if is_silent and not gathered.is_leaving:
                silent.append(gathered.name)
            elif not is_silent:
                late.append(gathered.name)
        silent += [name for name in live if name not in newest]
        return Unsettled(late, silent)

    def heard(self, now: float) -> int:
        """Return the number of hosts that have reported lately."""
        return sum(now - one.heard_at <= SILENT_AFTER_S for one in self.hosts.values())
