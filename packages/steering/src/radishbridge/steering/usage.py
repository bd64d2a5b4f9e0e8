"""The duty of reporting usage: which host may send which bytes, and when.

One object in the store, changed by conditional writes only, holds the holder, its fencing token and
the bytes of each report that may still have to be sent. Only bytes that a successful write has
stored are ever sent, and only within a lease that is counted from before that write was sent.
"""

from __future__ import annotations

import enum
import json
import random
import typing as t

import msgspec

from radishbridge.steering.usage_counts import FleetTime, UsageGathering, UsageHolding
from radishbridge.steering.usage_rules import UsageRules

# Shortest rest of a lease, in seconds, with which a call is begun.
CALL_TIME_MIN_S = 0.05
# First and longest pause between two calls to the platform after a failure, in seconds.
CALL_PAUSE_S = 0.1
CALL_PAUSE_MAX_S = 0.8
# First and longest pause between two calls to the store after a failure, in seconds.
STORE_PAUSE_S = 0.2
STORE_PAUSE_MAX_S = 1.0
# Time in seconds for which calls have to fail before the store counts as unreachable, so that
# another host takes the duty over, and time since the last failure after which it is tried again.
UNREACHABLE_AFTER_S = 1.0
ASSUME_REACHABLE_AFTER_S = 5.0


class WindowReport(msgspec.Struct, frozen=True):
    """The exact bytes of the report of one window."""

    window: int
    body: str


class UsageRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The record in the store.

    :param holder: name of the host that holds the duty.
    :param address: peer address of that host.
    :param incarnation: differs for each start of the host.
    :param token: fencing token; it increases whenever the holder or its incarnation changes.
    :param sequence: differs for each write of the incarnation, so that no two records are equal.
    :param finalized_through: newest window whose counts are final or left out.
    :param reports: final reports that the platform has not confirmed to the holder.
    """

    holder: str
    address: str
    incarnation: int
    token: int
    sequence: int
    finalized_through: int
    reports: tuple[WindowReport, ...] = ()


class StoredUsage(t.NamedTuple):
    """The record at one revision of the store."""

    revision: int
    record: UsageRecord


class ReadRecord(t.NamedTuple):
    """Read the record."""


class WriteRecord(t.NamedTuple):
    """Write the record if it has a revision; 0 to create it."""

    record: UsageRecord
    revision: int


class SendReport(t.NamedTuple):
    """Send a report to the platform.

    :param holder: name of the holder.
    :param token: fencing token.
    :param until: monotonic time at which the permission ends, and the call with it.
    """

    report: WindowReport
    holder: str
    token: int
    until: float


class SendOutcome(enum.Enum):
    """How a call to the platform ended.

    ``UNREACHABLE`` and ``EXPIRED`` calls have sent nothing.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNANSWERED = "unanswered"
    UNREACHABLE = "unreachable"
    EXPIRED = "expired"


Step = ReadRecord | WriteRecord | SendReport


class Finalized(t.NamedTuple):
    """How a window was finalized, for the log.

    :param total: requests of all workspaces.
    :param heard: hosts that reported lately.
    :param missing: hosts whose counts may be incomplete.
    """

    total: int
    heard: int
    missing: int


