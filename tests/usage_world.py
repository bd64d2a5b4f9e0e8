"""Hosts that report usage, in virtual time and without I/O, under faults drawn from a seed."""

from __future__ import annotations

import collections
import heapq
import itertools
import math
import random
import typing as t

from soak.usage import Call, find_violations

from radishbridge.steering.usage import (
    ReadRecord,
    SendOutcome,
    SendReport,
    StoredUsage,
    UsageDuty,
    UsageRecord,
    WriteRecord,
)
from radishbridge.steering.usage_counts import FleetTime, UsageGathering, UsageReport
from radishbridge.steering.usage_rules import UsageRules

RULES = UsageRules()
TICK_S = 0.1
REPORT_INTERVAL_S = 0.5
SUMMARY_MAX_AGE_S = 1.2
STORE_TIMEOUT_S = 1.0
# Fraction of the steps of the duty during which the host is killed or suspended.
STRIKE_RATE = 0.08
# The rates of the hosts' monotonic clocks differ by 2 %, far more than those of real clocks.
RATES = (0.99, 1.01, 1.0, 0.995, 1.005)
WORKSPACES = {"large": 40.0, "small": 2.0}
DAY_START_S = 1_700_000_000.0


class Host:
    """One host: its part in the duty, its counts, and what it has heard of the others."""

    def __init__(self, world: World, number: int) -> None:
        self.world = world
        self.number = number
        self.name = f"host-{number}"
        self.incarnation = 0
        self.is_running = False
        self.resumes_at = 0.0
        self.is_cut_from_store = False
        self.is_cut_from_platform = False
        self.side = 0
        self.start()

    def start(self) -> None:
        self.incarnation += 1
        self.is_running = True
        self.is_busy = False
        self.sequence = 0
        self.counts: dict[int, dict[str, int]] = {}
        self.heard_at: dict[str, float] = {}
        self.duty = self.world.duty_type(
            RULES, self.name, self.name, self.incarnation, self.world.rng
        )
        self.gathering = UsageGathering(RULES.window_s)
        self.time = FleetTime(self.world.now + DAY_START_S - self.clock())

    def clock(self) -> float:
        return self.world.now * RATES[self.number] + 1000.0 * self.number

    @property
    def is_acting(self) -> bool:
        return self.is_running and self.world.now >= self.resumes_at

    def count(self) -> None:
        window = math.floor(self.world.time_s / RULES.window_s)
        for workspace, rate in WORKSPACES.items():
            if self.world.rng.random() < rate * TICK_S / len(RATES):
                counts = self.counts.setdefault(window, collections.Counter())
                counts[workspace] += 1
                self.world.truth.setdefault(window, collections.Counter())[workspace] += 1

    def report(self) -> UsageReport:
        self.sequence += 1
        self.time.own_offset_s = self.world.time_s - self.clock()
        settled_through = math.floor((self.world.time_s - 0.1) / RULES.window_s) - 1
        return UsageReport(
            incarnation=self.incarnation,
            sequence=self.sequence,
            time_s=self.world.time_s,
            settled_through=settled_through,
            counts={window: dict(counts) for window, counts in self.counts.items()},
            holding=self.duty.holding,
        )

    def hear(self, sender: str, report: UsageReport) -> None:
        self.heard_at[sender] = self.world.now
        self.gathering.record(sender, report, False, self.clock())
        if self.gathering.holding is not None:
            holding = self.gathering.holding
            self.duty.observe(holding.revision, holding.token, self.clock())
            self.gathering.drop(holding.finalized_through, self.clock(), RULES.useful_s)

    def live(self) -> list[str]:
        recent = self.world.now - SUMMARY_MAX_AGE_S
        return [name for name, heard_at in self.heard_at.items() if heard_at >= recent]

    def is_candidate(self) -> bool:
        if self.world.rng.random() < self.world.confusion:
            return self.world.rng.random() < 0.5
        able = [
            host.name
            for host in self.world.hosts
            if host.name in self.live() and host.duty.reaches_store(host.clock())
        ]
        first = sorted(able)[:2]
        holding = self.gathering.holding
        if holding is not None and holding.address in first:
            return holding.address == self.name
        return first[:1] == [self.name]

    def tick(self) -> None:
        if self.is_busy or not self.is_acting:
            return
        step = self.duty.decide(
            self.is_candidate(), self.gathering, self.live(), self.time, self.clock()
        )
        if step is not None:
            self.is_busy = True
            self.world.perform(self, step)


