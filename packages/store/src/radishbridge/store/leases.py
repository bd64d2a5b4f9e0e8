"""Leases: duties that one host at a time holds, by conditional update in the store."""

from __future__ import annotations

import asyncio
import logging
import random
import typing as t

import msgspec

from radishbridge.records import Failure, ResultCode
from radishbridge.store.backoff import Backoff
from radishbridge.store.clock import steady_clock
from radishbridge.store.protocol import ObjectStore, StoredObject

LEASE_KIND = "lease"

logger = logging.getLogger(__name__)

Sleep = t.Callable[[float], t.Awaitable[object]]


class LeaseSettings(msgspec.Struct, kw_only=True, frozen=True):
    """Times of a lease in seconds.

    :param duration_s: how long a renewal is valid, on the holder's clock.
    :param margin_s: what others wait beyond that on theirs. It covers the difference of the
        clocks' rates, and the time from the check of the lease to the end of the act.
    :param renewal_s: between renewals, and between looks of those who wait.
    """

    duration_s: float = 10.0
    margin_s: float = 2.0
    renewal_s: float = 3.0


class LeaseValue(msgspec.Struct, kw_only=True):
    """The stored value of a lease.

    :param incarnation: differs for each start of the holder's process.
    :param sequence: differs for each write of the incarnation, so that no two values are equal.
    :param released: the holder has given the lease back.
    """

    holder: str
    incarnation: int
    sequence: int
    duration_s: float
    released: bool = False


class Lease:
    """One host's view of a lease.

    Validity counts on the holder's own clock from before the renewal was sent. Others take over
    only after they have seen the lease unchanged for its whole duration and the margin, counted
    on their own clock from after the read that first showed it.

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
        "sent_at",
        "sequence",
        "settings",
        "sleep",
        "store",
        "token",
        "valid_until",
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
        self.backoff = Backoff(initial_s=0.2, max_s=settings.renewal_s)
        self.sequence = 0
        self.sent_at = float("-inf")
        self.token = 0
        self.valid_until = float("-inf")
        self.seen_version = 0
        self.seen_at = float("inf")

    def check(self) -> int | Failure:
        """Check the lease; to be called before each act.

        :return: the fencing token, which grows with each renewal and each holder, or
            ``LEASE_LOST``.
        """
        if self.clock() < self.valid_until:
            return self.token
        return Failure(ResultCode.LEASE_LOST, f"{self.name} is not held or has lapsed")

    def is_held(self) -> bool:
        """Return whether this host holds the lease now."""
        return not isinstance(self.check(), Failure)

    async def run(self, candidate: t.Callable[[], bool] = lambda: True) -> None:
        """Acquire and renew the lease until cancelled; call ``release`` after that.

        :param candidate: whether this host competes for the lease. With many hosts only a few
            should, so that calls to the store do not grow with the fleet.
        """
        attempt = 0
        while True:
            failure = await self.renew() if self.is_held() or candidate() else None
            attempt = attempt + 1 if failure is not None else 0
            await self.sleep(self._pause_s(attempt))

    async def renew(self) -> Failure | None:
        """Take one step: renew a lease that is held, otherwise look and acquire it if it is free.

        :return: ``None`` where the lease is held or rightly someone else's; the failure where
            that is not clear.
        """
        if self.is_held():
            result = await self._write(self.token)
            if not isinstance(result, Failure) or result.code is ResultCode.STORE_UNAVAILABLE:
                return result if isinstance(result, Failure) else None
        held = await self.store.get(LEASE_KIND, self.name)
        if isinstance(held, Failure):
            return await self._renew_missing(held)
        return await self._renew_over(held)

    async def release(self) -> None:
        """Give the lease back if it is held, once ``run`` and all acts under it have ended."""
        token = self.check()
        self._forget()
        if isinstance(token, Failure):
            return
        await self.store.put(LEASE_KIND, self.name, self._next_value(released=True), token)

    async def _renew_missing(self, failure: Failure) -> Failure | None:
        if failure.code is not ResultCode.NOT_FOUND:
            return failure
        return _failure(await self._write(0))

    async def _renew_over(self, held: StoredObject) -> Failure | None:
        if held.version != self.seen_version:
            self.seen_version = held.version
            self.seen_at = self.clock()
        value = _decode(held)
        if value is not None and self._is_own(value):
            return await self._renew_own(held, value)
        # Someone else's value at a version above the token: this host no longer holds it.
        self._forget()
        if self._is_free(value):
            return _failure(await self._write(held.version))
        return None

    async def _renew_own(self, held: StoredObject, value: LeaseValue) -> Failure | None:
        if value.sequence == self.sequence and not value.released:
            self._hold(held.version, self.sent_at)
        return _failure(await self._write(held.version))

    def _is_own(self, value: LeaseValue) -> bool:
        return value.holder == self.holder and value.incarnation == self.incarnation

    def _is_free(self, value: LeaseValue | None) -> bool:
        if value is not None and value.released:
            return True
        duration_s = self.settings.duration_s if value is None else value.duration_s
        return self.clock() - self.seen_at >= duration_s + self.settings.margin_s

    async def _write(self, expected_version: int) -> StoredObject | Failure:
        value = self._next_value()
        sent_at = self.sent_at = self.clock()
        result = await self.store.put(LEASE_KIND, self.name, value, expected_version)
        if isinstance(result, StoredObject):
            self._hold(result.version, sent_at)
        # An unclear write extends nothing: the next step reads what became of it.
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

    def _hold(self, version: int, sent_at: float) -> None:
        self.token = version
        self.valid_until = sent_at + self.settings.duration_s

    def _forget(self) -> None:
        self.valid_until = float("-inf")

    def _pause_s(self, attempt: int) -> float:
        if attempt:
            return self.backoff.delay_s(attempt - 1, self.randomness)
        return self.settings.renewal_s * self.randomness.uniform(0.8, 1.0)


def _failure(result: StoredObject | Failure) -> Failure | None:
    if isinstance(result, StoredObject) or result.code is ResultCode.VERSION_CONFLICT:
        return None
    return result


def _decode(held: StoredObject) -> LeaseValue | None:
    try:
        return msgspec.json.decode(held.value, type=LeaseValue)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        logger.warning("lease %s holds a value that can't be read", held.name)
        return None
