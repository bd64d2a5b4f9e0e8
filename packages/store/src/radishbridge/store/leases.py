"""Leases that one host at a time holds, by conditional writes to the store."""

from __future__ import annotations

import asyncio
import logging
import random
import typing as t

import msgspec

from radishbridge.records import DECODE_ERRORS, Failure, ResultCode
from radishbridge.store.backoff import Backoff
from radishbridge.store.clock import steady_clock
from radishbridge.store.protocol import ObjectStore, StoredObject

LEASE_KIND = "lease"

logger = logging.getLogger(__name__)

Sleep = t.Callable[[float], t.Awaitable[object]]


class LeaseSettings(msgspec.Struct, kw_only=True, frozen=True):
    """Durations of a lease, in seconds.

    :param duration_s: validity of a renewal, on the holder's clock.
    :param margin_s: additional time that other hosts wait, on their clocks, before they take the
        lease over. It covers the difference of the clocks' rates, and the time from the check of
        the lease to the end of the action that it protects.
    :param renewal_interval_s: between renewals by the holder, and between reads by other hosts.
    """

    duration_s: float = 10.0
    margin_s: float = 2.0
    renewal_interval_s: float = 3.0


class LeaseValue(msgspec.Struct, kw_only=True):
    """The stored value of a lease.

    :param incarnation: differs for each start of the holder's process.
    :param sequence: differs for each write of the incarnation, so that no two values are equal.
    :param released: whether the holder has released the lease.
    """

    holder: str
    incarnation: int
    sequence: int
    duration_s: float
    released: bool = False


class Lease:
    """A lease as one host holds it or competes for it.

    The holder counts the validity on its own clock, from before it sent the renewal. Another host
    takes the lease over only once it has seen it unchanged for the duration and the margin, on
    its own clock, from after the read that first returned this version.

    :param holder: name of this host.
    :param incarnation: differs for each start of this process.
    """

    __slots__ = (
        "backoff",
        "clock",
        "holder",
        "incarnation",
        "name",
        "randomness",
        "seen_at",
        "seen_version",
        "sequence",
        "settings",
        "sleep",
        "store",
        "token",
        "valid_until",
        "write_sent_at",
    )

    def __init__(
        self,
        store: ObjectStore,
        name: str,
        holder: str,
        incarnation: int,
        settings: LeaseSettings = LeaseSettings(),
        randomness: random.Random | None = None,
        clock: t.Callable[[], float] = steady_clock,
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        self.store = store
        self.name = name
        self.holder = holder
        self.incarnation = incarnation
        self.settings = settings
        self.randomness = randomness or random.Random()
        self.clock = clock
        self.sleep = sleep
        self.backoff = Backoff(initial_s=0.2, max_s=settings.renewal_interval_s)
        self.sequence = 0
        self.write_sent_at = float("-inf")
        self.token = 0
        self.valid_until = float("-inf")
        self.seen_version = 0
        self.seen_at = float("inf")

    def check(self) -> int | Failure:
        """Check that this host holds the lease; call it before each action that needs it.

        :return: the fencing token, which grows with each renewal and each holder, or
            ``LEASE_LOST``.
        """
        if self.clock() < self.valid_until:
            return self.token
        return Failure(ResultCode.LEASE_LOST, f"lease {self.name} is not held or has expired")

    def is_held(self) -> bool:
        """Return whether this host holds the lease now."""
        return not isinstance(self.check(), Failure)

    async def run(self, is_candidate: t.Callable[[], bool] = lambda: True) -> None:
        """Acquire and renew the lease until cancelled; call ``release`` afterwards.

        :param is_candidate: returns whether this host competes for the lease. Only a few hosts
            should, so that the calls to the store do not grow with the number of hosts.
        """
        attempt = 0
        while True:
            failure = await self.renew() if self.is_held() or is_candidate() else None
            attempt = attempt + 1 if failure is not None else 0
            await self.sleep(self._delay_s(attempt))

    async def renew(self) -> Failure | None:
        """Renew the lease if this host holds it, otherwise read it and acquire it if it is free.

        :return: ``None`` if this host or another one holds the lease; a failure if that is
            unknown.
        """
        if self.is_held():
            result = await self._write(self.token)
            if not isinstance(result, Failure) or result.code is ResultCode.STORE_UNAVAILABLE:
                return result if isinstance(result, Failure) else None
        current = await self.store.get(LEASE_KIND, self.name)
        if isinstance(current, Failure):
            return await self._create(current)
        return await self._renew_or_take_over(current)

    async def release(self) -> None:
        """Release the lease if this host holds it; call it after ``run`` and all actions ended."""
        token = self.check()
        self._mark_not_held()
        if isinstance(token, Failure):
            return
        await self.store.put(LEASE_KIND, self.name, self._next_value(released=True), token)

    async def _create(self, failure: Failure) -> Failure | None:
        if failure.code is not ResultCode.NOT_FOUND:
            return failure
        return _unexpected_failure(await self._write(0))

    async def _renew_or_take_over(self, stored: StoredObject) -> Failure | None:
        if stored.version != self.seen_version:
            self.seen_version = stored.version
            self.seen_at = self.clock()
        value = _decode(stored)
        if value is not None and self._is_own(value):
            return await self._renew_own(stored, value)
        # The value is another holder's, at a version above the token: this host lost the lease.
        self._mark_not_held()
        if self._is_free(value):
            return _unexpected_failure(await self._write(stored.version))
        return None

    async def _renew_own(self, stored: StoredObject, value: LeaseValue) -> Failure | None:
        if value.sequence == self.sequence and not value.released:
            self._mark_held(stored.version, self.write_sent_at)
        return _unexpected_failure(await self._write(stored.version))

    def _is_own(self, value: LeaseValue) -> bool:
        return value.holder == self.holder and value.incarnation == self.incarnation

    def _is_free(self, value: LeaseValue | None) -> bool:
        if value is not None and value.released:
            return True
        duration_s = self.settings.duration_s if value is None else value.duration_s
        return self.clock() - self.seen_at >= duration_s + self.settings.margin_s

    async def _write(self, expected_version: int) -> StoredObject | Failure:
        value = self._next_value()
        sent_at = self.write_sent_at = self.clock()
        result = await self.store.put(LEASE_KIND, self.name, value, expected_version)
        if isinstance(result, StoredObject):
            self._mark_held(result.version, sent_at)
        # A write with an unknown outcome does not extend the lease; the next renewal reads it back.
        return result

    def _next_value(self, released: bool = False) -> bytes:
        self.sequence += 1
        value = LeaseValue(
            holder=self.holder,
            incarnation=self.incarnation,
            sequence=self.sequence,
            duration_s=self.settings.duration_s,
            released=released,
        )
        return msgspec.json.encode(value)

    def _mark_held(self, version: int, sent_at: float) -> None:
        self.token = version
        self.valid_until = sent_at + self.settings.duration_s

    def _mark_not_held(self) -> None:
        self.valid_until = float("-inf")

    def _delay_s(self, attempt: int) -> float:
        if attempt:
            return self.backoff.delay_s(attempt - 1, self.randomness)
        return self.settings.renewal_interval_s * self.randomness.uniform(0.8, 1.0)


def _unexpected_failure(result: StoredObject | Failure) -> Failure | None:
    if isinstance(result, StoredObject) or result.code is ResultCode.VERSION_CONFLICT:
        return None
    return result


def _decode(stored: StoredObject) -> LeaseValue | None:
    try:
        return msgspec.json.decode(stored.value, type=LeaseValue)
    except DECODE_ERRORS:
        logger.warning("lease %s has a malformed value", stored.name)
        return None
