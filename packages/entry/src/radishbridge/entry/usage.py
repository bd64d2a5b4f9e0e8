"""Usage reports: counts in the messages between hosts, and the duty of sending them."""

from __future__ import annotations

import asyncio
import logging
import time
import typing as t

from radishbridge.entry import uptime
from radishbridge.entry.fleet import Fleet
from radishbridge.entry.usage_metrics import UsageMetrics
from radishbridge.records import Failure, ResultCode
from radishbridge.steering.usage import (
    ReadRecord,
    SendOutcome,
    SendReport,
    StoredUsage,
    UsageDuty,
    UsageRecord,
    WriteRecord,
)
from radishbridge.steering.usage_counts import (
    FleetTime,
    UsageCounter,
    UsageGathering,
    UsageHolding,
    UsageNews,
    UsageReport,
)
from radishbridge.steering.usage_rules import UsageRules

# Pause in seconds between two decisions when there is nothing to do.
POLL_INTERVAL_S = 0.1

logger = logging.getLogger(__name__)


class Conflict(t.NamedTuple):
    """A write whose condition failed.

    :param stored: the record that the store has; ``None`` if its answer does not show it.
    """

    stored: StoredUsage | None


class UsagePlatform(t.Protocol):
    """The platform's store and its endpoint for usage reports."""

    async def read(self) -> StoredUsage | Failure | None:
        """Read the record; ``None`` if there is none."""

    async def write(self, record: UsageRecord, revision: int) -> int | Conflict | Failure:
        """Write the record if it has a revision, and return the new one.

        :param revision: 0 to create the record.
        """

    async def send(self, step: SendReport, may_send: t.Callable[[], bool]) -> SendOutcome:
        """Send a report; the call ends when its permission does.

        :param may_send: called immediately before the bytes are sent.
        """


class UsageExchange:
    """This host's counts, those that it receives, and what it tells the others.

    :param name: this host's peer address.
    :param rules: what operators set for the duty.
    :param incarnation: differs for each start of this host.
    :param duty: this host's part in the duty.
    :param dropped_through: newest window whose counts of all hosts were dropped.
    :param unable: hosts that do not reach the record, by the last summary.
    """

    __slots__ = (
        "counter",
        "dropped_through",
        "duty",
        "gathering",
        "incarnation",
        "name",
        "rules",
        "sequence",
        "time",
        "unable",
        "wall_clock",
    )

    def __init__(
        self,
        name: str,
        rules: UsageRules,
        duty: UsageDuty,
        now: float,
        wall_clock: t.Callable[[], float] = time.time,
    ) -> None:
        self.name = name
        self.rules = rules
        self.duty = duty
        self.incarnation = duty.incarnation
        self.wall_clock = wall_clock
        self.sequence = 0
        self.dropped_through = 0
        self.unable: t.Collection[str] = ()
        self.time = FleetTime(wall_clock() - now)
        self.counter = UsageCounter(rules.window_s, rules.useful_s, self.time)
        self.gathering = UsageGathering(rules.window_s)

    @property
    def holding(self) -> UsageHolding | None:
        """What the holder of the duty has last told; ``None`` if there is none."""
        return self.gathering.holding

    def build_report(self, now: float) -> UsageReport:
        """Return this host's counts for the aggregators."""
        self.sequence += 1
        self.time.own_offset_s = self.wall_clock() - now
        holding = self.gathering.holding
        self.counter.settle(0 if holding is None else holding.finalized_through, now)
        return UsageReport(
            incarnation=self.incarnation,
            sequence=self.sequence,
            time_s=now + self.time.own_offset_s,
            settled_through=self.counter.settled_through(now),
            counts=self.counter.snapshot(now),
            holding=self.duty.holding,
            reaches_record=self.duty.reaches_store(now),
        )

    def record_report(self, name: str, report: UsageReport, is_leaving: bool, now: float) -> None:
        """Record the counts of a host, this one included."""
        self.gathering.record(name, report, is_leaving, now)
        self._observe(now)

    def build_news(self, now: float) -> UsageNews:
        """Return what this host tells all others as an aggregator."""
        offset_s = self.gathering.time_offset(now)
        return UsageNews(
            time_s=now + (self.time.own_offset_s if offset_s is None else offset_s),
            holding=self.gathering.holding,
            unable=self.gathering.unable(now),
        )

    def apply_news(self, news: UsageNews, now: float) -> None:
        """Apply what an aggregator tells."""
        self.time.fleet_offset_s = news.time_s - now
        self.unable = frozenset(news.unable)
        self.gathering.hold(news.holding)
        self._observe(now)

    def _observe(self, now: float) -> None:
        holding = self.gathering.holding
        if holding is not None:
            self.duty.observe(holding.revision, holding.token, now)
        rules = self.rules
        useful_from = rules.window_of(self.time.at(now) - rules.useful_s)
        finalized_through = 0 if holding is None else holding.finalized_through
        # Once a window, since it goes through all hosts.
        if max(useful_from - 1, finalized_through) > self.dropped_through:
            self.dropped_through = max(useful_from - 1, finalized_through)
            self.gathering.drop(self.dropped_through, now, rules.useful_s)


