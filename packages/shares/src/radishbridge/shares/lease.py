"""This process's lease on units of the share table, and the rules for changing the table."""

from __future__ import annotations

import collections
import typing as t

import msgspec

from radishbridge.shares.table import MAX_HOLDERS, TOTAL_UNITS, Holder, HolderKey, ShareTable

HALF_UNITS = TOTAL_UNITS // 2
MAX_READS_PER_HOLDER = 16


class ShareTimes(msgspec.Struct, kw_only=True, frozen=True):
    """Durations of the lease protocol, in seconds.

    :param renewal_interval_s: pause between two renewals.
    :param lease_s: validity of a lease, counted from when its renewal was sent.
    :param clock_margin_s: maximum drift between two monotonic clocks over a lease.
    :param recent_renewal_s: a holder that renewed twice within it counts as reaching the store.
    :param max_promise_s: maximum length of a promise not to write the table.
    :param abandon_after_s: time without renewal after which a holder's units are reclaimed even if
        too few of the other holders renew; no promise extends a lease beyond it.
    """

    renewal_interval_s: float = 1.0
    lease_s: float = 8.0
    clock_margin_s: float = 1.0
    recent_renewal_s: float = 4.0
    max_promise_s: float = 2.0
    abandon_after_s: float = 900.0


class _EntryRead(t.NamedTuple):
    """An entry as one read of the table showed it.

    :param sent_at: monotonic time just before the read was sent, in seconds.
    :param renewals: the entry's renewal counter.
    """

    sent_at: float
    renewals: int


class HolderObservation:
    """How the entry of a holder changed over the reads of this process.

    ``first_seen_at`` is the time when the current value of ``renewals`` was first read.
    ``silent_since`` is the time of the first read that showed the holder's lease as expired while
    holders of at least half of the units renewed, ``None`` where the holder isn't silent.
    """

    __slots__ = ("first_seen_at", "reads", "renewals", "silent_since")

    def __init__(self) -> None:
        self.renewals = -1
        self.first_seen_at = 0.0
        self.silent_since: float | None = None
        self.reads: collections.deque[_EntryRead] = collections.deque(maxlen=MAX_READS_PER_HOLDER)

    def add(self, renewals: int, sent_at: float, answered_at: float) -> None:
        """Record a read of the entry.

        :param sent_at: monotonic time just before the read was sent.
        :param answered_at: monotonic time just after its answer arrived.
        """
        if renewals != self.renewals:
            self.renewals = renewals
            self.first_seen_at = answered_at
            self.silent_since = None
        self.reads.append(_EntryRead(sent_at, renewals))

    def renewed_since(self, time: float) -> bool:
        """Return whether the newest renewal is known to have been sent after ``time``.

        A holder sends a renewal only after it knows that the previous one took effect. So if the
        counter is two higher than in a read, the second renewal was sent after that read.
        """
        return any(
            read.sent_at >= time and read.renewals <= self.renewals - 2 for read in self.reads
        )


class Promise:
    """A holder's promise not to write the share table for a while.

    :param units: the units that the holder has in the table.
    :param expires_at: end of the promise on this process's monotonic clock, in seconds.
    """

    __slots__ = ("expires_at", "units")

    def __init__(self, units: int, expires_at: float) -> None:
        self.units = units
        self.expires_at = expires_at


