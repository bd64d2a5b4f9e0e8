"""Typed messages between hosts."""

from __future__ import annotations

import msgspec


class Envelope(msgspec.Struct, kw_only=True, array_like=True):
    """What surrounds each message.

    :param sender: name of the sending host.
    :param incarnation: differs for each start of the sending process.
    :param sequence: grows with each message of the incarnation.
    :param body: the message in MessagePack.
    """

    sender: str
    incarnation: int
    sequence: int
    body: msgspec.Raw


class Heartbeat(msgspec.Struct, kw_only=True, tag="heartbeat"):
    """A sign of life.

    :param revision: revision of the configuration the sender holds.
    """

    revision: int
    leaving: bool = False


class HostAddress(msgspec.Struct, kw_only=True, frozen=True):
    """Where a host is and on which ``IP:port`` it takes messages from other hosts.

    :param listen: ``IP:port`` of its listener for callers.
    """

    name: str
    region: str
    data_center: str
    address: str
    leaving: bool = False
    listen: str = ""


class DirectoryUpdate(msgspec.Struct, kw_only=True, tag="directory"):
    """The platform's list of hosts, passed on by a relay that has just read it."""

    hosts: list[HostAddress]


class RelayedObject(msgspec.Struct, kw_only=True, tag="object"):
    """An object of the store passed on; ``value`` is its JSON text."""

    kind: str
    name: str
    version: int
    value: bytes


class ProofRequest(msgspec.Struct, kw_only=True, tag="proof-request"):
    """Asks how fresh the receiver's copy of the configuration is."""

    request_id: int


class ProofAnswer(msgspec.Struct, kw_only=True, tag="proof-answer"):
    """How fresh the sender's copy of the configuration is; ages are seconds, never wall-clock time.

    :param revision: revision up to which the sender holds every change.
    :param root: digest of all that the sender holds.
    :param complete: the sender holds a full copy.
    :param watching: the sender follows the store itself.
    :param age_s: age of the sender's proof; ``None`` where it has none.
    :param store_answers: whether the sender's last call to the store was answered; ``None``
        where it makes none.
    :param contact_age_s: age of that call's end.
    :param outage_age_s: age of the evidence that nobody can change the configuration.
    """

    request_id: int
    revision: int
    root: int
    complete: bool
    watching: bool
    age_s: float | None = None
    store_answers: bool | None = None
    contact_age_s: float = 0.0
    outage_age_s: float | None = None


class ObjectVersion(msgspec.Struct, kw_only=True, array_like=True, frozen=True):
    """The version at which a host holds an object."""

    kind: str
    name: str
    version: int


class BucketVersions(msgspec.Struct, kw_only=True, array_like=True):
    """All that a host holds in one bucket of its digest."""

    bucket: int
    versions: list[ObjectVersion]


class ReplicaDigest(msgspec.Struct, kw_only=True, tag="replica-digest"):
    """The digest of the sender's copy, by buckets; asks for what differs."""

    buckets: list[int]


class ReplicaDifference(msgspec.Struct, kw_only=True, tag="replica-difference"):
    """What the sender holds in the buckets that differ from the receiver's.

    :param more: further buckets differ that did not fit in.
    """

    revision: int
    complete: bool
    differing: list[BucketVersions]
    more: bool = False


class ObjectRequest(msgspec.Struct, kw_only=True, tag="object-request"):
    """Asks for objects of the configuration."""

    objects: list[ObjectVersion]


class TokenRequest(msgspec.Struct, kw_only=True, tag="token-request"):
    """Asks another holder for tokens of a share.

    :param amount: tokens that the asker wants.
    :param units: part of the quantity's rate and burst that the asker wants to borrow.
    :param renews: id of an earlier request whose loan is to be prolonged; 0 asks for a new loan.
    :param asker: incarnation of the asking process, which the answer echoes.
    :param deadline: the asker's own monotonic time after which it discards the answer; the
        answering host only echoes it.
    """

    quantity: str
    request_id: int
    amount: float
    deadline: float
    units: int = 0
    renews: int = 0
    asker: int = 0


class UnitLoan(msgspec.Struct, kw_only=True, frozen=True):
    """Part of a quantity's rate and burst, lent for a while.

    :param units: the part, in units of the share table.
    :param valid_s: seconds of use, counted from before the asker sent its request.
    :param passed_on: the sender has borrowed it itself, so that it cannot be prolonged.
    """

    units: int
    valid_s: float
    passed_on: bool = False


class TokenTransfer(msgspec.Struct, kw_only=True, tag="token-transfer"):
    """Tokens that the sender has debited before it sent them.

    :param amount: tokens that go with no piece.
    :param pieces: what the sender lends of the quantity's rate and burst.
    :param piece_tokens: tokens that go with the pieces.
    :param asker: incarnation of the process that asked.
    :param spare_units: what the sender could still lend.
    :param spare_tokens: tokens that the sender could still give.
    """

    quantity: str
    request_id: int
    amount: float
    deadline: float
    pieces: list[UnitLoan] = []
    piece_tokens: float = 0.0
    asker: int = 0
    spare_units: int = 0
    spare_tokens: float = 0.0


class LoanReturned(msgspec.Struct, kw_only=True, tag="loan-returned"):
    """The sender has given up a loan before its end.

    :param request_id: the request that the loan answered.
    :param asker: incarnation of the sender.
    :param units: the units given up.
    :param amount: tokens that go back with them.
    """

    quantity: str
    request_id: int
    asker: int
    units: int
    amount: float


class PromiseRequest(msgspec.Struct, kw_only=True, tag="promise-request"):
    """Asks another holder of the share table not to renew its entry for a while.

    :param asker: incarnation of the asking process, which the answer echoes.
    """

    request_id: int
    asker: int


class RenewalPromise(msgspec.Struct, kw_only=True, tag="renewal-promise"):
    """The sender will not write the share table for a while.

    :param units: what the sender's own entry holds.
    :param valid_s: seconds of the promise, counted from when it was given.
    """

    request_id: int
    asker: int
    units: int
    valid_s: float


PeerMessage = (
    Heartbeat
    | DirectoryUpdate
    | RelayedObject
    | ProofRequest
    | ProofAnswer
    | ReplicaDigest
    | ReplicaDifference
    | ObjectRequest
    | TokenRequest
    | TokenTransfer
    | LoanReturned
    | PromiseRequest
    | RenewalPromise
)
