"""Conditional writes whose unclear outcomes are resolved by reading back."""

from __future__ import annotations

import asyncio
import random
import typing as t

import msgspec

from radishbridge.records import Failure, ResultCode
from radishbridge.store.backoff import Backoff
from radishbridge.store.protocol import ObjectStore, StoredObject

Sleep = t.Callable[[float], t.Awaitable[object]]


class ResolvedWriter:
    """Writes conditionally and finds out what became of a write without a clear answer.

    A write took effect if the store shows its value at a version above the expected one. Where
    it matters who wrote, the caller makes its value unique (leases carry host, incarnation and
    sequence); without that, the same value from someone else has the same effect.

    :param attempts: writes and reads tried in all before ``WRITE_UNCLEAR`` is returned.
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
        """Write once in effect, however many attempts it takes.

        :return: the written object; ``VERSION_CONFLICT`` where the write certainly had no effect
            and never will; ``STORE_UNAVAILABLE`` where nothing was sent that could have one;
            ``WRITE_UNCLEAR`` where it may have been overwritten or may still take effect.
        """
        result = await self.store.put(kind, name, value, expected_version)
        if not _unclear(result):
            return result
        for attempt in range(self.attempts):
            await self.sleep(self.backoff.pause_s(attempt, self.randomness))
            resolved = await self._resolve(kind, name, value, expected_version)
            if resolved is not None:
                return resolved
        return Failure(ResultCode.WRITE_UNCLEAR, f"{kind}/{name}: the write stays unclear")

    async def _resolve(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> StoredObject | Failure | None:
        held = await self.store.get(kind, name)
        if isinstance(held, Failure) and held.code is not ResultCode.NOT_FOUND:
            return None
        version = 0 if isinstance(held, Failure) else held.version
        if isinstance(held, StoredObject) and version > expected_version:
            if same_value(held.value, value):
                return held
            return Failure(ResultCode.WRITE_UNCLEAR, f"{kind}/{name} was written by someone else")
        if version < expected_version:
            return Failure(ResultCode.WRITE_UNCLEAR, f"{kind}/{name} went back to {version}")
        # Not applied so far. The first write may still be on its way, so nothing but the same
        # write under the same condition is safe: at most one of the two takes effect.
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
    """Write as ``ResolvedWriter.write`` does, with the usual bounds."""
    writer = ResolvedWriter(store, randomness or random.Random())
    return await writer.write(kind, name, value, expected_version)


def same_value(one: bytes, other: bytes) -> bool:
    """Compare two values as JSON, so that spacing and order of fields do not matter."""
    if bytes(one) == bytes(other):
        return True
    try:
        return bool(msgspec.json.decode(one) == msgspec.json.decode(other))
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return False


def _unclear(result: StoredObject | Failure) -> bool:
    return isinstance(result, Failure) and result.code is ResultCode.WRITE_UNCLEAR
