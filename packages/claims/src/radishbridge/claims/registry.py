"""Claims on idempotency keys, so that a request that may not be repeated runs at most once."""

from __future__ import annotations

import enum
import hashlib

import msgspec

from radishbridge.records import Failure, ResultCode
from radishbridge.store import ObjectStore, ResolvedWriter, StoredObject

CLAIM_KIND = "claim"


class ClaimState(enum.Enum):
    """What is known of the request behind a claim."""

    CLAIMED = "claimed"
    COMPLETED = "run"
    RELEASED = "released"


class ClaimValue(msgspec.Struct, kw_only=True):
    """The stored form of a claim.

    :param incarnation: start of the claiming process, in nanoseconds of its wall clock.
    :param sequence: number of the claim in that process; makes the value unique.
    :param status: HTTP status of the answer; 0 while there is none.
    """

    host: str
    incarnation: int
    sequence: int
    state: ClaimState = ClaimState.CLAIMED
    status: int = 0


class Claim:
    """A claim that this host holds.

    :param version: the object's version, the condition of the next write.
    """

    __slots__ = ("name", "value", "version")

    def __init__(self, name: str, version: int, value: ClaimValue) -> None:
        self.name = name
        self.version = version
        self.value = value


class ClaimRegistry:
    """Claims idempotency keys in the platform's object store.

    A claim is created before the request is sent, on the condition that there is none. It outlives
    the host, and nobody takes it over: a request whose host died stays claimed.

    :param host: name of this host.
    :param incarnation: differs for each start of the process.
    :param writer: resolves writes whose answer was lost.
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

        :return: the claim; ``ALREADY_RUN`` or ``DUPLICATE_REQUEST`` where there was one before;
            ``CLAIM_UNAVAILABLE`` where the store gave no clear answer.
        """
        name = claim_name(workspace, idempotency_key)
        claim = await self._write(name, self._next_value(), 0)
        if not isinstance(claim, Failure) or claim.code is not ResultCode.VERSION_CONFLICT:
            return _unless_unclear(claim)
        return await self._claim_again(name)

    async def finish(self, claim: Claim, status: int) -> Failure | None:
        """Record that the request ran and with which status it was answered."""
        return await self._settle(claim, ClaimState.COMPLETED, status)

    async def release(self, claim: Claim) -> Failure | None:
        """Record that the request did not run, so that the same key may be claimed again."""
        return await self._settle(claim, ClaimState.RELEASED, 0)

    async def _claim_again(self, name: str) -> Claim | Failure:
        held = await self.store.get(CLAIM_KIND, name)
        if isinstance(held, Failure):
            return _unavailable(held)
        value = decode_claim(held)
        if isinstance(value, Failure):
            return value
        if value.state is not ClaimState.RELEASED:
            return _duplicate(value)
        claim = await self._write(name, self._next_value(), held.version)
        if isinstance(claim, Failure) and claim.code is ResultCode.VERSION_CONFLICT:
            return Failure(ResultCode.DUPLICATE_REQUEST, "another host took the request meanwhile")
        return _unless_unclear(claim)

    async def _settle(self, claim: Claim, state: ClaimState, status: int) -> Failure | None:
        value = msgspec.structs.replace(claim.value, state=state, status=status)
        settled = await self._write(claim.name, value, claim.version)
        return settled if isinstance(settled, Failure) else None

    async def _write(self, name: str, value: ClaimValue, version: int) -> Claim | Failure:
        body = msgspec.json.encode(value)
        stored = await self.writer.write(CLAIM_KIND, name, body, version)
        return stored if isinstance(stored, Failure) else Claim(name, stored.version, value)

    def _next_value(self) -> ClaimValue:
        self.sequence += 1
        return ClaimValue(host=self.host, incarnation=self.incarnation, sequence=self.sequence)


def claim_name(workspace: str, idempotency_key: str) -> str:
    """Return the object name of a key: a digest, so that the store never sees the key itself."""
    text = f"{workspace}\0{idempotency_key}".encode("utf-8", "surrogateescape")
    return hashlib.sha256(text).hexdigest()


def decode_claim(stored: StoredObject) -> ClaimValue | Failure:
    """Decode a stored claim; a damaged one counts as a request that may have run."""
    try:
        return msgspec.json.decode(stored.value, type=ClaimValue)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return Failure(ResultCode.DUPLICATE_REQUEST, "the claim on this key cannot be read")


def _duplicate(value: ClaimValue) -> Failure:
    if value.state is ClaimState.COMPLETED:
        return Failure(ResultCode.ALREADY_RUN, f"it ran and was answered with {value.status}")
    return Failure(ResultCode.DUPLICATE_REQUEST, f"host {value.host} took it and may have run it")


def _unless_unclear(claim: Claim | Failure) -> Claim | Failure:
    return _unavailable(claim) if isinstance(claim, Failure) else claim


def _unavailable(failure: Failure) -> Failure:
    return Failure(ResultCode.CLAIM_UNAVAILABLE, f"the key could not be claimed: {failure.reason}")