class World:
    """Hosts, a store and the platform's endpoint.

    :param faults: whether faults happen.
    :param confusion: fraction of the decisions in which a host is mistaken about the candidate.
    """

    def __init__(
        self, seed: int, faults: bool = True, duty_type: type[UsageDuty] = UsageDuty
    ) -> None:
        self.rng = random.Random(seed)
        self.faults = faults
        self.duty_type = duty_type
        self.confusion = self.rng.choice([0.0, 0.0, 0.02]) if faults else 0.0
        self.now = self.rng.uniform(0.0, RULES.window_s)
        self.events: list[tuple[float, int, t.Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.revision = 10
        self.stored: StoredUsage | None = None
        self.store_fails_until = 0.0
        self.platform_fails_until = 0.0
        self.truth: dict[int, t.Counter[str]] = {}
        self.calls: list[Call] = []
        self.writes = 0
        self.hosts: list[Host] = []
        self.hosts = [Host(self, number) for number in range(len(RATES))]

    @property
    def time_s(self) -> float:
        return self.now + DAY_START_S

    def later(self, delay_s: float, event: t.Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay_s, next(self.numbers), event))

    def later_on(self, host: Host, delay_s: float, event: t.Callable[[], None]) -> None:
        """Run an event on a host, once it is not suspended, unless it has ended meanwhile."""
        incarnation = host.incarnation

        def run() -> None:
            if not host.is_running or host.incarnation != incarnation:
                return
            if self.now < host.resumes_at:
                self.later(host.resumes_at - self.now, run)
                return
            event()

        self.later(delay_s, run)

    def run(self, seconds: float) -> World:
        end = self.now + seconds
        self.later(0.0, self._tick)
        self.later(0.0, self._report)
        if self.faults:
            self.later(self.rng.uniform(1.0, 8.0), self._disturb)
        while self.events[0][0] <= end:
            self.now, _, event = heapq.heappop(self.events)
            event()
        return self

    def _tick(self) -> None:
        for host in self.hosts:
            if host.is_acting:
                host.count()
            host.tick()
        self.later(TICK_S, self._tick)

    def _report(self) -> None:
        for host in self.hosts:
            if not host.is_acting:
                continue
            report = host.report()
            for other in self.hosts:
                is_lost = self.faults and self.rng.random() < 0.05
                if other.side == host.side and (other is host or not is_lost):
                    delay_s = self.rng.uniform(0.0, 0.05)
                    self.later_on(
                        other, delay_s, lambda o=other, h=host, r=report: o.hear(h.name, r)
                    )
        self.later(REPORT_INTERVAL_S, self._report)

    def perform(self, host: Host, step: t.Any) -> None:
        if self.faults and self.rng.random() < STRIKE_RATE:
            self.later(self.rng.uniform(0.0, 0.35), lambda: self._strike(host))
        if isinstance(step, SendReport):
            self._send(host, step)
        else:
            self._call_store(host, step)

    def _call_store(self, host: Host, step: ReadRecord | WriteRecord) -> None:
        began_at = host.clock()
        is_pending = [True]

        def end(record: t.Callable[[], None]) -> None:
            if is_pending[0]:
                is_pending[0] = False
                host.is_busy = False
                record()

        def fail() -> None:
            end(lambda: host.duty.on_store_failure(began_at, host.clock()))

        def execute() -> None:
            if host.is_cut_from_store and self.rng.random() < 0.5:
                return
            result = self._execute(step)
            is_lost = host.is_cut_from_store or (self.faults and self.rng.random() < 0.05)
            if not is_lost:
                delay_s = self.rng.uniform(0.001, 0.02)
                self.later_on(host, delay_s, lambda: end(lambda: self._finish(host, step, result)))

        self.later_on(host, STORE_TIMEOUT_S, fail)
        if self.now < self.store_fails_until:
            return
        delay_s = self.rng.uniform(0.001, 0.02)
        if self.faults and self.rng.random() < 0.1:
            delay_s = self.rng.uniform(0.1, 8.0)
        self.later(delay_s, execute)

    def _execute(self, step: ReadRecord | WriteRecord) -> tuple[bool, StoredUsage | None]:
        if isinstance(step, ReadRecord):
            return True, self.stored
        self.writes += 1
        current = 0 if self.stored is None else self.stored.revision
        if step.revision != current:
            return False, self.stored
        self.revision += 1
        self.stored = StoredUsage(self.revision, step.record)
        return True, self.stored

    def _finish(self, host: Host, step: t.Any, result: tuple[bool, StoredUsage | None]) -> None:
        succeeded, stored = result
        if isinstance(step, ReadRecord):
            host.duty.on_read(stored, host.clock())
        elif succeeded:
            assert stored is not None
            host.duty.on_written(step, stored.revision, host.clock())
            host.duty.forget()
        else:
            host.duty.on_conflict(stored, host.clock())

    def _send(self, host: Host, step: SendReport) -> None:
        is_pending = [True]

        def end(outcome: SendOutcome) -> None:
            if is_pending[0]:
                is_pending[0] = False
                host.is_busy = False
                host.duty.on_sent(step, outcome, host.clock())

        def write() -> None:
            if not host.duty.may_send(host.clock()):
                end(SendOutcome.EXPIRED)
            elif not host.is_cut_from_platform:
                self.later(self.rng.uniform(0.001, 0.02), arrive)

        def arrive() -> None:
            fails = self.now < self.platform_fails_until
            accepted = not fails or self.rng.random() < 0.3
            self.calls.append(
                Call(
                    holder=host.name,
                    peer=str(host.incarnation),
                    token=step.token,
                    window=step.report.window,
                    counts=step.report.body,
                    at=self.now,
                    time_s=self.time_s,
                    accepted=accepted,
                )
            )
            if not fails:
                self.later_on(host, 0.01, lambda: end(SendOutcome.ACCEPTED))

        timeout_s = max(0.0, step.until - host.clock())
        self.later_on(host, timeout_s, lambda: end(SendOutcome.UNANSWERED))
        self.later_on(host, self.rng.choice([0.001, 0.001, 0.3]), write)

    def _disturb(self) -> None:
        host = self.rng.choice(self.hosts)
        # Half of the faults strike whoever acts, at any point of its steps.
        holder = None if self.stored is None else self.stored.record.holder
        if self.rng.random() < 0.5:
            host = next((one for one in self.hosts if one.name == holder), host)
        seconds = self.rng.choice([0.5, 2.0, 4.0, 8.0, 15.0]) * self.rng.uniform(0.5, 1.5)
        kind = self.rng.randrange(9)
        if kind == 0:
            self._kill(host)
        elif kind == 1:
            for one in self.hosts:
                if self.rng.random() < 0.5:
                    self._kill(one)
        elif kind == 2:
            for one in self.hosts:
                self._kill(one)
        elif kind == 3:
            host.resumes_at = self.now + seconds
        elif kind == 4:
            self._cut(host, "is_cut_from_store", seconds)
        elif kind == 5:
            self._cut(host, "is_cut_from_platform", seconds)
        elif kind == 6:
            for one in self.hosts:
                one.side = self.rng.randrange(2)
            self.later(seconds, self._join)
        elif kind == 7:
            # The holder is isolated while the platform accepts nothing, so that it goes on trying.
            self.platform_fails_until = self.now + seconds
            host.side = 1
            self._cut(host, "is_cut_from_store", seconds)
            self.later(seconds, self._join)
        elif self.rng.random() < 0.5:
            self.store_fails_until = self.now + seconds
        else:
            self.platform_fails_until = self.now + seconds
        self.later(self.rng.expovariate(1.0 / 4.0), self._disturb)

    def _strike(self, host: Host) -> None:
        if self.rng.random() < 0.5:
            self._kill(host)
        else:
            host.resumes_at = self.now + self.rng.uniform(1.0, 12.0)

    def _kill(self, host: Host) -> None:
        if not host.is_running:
            return
        host.is_running = False
        self.later(self.rng.choice([1.5, 1.5, 6.0]), host.start)

    def _cut(self, host: Host, name: str, seconds: float) -> None:
        setattr(host, name, True)
        self.later(seconds, lambda: setattr(host, name, False))

    def _join(self) -> None:
        for host in self.hosts:
            host.side = 0

    def violations(self) -> list[str]:
        return find_violations(self.calls)

    def reported_windows(self) -> list[int]:
        return [call.window for call in self.calls if call.accepted]


class NoWait(UsageDuty):
    """Faulty: takes over as soon as it is the candidate."""

    __slots__ = ()

    def _may_take_over(self, record: UsageRecord, now: float) -> bool:
        return True


class CheckedBefore(UsageDuty):
    """Faulty: checks its permission when it decides, but not when it sends."""

    __slots__ = ("is_deciding",)

    def decide(self, *arguments: t.Any) -> t.Any:
        self.is_deciding = True
        step = super().decide(*arguments)
        self.is_deciding = False
        return step

    def may_send(self, now: float) -> bool:
        return super().may_send(now) if self.is_deciding else True


class LongLease(UsageDuty):
    """Faulty: sends for as long as others wait, instead of stopping before."""

    __slots__ = ()

    def _replace(self, stored: StoredUsage | None, now: float) -> None:
        super()._replace(stored, now)
        if self.valid_until > float("-inf"):
            self.valid_until = self.sent_at + 2.0 * self.rules.takeover_after_s

    def may_send(self, now: float) -> bool:
        return now < self.valid_until


class UnclearIsSuccess(UsageDuty):
    """Faulty: takes a write without a response for one that has succeeded."""

    __slots__ = ("last_step",)

    def _write(self, *arguments: t.Any) -> WriteRecord:
        self.last_step = super()._write(*arguments)
        return self.last_step

    def on_store_failure(self, began_at: float, now: float) -> None:
        if self.must_read or self.sent_at != began_at:
            super().on_store_failure(began_at, now)
        else:
            self.on_written(self.last_step, self.last_step.revision + 1, now)


class CountsAgain(UsageDuty):
    """Faulty: a successor counts the windows again that its predecessor has not reported."""

    __slots__ = ()

    def _ready_windows(self, record: UsageRecord, *arguments: t.Any) -> list[int]:
        ready = super()._ready_windows(record, *arguments)
        again = [] if self._is_own(record) else [report.window for report in record.reports]
        return [*again, *ready]

    def _unconfirmed(self, record: UsageRecord, time_s: float) -> tuple[t.Any, ...]:
        reports = super()._unconfirmed(record, time_s)
        return reports if self._is_own(record) else ()


MUTANTS = (NoWait, CheckedBefore, LongLease, UnclearIsSuccess, CountsAgain)
