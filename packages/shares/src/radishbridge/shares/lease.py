"""One holder's lease on its units of the share table, and its decisions about the table."""

from __future__ import annotations

import collections
import typing as t

import msgspec

from radishbridge.shares.table import MAX_HOLDERS, TOTAL_UNITS, Holder, HolderKey, ShareTable

HALF_UNITS = TOTAL_UNITS // 2
OBSERVATIONS_KEPT = 16


class ShareTimes(msgspec.Struct, kw_only=True, frozen=True):
    """Times of the lease protocol in seconds.

    :param renew_s: pause between two renewals.
    :param lease_s: validity of units after a renewal was sent.
    :param margin_s: bound on the drift between two monotonic clocks over a lease.
    :param fresh_s: a holder that renewed twice within it counts as reaching the store.
    :param promise_s: longest promise of a holder not to renew.
    :param abandon_s: silence after which units are reclaimed whoever else is silent.
    """

    renew_s: float = 1.0
    lease_s: float = 8.0
    margin_s: float = 1.0
    fresh_s: float = 4.0
    promise_s: float = 2.0
    abandon_s: float = 900.0


class _Sighting(t.NamedTuple):
    """A read of the table that showed an entry: when it was sent, and the entry's renewals."""

    sent_at: float
    renewals: int


class Observation:
    """What this process saw of another holder's entry.

    :param seen_at: when the present value of ``renewals`` was first received.
    :param silent_since: when the entry first counted as lapsed with enough others renewing.
    """

    __slots__ = ("renewals", "seen_at", "sightings", "silent_since")

    def __init__(self) -> None:
        self.renewals = -1
        self.seen_at = 0.0
        self.silent_since: float | None = None
        self.sightings: collections.deque[_Sighting] = collections.deque(maxlen=OBSERVATIONS_KEPT)

    def add(self, renewals: int, sent_at: float, answered_at: float) -> None:
        """Note what a read showed."""
        if renewals != self.renewals:
            self.renewals = renewals
            self.seen_at = answered_at
            self.silent_since = None
        self.sightings.append(_Sighting(sent_at, renewals))

    def renewed_since(self, time: float) -> bool:
        """Tell whether the newest renewal was surely sent after ``time``.

        A holder sends a renewal only once it knows that the one before took effect. So two
        more renewals than a read showed prove that the second was sent after that read.
        """
        return any(
            seen.sent_at >= time and seen.renewals <= self.renewals - 2 for seen in self.sightings
        )


class Promise:
    """A holder's promise not to renew before a time on the clock of who keeps this object."""

    __slots__ = ("units", "until")

    def __init__(self, units: int, until: float) -> None:
        self.units = units
        self.until = until