class ShareLease:
    """The units that this process may use, and until when.

    A lease lasts ``lease_s`` from its last renewal in the table. While the store is unreachable,
    promises extend it: while this process and holders that promised not to write the table have
    more than half of the units, too few holders renew for anyone to reclaim units.

    :param key: identity of this process.
    :param times: durations of the protocol.
    """

    __slots__ = (
        "_renewal_number",
        "_renewal_sent_at",
        "key",
        "last_write_at",
        "no_writes_until",
        "observations",
        "promises",
        "renewed_at",
        "store_reachable",
        "table",
        "target_units",
        "times",
        "unit_listeners",
        "units",
        "valid_until",
    )

    def __init__(self, key: HolderKey, times: ShareTimes) -> None:
        self.key = key
        self.times = times
        self.units = 0
        self.target_units = TOTAL_UNITS
        self.valid_until = float("-inf")
        self.renewed_at = float("-inf")
        self.last_write_at = float("-inf")
        self.no_writes_until = float("-inf")
        self.table = ShareTable()
        self.observations: dict[HolderKey, HolderObservation] = {}
        self.promises: dict[HolderKey, Promise] = {}
        self.unit_listeners: list[t.Callable[[float], None]] = []
        self.store_reachable = False
        self._renewal_number = 0
        self._renewal_sent_at = float("-inf")

    def usable_units(self, now: float) -> int:
        """Return the units that this process may use at ``now``."""
        return self.units if now < self.valid_until else 0

    def observe(self, table: ShareTable, sent_at: float, answered_at: float) -> None:
        """Process a table that was read from the store.

        :param sent_at: monotonic time just before the read was sent.
        :param answered_at: monotonic time just after its answer arrived.
        """
        self.table = table
        self.store_reachable = True
        for holder in table.holders:
            observation = self.observations.setdefault(holder.key, HolderObservation())
            observation.add(holder.renewals, sent_at, answered_at)
        listed = {holder.key for holder in table.holders}
        self.observations = {key: seen for key, seen in self.observations.items() if key in listed}
        own = table.find(self.key)
        if own is None or own.units < self.units:
            self._set_units(0 if own is None else own.units, answered_at)
        self._update_silence(sent_at, answered_at)

    def plan_renewal(self, now: float, floor_units: int = 0) -> ShareTable | None:
        """Return the table with this process's entry renewed.

        Reclaims units of silent holders and moves this process towards an equal part of the
        units. Units that it loses are given up at once, before the write is sent.

        :param now: monotonic time just before the write is sent.
        :param floor_units: units that are lent out, so that they can't be given up yet.
        :return: the table to write, ``None`` where the table is full of other holders.
        """
        table = self.table.without(self.reclaimable_holders(now))
        own = table.find(self.key)
        if own is None and len(table.holders) >= MAX_HOLDERS:
            return None
        own_units = 0 if own is None else own.units
        self.target_units = TOTAL_UNITS // (len(table.holders) + (own is None))
        units = max(
            min(self.target_units, own_units + table.free_units()), min(own_units, floor_units)
        )
        if units < self.units:
            self._set_units(units, now)
        self._record_write(self._renewal_number + 1 if own is None else own.renewals + 1, now)
        name, incarnation = self.key.name, self.key.incarnation
        return table.with_entry(
            Holder(name=name, incarnation=incarnation, renewals=self._renewal_number, units=units)
        )

    def plan_removal(self, now: float) -> ShareTable:
        """Give up all units and return the table without this process's entry."""
        self._set_units(0, now)
        self.valid_until = float("-inf")
        self.last_write_at = now
        left = self.table.without({self.key})
        return ShareTable(epoch=left.epoch + 1, holders=left.holders)

    def confirm_renewal(self, table: ShareTable, now: float) -> None:
        """Extend the lease if a table shows that the planned renewal took effect.

        The lease counts from just before the first attempt at this renewal was sent.

        :param table: the table as written or read.
        """
        own = table.find(self.key)
        if own is None or own.renewals != self._renewal_number:
            return
        self.table = table
        self.renewed_at = max(self.renewed_at, self._renewal_sent_at)
        self.valid_until = max(self.valid_until, self._renewal_sent_at + self.times.lease_s)
        if own.units != self.units:
            self._set_units(own.units, now)

    def record_store_failure(self) -> None:
        """Record that a call to the store failed."""
        self.store_reachable = False

    def reclaimable_holders(self, now: float) -> set[HolderKey]:
        """Return the holders whose units may be reclaimed.

        A holder that was silent while enough others renewed is reclaimed only after the longest
        promise and the clock margin, so that its lease has ended however promises extended it.
        One whose entry hasn't changed for ``abandon_after_s`` longer than that is always reclaimed.
        """
        wait_s = self.times.max_promise_s + self.times.clock_margin_s
        abandon_after_s = self.times.abandon_after_s + wait_s
        return {
            key
            for key, observation in self.observations.items()
            if key != self.key
            and (
                (observation.silent_since is not None and now - observation.silent_since >= wait_s)
                or now - observation.first_seen_at >= abandon_after_s
            )
        }

    def make_promise(self, now: float) -> Promise | None:
        """Promise not to write the table, if the store has been unreachable for long enough.

        :return: the promise; ``None`` if the store is reachable, if this process has no valid
            lease, or while its last write may still count as a recent renewal.
        """
        min_silence_s = self.times.recent_renewal_s + self.times.clock_margin_s / 2
        own = self.table.find(self.key)
        if own is None or self.store_reachable or now >= self.valid_until:
            return None
        if now - self.last_write_at <= min_silence_s:
            return None
        self.no_writes_until = max(self.no_writes_until, now + self.times.max_promise_s)
        return Promise(min(own.units, self.units), now + self.times.max_promise_s)

    def accept_promise(
        self, key: HolderKey, units: int, valid_s: float, requested_at: float, now: float
    ) -> None:
        """Record another holder's promise, and extend the lease if promises cover a majority.

        A lease that has expired is never extended, because other holders may have seen it expired
        and rely on that.

        :param valid_s: length of the promise in seconds, counted from ``requested_at``.
        :param requested_at: monotonic time just before the promise was requested.
        """
        entry = self.table.find(key)
        if entry is None or now >= self.valid_until:
            return
        bounded_s = min(valid_s, self.times.max_promise_s)
        self.promises[key] = Promise(min(units, entry.units), requested_at + bounded_s)
        latest_end = self.renewed_at + self.times.abandon_after_s
        self.valid_until = max(self.valid_until, min(self._majority_promised_until(), latest_end))

    def _majority_promised_until(self) -> float:
        covered_units = self.units
        latest_first = sorted(
            self.promises.values(), key=lambda promise: promise.expires_at, reverse=True
        )
        for promise in latest_first:
            covered_units += promise.units
            if covered_units > HALF_UNITS:
                return promise.expires_at
        return float("-inf")

    def _update_silence(self, sent_at: float, answered_at: float) -> None:
        majority_renews = self._renewing_units(answered_at) >= HALF_UNITS
        for observation in self.observations.values():
            unchanged_s = sent_at - observation.first_seen_at
            if not majority_renews or unchanged_s < self.times.lease_s + self.times.clock_margin_s:
                observation.silent_since = None
            elif observation.silent_since is None:
                observation.silent_since = answered_at

    def _renewing_units(self, now: float) -> int:
        since = now - self.times.recent_renewal_s
        return sum(
            holder.units
            for holder in self.table.holders
            if self.observations[holder.key].renewed_since(since)
        )

    def _record_write(self, renewals: int, now: float) -> None:
        # A retry of a renewal keeps the time of the first attempt: that may be the write which
        # took effect.
        if renewals != self._renewal_number:
            self._renewal_number = renewals
            self._renewal_sent_at = now
        self.last_write_at = now

    def _set_units(self, units: int, now: float) -> None:
        self.units = units
        for listener in self.unit_listeners:
            listener(now)
