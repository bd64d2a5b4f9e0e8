"""Conditional writes that read the object back when the outcome of a write is unknown."""

from __future__ import annotations

import asyncio
import random
import typing as t

import msgspec

from radishbridge.records import DECODE_ERRORS, Failure, ResultCode
from radishbridge.store.backoff import Backoff
from radishbridge.store.protocol import ObjectStore, StoredObject

Sleep = t.Callable[[float], t.Awaitable[object]]


class ResolvedWriter:
    """Writes conditionally and resolves writes whose outcome is unknown.

    A write took effect if the store shows its value at a version above the expected one. A caller
    that must know whether the write was its own makes the value unique (leases contain host,
    incarnation and sequence). Otherwise the same value written by another client has the same
    effect.

    :param attempts: how often an unclear write is read back, and repeated if it has not taken
        effect, before ``WRITE_UNCLEAR`` is returned.
    """

    __slots__ = ("attempts", "backoff", "randomness", "sleep", "store")

    def __init__(
        self,
        store: ObjectStore,
        randomness: random.Random,
        backoff: Backoff = Backoff(),
        attempts: int = 4,
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        self.store = store
        self.randomness = randomness
        self.backoff = backoff
        self.attempts = attempts
        self.sleep = sleep

    async def write(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> StoredObject | Failure:
        """Write the object; the write takes effect at most once, however many attempts it needs.

        :return: the written object; ``VERSION_CONFLICT`` if the write had no effect and never
            will; ``STORE_UNAVAILABLE`` if nothing was sent that could take effect;
            ``WRITE_UNCLEAR`` if it may have been overwritten or may still take effect.
        """
        result = await self.store.put(kind, name, value, expected_version)
        if not _is_unclear(result):
            return result
        for attempt in range(self.attempts):
            await self.sleep(self.backoff.delay_s(attempt, self.randomness))
            resolved = await self._resolve(kind, name, value, expected_version)
            if resolved is not None:
                return resolved
        return Failure(ResultCode.WRITE_UNCLEAR, f"{kind}/{name}: outcome of the write is unknown")

    async def _resolve(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> StoredObject | Failure | None:
        current = await self.store.get(kind, name)
        if isinstance(current, Failure) and current.code is not ResultCode.NOT_FOUND:
            return None
        version = 0 if isinstance(current, Failure) else current.version
        if isinstance(current, StoredObject) and version > expected_version:
            if same_value(current.value, value):
                return current
            return Failure(ResultCode.WRITE_UNCLEAR, f"{kind}/{name} was written by another client")
        if version < expected_version:
            return Failure(
                ResultCode.WRITE_UNCLEAR, f"{kind}/{name} went back to version {version}"
            )
        # The write has not taken effect, but may still be in flight. Only the same write under
        # the same condition is safe: at most one of the two takes effect.
        result = await self.store.put(kind, name, value, expected_version)
        return result if isinstance(result, StoredObject) else None


async def write_resolved(
    store: ObjectStore,
    kind: str,
    name: str,
    value: bytes,
    expected_version: int,
    randomness: random.Random | None = None,
) -> StoredObject | Failure:
    """Write an object with a ``ResolvedWriter`` that has the default attempts and backoff."""
    writer = ResolvedWriter(store, randomness or random.Random())
    return await writer.write(kind, name, value, expected_version)


def same_value(one: bytes, other: bytes) -> bool:
    """Return whether two values are equal as JSON, regardless of whitespace and field order."""
    if bytes(one) == bytes(other):
        return True
    try:
        return bool(msgspec.json.decode(one) == msgspec.json.decode(other))
    except DECODE_ERRORS:
        return False


def _is_unclear(result: StoredObject | Failure) -> bool:
    return isinstance(result, Failure) and result.code is ResultCode.WRITE_UNCLEAR