class ShareLease:
    """The units one process may use, and until when.

    :param key: this process.
    :param times: times of the protocol.
    """

    __slots__ = (
        "_attempt_at",
        "_renewals",
        "key",
        "last_put_at",
        "listeners",
        "observations",
        "promised_until",
        "promises",
        "renewed_at",
        "store_answers",
        "table",
        "target",
        "times",
        "units",
        "valid_until",
    )

    def __init__(self, key: HolderKey, times: ShareTimes) -> None:
        self.key = key
        self.times = times
        self.units = 0
        self.target = TOTAL_UNITS
        self.valid_until = float("-inf")
        self.renewed_at = float("-inf")
        self.last_put_at = float("-inf")
        self.promised_until = float("-inf")
        self.table = ShareTable()
        self.observations: dict[HolderKey, Observation] = {}
        self.promises: dict[HolderKey, Promise] = {}
        self.listeners: list[t.Callable[[float], None]] = []
        self.store_answers = False
        self._renewals = 0
        self._attempt_at = float("-inf")

    def usable(self, now: float) -> int:
        """Return the units that may be used at ``now``."""
        return self.units if now < self.valid_until else 0

    def observe(self, table: ShareTable, sent_at: float, answered_at: float) -> None:
        """Take in a table read from the store.

        :param sent_at: monotonic time before the read was sent.
        :param answered_at: monotonic time after its answer came.
        """
        self.table = table
        self.store_answers = True
        for holder in table.holders:
            seen = self.observations.setdefault(holder.key, Observation())
            seen.add(holder.renewals, sent_at, answered_at)
        listed = {holder.key for holder in table.holders}
        self.observations = {k: v for k, v in self.observations.items() if k in listed}
        own = table.find(self.key)
        if own is None or own.units < self.units:
            self._use(0 if own is None else own.units, answered_at)
        self._mark_silent(sent_at, answered_at)

    def plan(self, now: float, floor_units: int = 0) -> ShareTable | None:
        """Decide the table's next form and give up units that it takes from this process.

        :param now: monotonic time just before the write is sent.
        :param floor_units: units lent out, which must not be given up yet.
        :return: the table to write, ``None`` where this process need not be in it.
        """
        table = self.table.without(self.lapsed(now))
        own = table.find(self.key)
        if own is None and len(table.holders) >= MAX_HOLDERS:
            return None
        held = 0 if own is None else own.units
        self.target = TOTAL_UNITS // (len(table.holders) + (own is None))
        units = max(min(self.target, held + table.free_units()), min(held, floor_units))
        if units < self.units:
            self._use(units, now)
        self._note_attempt(self._renewals + 1 if own is None else own.renewals + 1, now)
        name, incarnation = self.key.name, self.key.incarnation
        return table.replaced(
            Holder(name=name, incarnation=incarnation, renewals=self._renewals, units=units)
        )

    def plan_leave(self, now: float) -> ShareTable:
        """Give up all units and return the table without this process."""
        self._use(0, now)
        self.valid_until = float("-inf")
        self.last_put_at = now
        left = self.table.without({self.key})
        return ShareTable(epoch=left.epoch + 1, holders=left.holders)

    def confirm(self, table: ShareTable, now: float) -> None:
        """Note that the planned write took effect, as its answer or a later read shows.

        The lease counts from before the first write that could have had this effect was sent.

        :param table: the table that holds the renewal.
        """
        own = table.find(self.key)
        if own is None or own.renewals != self._renewals:
            return
        self.table = table
        self.renewed_at = max(self.renewed_at, self._attempt_at)
        self.valid_until = max(self.valid_until, self._attempt_at + self.times.lease_s)
        if own.units != self.units:
            self._use(own.units, now)

    def miss(self) -> None:
        """Note that the store did not answer."""
        self.store_answers = False

    def lapsed(self, now: float) -> set[HolderKey]:
        """Return the holders whose units may be reclaimed."""
        wait_s = self.times.promise_s + self.times.margin_s
        abandon_s = self.times.abandon_s + wait_s
        return {
            key
            for key, seen in self.observations.items()
            if key != self.key
            and (
                (seen.silent_since is not None and now - seen.silent_since >= wait_s)
                or now - seen.seen_at >= abandon_s
            )
        }

    def promise(self, now: float) -> Promise | None:
        """Promise not to renew for a while, where the store has not answered for long enough."""
        quiet_s = self.times.fresh_s + self.times.margin_s / 2
        own = self.table.find(self.key)
        if own is None or self.store_answers or now >= self.valid_until:
            return None
        if now - self.last_put_at <= quiet_s:
            return None
        self.promised_until = max(self.promised_until, now + self.times.promise_s)
        return Promise(min(own.units, self.units), now + self.times.promise_s)

    def accept_promise(
        self, key: HolderKey, units: int, valid_s: float, requested_at: float, now: float
    ) -> None:
        """Take another holder's promise in and extend the lease by what they cover together.

        Only a lease that has not lapsed can be extended, so that whoever saw it lapsed may rely
        on that.

        :param valid_s: length of the promise in seconds, counted from ``requested_at``.
        """
        entry = self.table.find(key)
        if entry is None or now >= self.valid_until:
            return
        bounded_s = min(valid_s, self.times.promise_s)
        self.promises[key] = Promise(min(units, entry.units), requested_at + bounded_s)
        last = self.renewed_at + self.times.abandon_s
        self.valid_until = max(self.valid_until, min(self._promised_end(), last))

    def _promised_end(self) -> float:
        covered = self.units
        ends = sorted(self.promises.values(), key=lambda promise: promise.until, reverse=True)
        for promise in ends:
            covered += promise.units
            if covered > HALF_UNITS:
                return promise.until
        return float("-inf")

    def _mark_silent(self, sent_at: float, answered_at: float) -> None:
        majority = self._renewing_units(answered_at) >= HALF_UNITS
        for seen in self.observations.values():
            unchanged_s = sent_at - seen.seen_at
            if not majority or unchanged_s < self.times.lease_s + self.times.margin_s:
                seen.silent_since = None
            elif seen.silent_since is None:
                seen.silent_since = answered_at

    def _renewing_units(self, now: float) -> int:
        since = now - self.times.fresh_s
        return sum(
            holder.units
            for holder in self.table.holders
            if self.observations[holder.key].renewed_since(since)
        )

    def _note_attempt(self, renewals: int, now: float) -> None:
        # A second attempt at the same renewal may find the effect of the first.
        if renewals != self._renewals:
            self._renewals = renewals
            self._attempt_at = now
        self.last_put_at = now

    def _use(self, units: int, now: float) -> None:
        self.units = units
        for listener in self.listeners:
            listener(now)
