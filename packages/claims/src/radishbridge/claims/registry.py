"""Claims on idempotency keys, which make a request with such a key run at most once."""

from __future__ import annotations

import enum
import hashlib

import msgspec

from radishbridge.records import DECODE_ERRORS, Failure, ResultCode
from radishbridge.store import ObjectStore, ResolvedWriter, StoredObject

CLAIM_KIND = "claim"


class ClaimState(enum.Enum):
    """What is known about the request that a key was claimed for.

    ``CLAIMED`` means that it may run or have run, ``COMPLETED`` that it ran and was answered, and
    ``RELEASED`` that it didn't run.
    """

    CLAIMED = "claimed"
    COMPLETED = "run"
    RELEASED = "released"


class ClaimValue(msgspec.Struct, kw_only=True):
    """The stored form of a claim.

    :param incarnation: start time of the claiming process, in nanoseconds of its wall clock.
    :param sequence: number of the claim within that process; makes the value unique.
    :param status: HTTP status of the response; 0 if none was recorded.
    """

    host: str
    incarnation: int
    sequence: int
    state: ClaimState = ClaimState.CLAIMED
    status: int = 0


class Claim:
    """A claim that this host holds.

    :param name: name of the stored object.
    :param version: version of the stored object, the condition for the next write.
    """

    __slots__ = ("name", "value", "version")

    def __init__(self, name: str, version: int, value: ClaimValue) -> None:
        self.name = name
        self.version = version
        self.value = value


class ClaimRegistry:
    """Claims idempotency keys in the platform's object store.

    A claim is created before the request is sent, on condition that the key has none. It outlives
    its host and is never taken over: if the host dies, the key stays claimed, because the request
    may have run.

    :param host: name of this host.
    :param incarnation: differs for each start of the process.
    :param writer: finds out whether a write whose answer was lost took effect.
    """

    __slots__ = ("host", "incarnation", "sequence", "store", "writer")

    def __init__(
        self, store: ObjectStore, writer: ResolvedWriter, host: str, incarnation: int
    ) -> None:
        self.store = store
        self.writer = writer
        self.host = host
        self.incarnation = incarnation
        self.sequence = 0

    async def claim(self, workspace: str, idempotency_key: str) -> Claim | Failure:
        """Claim a key before its request runs.

        :return: the claim; ``ALREADY_RUN`` or ``DUPLICATE_REQUEST`` if the key was claimed before;
            ``CLAIM_UNAVAILABLE`` if the store failed or its answer left the outcome unclear.
        """
        name = claim_name(workspace, idempotency_key)
        claim = await self._write(name, self._next_value(), 0)
        if not isinstance(claim, Failure) or claim.code is not ResultCode.VERSION_CONFLICT:
            return _claim_or_unavailable(claim)
        return await self._reclaim_released(name)

    async def finish(self, claim: Claim, status: int) -> Failure | None:
        """Record that the request ran, and the status of its response."""
        return await self._record_outcome(claim, ClaimState.COMPLETED, status)

    async def release(self, claim: Claim) -> Failure | None:
        """Record that the request did not run, so that its key can be claimed again."""
        return await self._record_outcome(claim, ClaimState.RELEASED, 0)

    async def _reclaim_released(self, name: str) -> Claim | Failure:
        stored = await self.store.get(CLAIM_KIND, name)
        if isinstance(stored, Failure):
            return _unavailable_failure(stored)
        value = decode_claim(stored)
        if isinstance(value, Failure):
            return value
        if value.state is not ClaimState.RELEASED:
            return _duplicate_failure(value)
        claim = await self._write(name, self._next_value(), stored.version)
        if isinstance(claim, Failure) and claim.code is ResultCode.VERSION_CONFLICT:
            return Failure(ResultCode.DUPLICATE_REQUEST, "another host took the request meanwhile")
        return _claim_or_unavailable(claim)

    async def _record_outcome(self, claim: Claim, state: ClaimState, status: int) -> Failure | None:
        value = msgspec.structs.replace(claim.value, state=state, status=status)
        written = await self._write(claim.name, value, claim.version)
        return written if isinstance(written, Failure) else None

    async def _write(self, name: str, value: ClaimValue, version: int) -> Claim | Failure:
        body = msgspec.json.encode(value)
        stored = await self.writer.write(CLAIM_KIND, name, body, version)
        return stored if isinstance(stored, Failure) else Claim(name, stored.version, value)

    def _next_value(self) -> ClaimValue:
        self.sequence += 1
        return ClaimValue(host=self.host, incarnation=self.incarnation, sequence=self.sequence)


def claim_name(workspace: str, idempotency_key: str) -> str:
    """Return the object name for a key: a digest, so that the store never sees the key itself."""
    text = f"{workspace}\0{idempotency_key}".encode("utf-8", "surrogateescape")
    return hashlib.sha256(text).hexdigest()


def decode_claim(stored: StoredObject) -> ClaimValue | Failure:
    """Decode a stored claim.

    :return: the claim, or ``DUPLICATE_REQUEST`` if it is malformed: its request may have run.
    """
    try:
        return msgspec.json.decode(stored.value, type=ClaimValue)
    except DECODE_ERRORS:
        return Failure(ResultCode.DUPLICATE_REQUEST, "the claim on this key cannot be read")


def _duplicate_failure(value: ClaimValue) -> Failure:
    if value.state is ClaimState.COMPLETED:
        return Failure(ResultCode.ALREADY_RUN, f"it ran and was answered with {value.status}")
    return Failure(ResultCode.DUPLICATE_REQUEST, f"host {value.host} took it and may have run it")


def _claim_or_unavailable(claim: Claim | Failure) -> Claim | Failure:
    return _unavailable_failure(claim) if isinstance(claim, Failure) else claim


def _unavailable_failure(failure: Failure) -> Failure:
    return Failure(ResultCode.CLAIM_UNAVAILABLE, f"the key could not be claimed: {failure.reason}")