class UsageDuty:
    """Decides what one host does for the duty of reporting usage.

    The host performs one step at a time and records its result before it asks for the next.

    :param holder: name of this host.
    :param address: its peer address.
    :param incarnation: differs for each start of this host.
    :param rng: spreads retries.
    :param stored: the record as last read or written; ``None`` if there is none.
    :param missing_since: monotonic time since which the store has had no record.
    :param must_read: the record is unknown, or the outcome of a write is.
    :param observed_revision: the newest revision of the record that this host knows of.
    :param observed_at: monotonic time after which that revision is known not to be newer.
    :param valid_until: monotonic time at which the permission to send ends.
    :param sent_at: monotonic time before the last write was sent.
    :param confirmed: windows whose report the platform has accepted from this host.
    :param tried: windows whose report this host has sent, accepted or not.
    :param finalized: how this host finalized the windows of the record.
    :param highest_token: the highest fencing token that this host has seen.
    :param failing_since: monotonic time since which calls of the store fail; infinite if the last
        one worked.
    :param failed_at: monotonic time of the last failure.
    :param is_write_open: the last write has not succeeded, as far as this host knows.
    :param left_out: windows that the last write left out, with the reason.
    """

    __slots__ = (
        "address",
        "call_failures",
        "confirmed",
        "failed_at",
        "failing_since",
        "finalized",
        "highest_token",
        "holder",
        "incarnation",
        "is_write_open",
        "left_out",
        "missing_since",
        "must_read",
        "next_call_at",
        "next_store_at",
        "observed_at",
        "observed_revision",
        "rng",
        "rules",
        "sent_at",
        "sequence",
        "store_failures",
        "stored",
        "tried",
        "valid_until",
    )

    def __init__(
        self, rules: UsageRules, holder: str, address: str, incarnation: int, rng: random.Random
    ) -> None:
        self.rules = rules
        self.holder = holder
        self.address = address
        self.incarnation = incarnation
        self.rng = rng
        self.stored: StoredUsage | None = None
        self.missing_since = float("inf")
        self.must_read = True
        self.observed_revision = 0
        self.observed_at = float("inf")
        self.valid_until = float("-inf")
        self.sequence = 0
        self.sent_at = float("-inf")
        self.confirmed: set[int] = set()
        self.tried: set[int] = set()
        self.finalized: dict[int, Finalized] = {}
        self.left_out: dict[int, str] = {}
        self.highest_token = 0
        self.call_failures = 0
        self.store_failures = 0
        self.failing_since = float("inf")
        self.failed_at = float("-inf")
        self.is_write_open = False
        self.next_call_at = float("-inf")
        self.next_store_at = float("-inf")

    @property
    def holding(self) -> UsageHolding | None:
        """What this host tells the others if it is the holder; ``None`` if it is not."""
        stored = self.stored
        if stored is None or self.must_read or not self._is_own(stored.record):
            return None
        record = stored.record
        return UsageHolding(
            holder=record.holder,
            address=record.address,
            token=record.token,
            revision=stored.revision,
            finalized_through=record.finalized_through,
        )

    def reaches_store(self, now: float) -> bool:
        """Return whether the store answers this host's calls, or may do so again."""
        is_failing = now - self.failing_since >= UNREACHABLE_AFTER_S
        return not is_failing or now - self.failed_at > ASSUME_REACHABLE_AFTER_S

    def may_send(self, now: float) -> bool:
        """Return whether this host may send; checked immediately before the bytes are sent."""
        return not self.must_read and now < self.valid_until

    def decide(
        self,
        is_candidate: bool,
        gathering: UsageGathering,
        live: t.Collection[str],
        time: FleetTime,
        now: float,
    ) -> Step | None:
        """Return the next step; ``None`` if there is nothing to do now.

        :param is_candidate: this host should be the holder.
        :param live: names of the hosts that are known to run.
        """
        send = self._next_send(time.at(now), now)
        if send is not None:
            return send
        if not is_candidate or now < self.next_store_at:
            return None
        if self.must_read:
            return ReadRecord()
        stored = self.stored
        if stored is None:
            if not self._may_create(now):
                return None
            started = self.rules.window_of(time.at(self.missing_since)) - 1
            return self._write(0, self.highest_token + 1, max(0, started), (), now)
        record = stored.record
        ready = self._ready_windows(record, gathering, live, time, now)
        is_own = self._is_own(record)
        if is_own and not ready and not self._must_renew(time.at(now), now):
            return None
        if not is_own and not self._may_take_over(record, now):
            return None
        return self._write_next(stored, ready, gathering, time, now)

    def observe(self, revision: int, token: int, now: float) -> None:
        """Record that the holder has told of a revision of the record and its fencing token."""
        self.highest_token = max(self.highest_token, token)
        if revision > self.observed_revision:
            self.observed_revision = revision
            self.observed_at = now
            if self.stored is None or self.stored.revision < revision:
                self.must_read = True
                self.valid_until = float("-inf")

    def on_read(self, stored: StoredUsage | None, now: float) -> None:
        """Record the result of a read.

        :param stored: ``None`` if there is no record.
        :param now: time after the response.
        """
        self.must_read = False
        self._replace(stored, now)
        if stored is not None and self._is_last_write(stored.record):
            self.is_write_open = False
        # The store may answer reads while each write fails, which must not reset the pauses.
        if not self.is_write_open:
            self._reached()

    def on_written(self, step: WriteRecord, revision: int, now: float) -> None:
        """Record that a write has succeeded."""
        self._reached()
        if self.stored is not None:
            self._count_left_out(self.stored.record, step.record)
        self._replace(StoredUsage(revision, step.record), now)

    def on_conflict(self, stored: StoredUsage | None, now: float) -> None:
        """Record that the record had another revision than expected.

        :param stored: the record that the store has; ``None`` if it did not say.
        """
        self._reached()
        if stored is None:
            self.must_read = True
            self._pause(now)
            return
        self._replace(stored, now)

    def on_store_failure(self, began_at: float, now: float) -> None:
        """Record that a call to the store has failed, or that its outcome is unknown.

        :param began_at: time before the call.
        """
        self.must_read = True
        self.failing_since = min(self.failing_since, began_at)
        self.failed_at = now
        self._pause(now)

    def _is_last_write(self, record: UsageRecord) -> bool:
        return self._is_own(record) and record.sequence == self.sequence

    def _reached(self) -> None:
        self.is_write_open = False
        self.store_failures = 0
        self.failing_since = float("inf")

    def _pause(self, now: float) -> None:
        pause_s = min(STORE_PAUSE_MAX_S, STORE_PAUSE_S * 2.0**self.store_failures)
        self.store_failures += 1
        self.next_store_at = now + pause_s * self.rng.uniform(0.5, 1.0)

    def on_sent(self, step: SendReport, outcome: SendOutcome, now: float) -> None:
        """Record how a call to the platform has ended."""
        window = step.report.window
        if outcome is SendOutcome.ACCEPTED:
            self.call_failures = 0
            self.confirmed.add(window)
            self.next_call_at = now + 1.0 / self.rules.calls_per_s
            return
        if outcome in (SendOutcome.REFUSED, SendOutcome.UNANSWERED):
            self.tried.add(window)
        pause_s = min(CALL_PAUSE_MAX_S, CALL_PAUSE_S * 2.0**self.call_failures)
        pause_s = max(pause_s, 2.0 / self.rules.calls_per_s)
        self.call_failures += 1
        self.next_call_at = now + pause_s * self.rng.uniform(0.5, 1.0)

    def _count_left_out(self, before: UsageRecord, after: UsageRecord) -> None:
        kept = {report.window for report in after.reports}
        for report in before.reports:
            if report.window not in kept and report.window not in self.confirmed:
                self.left_out[report.window] = "not accepted in time"
        for window in range(before.finalized_through + 1, after.finalized_through + 1):
            if window not in kept:
                self.left_out[window] = "not finalized in time"

    def forget(self) -> None:
        """Forget windows that the record does not hold any more."""
        kept = set() if self.stored is None else {one.window for one in self.stored.record.reports}
        self.confirmed &= kept
        self.tried &= kept
        self.finalized = {one: how for one, how in self.finalized.items() if one in kept}
        self.left_out.clear()

    def _is_own(self, record: UsageRecord) -> bool:
        own = (self.holder, self.address, self.incarnation)
        return (record.holder, record.address, record.incarnation) == own

    def _replace(self, stored: StoredUsage | None, now: float) -> None:
        self.stored = stored
        self.valid_until = float("-inf")
        if stored is None:
            self.missing_since = min(self.missing_since, now)
            return
        self.missing_since = float("inf")
        if stored.revision != self.observed_revision:
            self.observed_revision = stored.revision
            self.observed_at = now
        record = stored.record
        self.highest_token = max(self.highest_token, record.token)
        # An earlier write of this host may have taken effect late. It permits nothing, since it
        # is not known when it was sent.
        if self._is_last_write(record):
            self.valid_until = self.sent_at + self.rules.lease_s

    def _is_useful(self, window: int, time_s: float) -> bool:
        return time_s < self.rules.end_of(window) + self.rules.useful_s

    def _unconfirmed(self, record: UsageRecord, time_s: float) -> tuple[WindowReport, ...]:
        return tuple(
            report
            for report in record.reports
            if report.window not in self.confirmed and self._is_useful(report.window, time_s)
        )

    def _next_send(self, time_s: float, now: float) -> SendReport | None:
        stored = self.stored
        if stored is None or now < self.next_call_at:
            return None
        if not self.may_send(now + CALL_TIME_MIN_S):
            return None
        reports = self._unconfirmed(stored.record, time_s)
        if not reports:
            return None
        return SendReport(reports[0], self.holder, stored.record.token, self.valid_until)

    def _must_renew(self, time_s: float, now: float) -> bool:
        if self.stored is None or now < self.next_call_at:
            return False
        # While the platform does not answer, one write for every two leases is enough.
        leases = 2.0 if self.call_failures else 1.0
        is_due = now >= self.sent_at + leases * self.rules.lease_s - CALL_TIME_MIN_S
        return is_due and bool(self._unconfirmed(self.stored.record, time_s))

    def _may_create(self, now: float) -> bool:
        # If someone has deleted the record, its holder may still send under its lease.
        if not self.highest_token:
            return True
        return now - self.missing_since > self.rules.takeover_after_s

    def _may_take_over(self, record: UsageRecord, now: float) -> bool:
        is_same_host = (record.holder, record.address) == (self.holder, self.address)
        # An earlier process of this host needs no time in which the duty may not return to it.
        wait_s = (
            self.rules.lease_s + self.rules.margin_s
            if is_same_host
            else self.rules.takeover_after_s
        )
        return now - self.observed_at > wait_s

    def _ready_windows(
        self,
        record: UsageRecord,
        gathering: UsageGathering,
        live: t.Collection[str],
        time: FleetTime,
        now: float,
    ) -> list[int]:
        ready = []
        window = self._first_window(record, time.at(now))
        while self._is_ready(window, gathering, live, time, now):
            ready.append(window)
            window += 1
        return ready

    def _first_window(self, record: UsageRecord, time_s: float) -> int:
        oldest_useful = self.rules.window_of(time_s - self.rules.useful_s)
        return max(record.finalized_through + 1, oldest_useful)

    def _is_ready(
        self,
        window: int,
        gathering: UsageGathering,
        live: t.Collection[str],
        time: FleetTime,
        now: float,
    ) -> bool:
        age_s = time.at(now) - self.rules.end_of(window)
        if age_s < 0.0:
            return False
        if age_s >= self.rules.silent_after_s:
            return True
        unsettled = gathering.unsettled(window, live, time, now)
        if unsettled.silent:
            return False
        return not unsettled.late or age_s >= self.rules.finalize_after_s

    def _write_next(
        self,
        stored: StoredUsage,
        ready: list[int],
        gathering: UsageGathering,
        time: FleetTime,
        now: float,
    ) -> WriteRecord:
        record = stored.record
        time_s = time.at(now)
        added = tuple(
            WindowReport(window, encode_report(window, gathering.totals(window)))
            for window in ready
        )
        for report in added:
            unsettled = gathering.unsettled(report.window, (), time, now)
            self.finalized[report.window] = Finalized(
                total=sum(gathering.totals(report.window).values()),
                heard=gathering.heard(now),
                missing=len(unsettled.late) + len(unsettled.silent),
            )
        through = max(record.finalized_through, *ready) if ready else record.finalized_through
        token = record.token if self._is_own(record) else record.token + 1
        reports = self._unconfirmed(record, time_s) + added
        return self._write(stored.revision, token, through, reports, now)

    def _write(
        self,
        revision: int,
        token: int,
        finalized_through: int,
        reports: tuple[WindowReport, ...],
        now: float,
    ) -> WriteRecord:
        self.sequence += 1
        self.is_write_open = True
        self.sent_at = now
        record = UsageRecord(
            holder=self.holder,
            address=self.address,
            incarnation=self.incarnation,
            token=token,
            sequence=self.sequence,
            finalized_through=finalized_through,
            reports=reports,
        )
        return WriteRecord(record, revision)


def encode_report(window: int, counts: t.Mapping[str, int]) -> str:
    """Return the text of a report, which is the same for the same counts."""
    return json.dumps(
        {"windowIndex": window, "counts": dict(sorted(counts.items()))}, separators=(",", ":")
    )