class UsageReporter:
    """Performs the duty's steps while this host is the candidate for it.

    :param platform: the store and the endpoint.
    :param metrics: counts the outcomes.
    """

    __slots__ = ("clock", "exchange", "fleet", "metrics", "platform")

    def __init__(
        self,
        exchange: UsageExchange,
        fleet: Fleet,
        platform: UsagePlatform,
        metrics: UsageMetrics,
        clock: t.Callable[[], float] = uptime.now,
    ) -> None:
        self.exchange = exchange
        self.fleet = fleet
        self.platform = platform
        self.metrics = metrics
        self.clock = clock

    async def run(self) -> None:
        """Perform the duty until cancelled."""
        while True:
            if not await self.step():
                await asyncio.sleep(POLL_INTERVAL_S)

    async def step(self) -> bool:
        """Perform the next step; return whether there was one."""
        exchange = self.exchange
        now = self.clock()
        is_candidate = self.fleet.usage_candidate(now) == exchange.name
        if not is_candidate and not exchange.duty.may_send(now):
            return False
        live = list(self.fleet.live_hosts(now))
        step = exchange.duty.decide(is_candidate, exchange.gathering, live, exchange.time, now)
        if isinstance(step, ReadRecord):
            await self._read()
        elif isinstance(step, WriteRecord):
            await self._write(step)
        elif isinstance(step, SendReport):
            await self._send(step)
        return step is not None

    async def _read(self) -> None:
        began_at = self.clock()
        result = await self.platform.read()
        duty = self.exchange.duty
        if isinstance(result, Failure):
            self._log_store_failure("read", result)
            duty.on_store_failure(began_at, self.clock())
        else:
            duty.on_read(result, self.clock())

    async def _write(self, step: WriteRecord) -> None:
        result = await self.platform.write(step.record, step.revision)
        duty = self.exchange.duty
        now = self.clock()
        if isinstance(result, Failure):
            self._log_store_failure("write", result)
            duty.on_store_failure(duty.sent_at, now)
        elif isinstance(result, Conflict):
            logger.info("usage record changed by another host", extra={"token": step.record.token})
            duty.on_conflict(result.stored, now)
        else:
            previous = None if duty.stored is None else duty.stored.record
            duty.on_written(step, result, now)
            if previous is None or previous.token != step.record.token:
                logger.info(
                    "usage duty taken over",
                    extra={
                        "holder": step.record.holder,
                        "token": step.record.token,
                        "before": "" if previous is None else previous.holder,
                        "finalized_through": step.record.finalized_through,
                        "unconfirmed": [report.window for report in step.record.reports],
                    },
                )
            for window, reason in duty.left_out.items():
                self._log_window(window, step.record.token, f"left out: {reason}")
                self.metrics.left_out(reason)
            duty.forget()

    async def _send(self, step: SendReport) -> None:
        duty = self.exchange.duty
        window = step.report.window
        outcome = await self.platform.send(step, lambda: duty.may_send(self.clock()))
        now = self.clock()
        is_repeat = window in duty.tried or window not in duty.finalized
        duty.on_sent(step, outcome, now)
        if outcome is not SendOutcome.ACCEPTED:
            logger.info(
                "usage report not confirmed",
                extra={"window": window, "token": step.token, "outcome": outcome.value},
            )
            self.metrics.failed(outcome.value)
            return
        late_s = self.exchange.time.at(now) - self.exchange.rules.end_of(window)
        self.metrics.reported(late_s, is_repeat, late_s > self.exchange.rules.delay_s)
        self._log_window(window, step.token, "repeated" if is_repeat else "reported", late_s)

    def _log_store_failure(self, call: str, failure: Failure) -> None:
        unclear = failure.code is ResultCode.WRITE_UNCLEAR
        logger.info(
            "usage record call failed",
            extra={"call": call, "reason": failure.reason, "unclear": unclear},
        )

    def _log_window(self, window: int, token: int, outcome: str, after_s: float = 0.0) -> None:
        how = self.exchange.duty.finalized.get(window)
        logger.info(
            "usage window",
            extra={
                "window": window,
                "total": None if how is None else how.total,
                "heard": None if how is None else how.heard,
                "missing": None if how is None else how.missing,
                "holder": self.exchange.duty.holder,
                "token": token,
                "outcome": outcome,
                "after_s": round(after_s, 2),
            },
        )
