"""Typed messages between hosts."""

from __future__ import annotations

import msgspec


class Envelope(msgspec.Struct, kw_only=True, array_like=True):
    """The envelope of each message, encoded as an array.

    :param sender: name of the sending host.
    :param incarnation: identifies one run of the sending process.
    :param sequence: sequence number, increasing within the incarnation.
    :param body: the message, encoded as MessagePack.
    """

    sender: str
    incarnation: int
    sequence: int
    body: msgspec.Raw


class Heartbeat(msgspec.Struct, kw_only=True, tag="heartbeat"):
    """Periodic heartbeat.

    :param revision: revision of the configuration that the sender holds.
    :param leaving: the sender is shutting down.
    """

    revision: int
    leaving: bool = False


class HostAddress(msgspec.Struct, kw_only=True, frozen=True):
    """Location and addresses of a host.

    :param address: ``IP:port`` for messages from other hosts.
    :param leaving: the host is shutting down.
    :param listen: ``IP:port`` for callers' requests.
    """

    name: str
    region: str
    data_center: str
    address: str
    leaving: bool = False
    listen: str = ""


class DirectoryUpdate(msgspec.Struct, kw_only=True, tag="directory"):
    """The platform's list of hosts, forwarded by a relay that has just read it."""

    hosts: list[HostAddress]


class RelayedObject(msgspec.Struct, kw_only=True, tag="object"):
    """An object of the store, sent by another host; ``value`` is its JSON text."""

    kind: str
    name: str
    version: int
    value: bytes


class ProofRequest(msgspec.Struct, kw_only=True, tag="proof-request"):
    """Requests a proof of freshness of the receiver's copy of the configuration."""

    request_id: int


class ProofAnswer(msgspec.Struct, kw_only=True, tag="proof-answer"):
    """Answers ``ProofRequest`` with the freshness of the sender's copy.

    Times are sent as ages in seconds, since the clocks of hosts may differ.

    :param revision: revision up to which the sender holds every change.
    :param root: one hash over all objects of the sender's copy.
    :param complete: the sender holds a full copy.
    :param watching: the sender watches the store itself.
    :param age_s: age of the newest read of the store that proves the sender's copy fresh; ``None``
        if it is too old.
    :param store_answers: whether the sender's last call to the store was answered; ``None`` if
        the sender makes no calls.
    :param contact_age_s: time since the end of that call.
    :param outage_age_s: age of the proof that no client can change the configuration, since the
        store is down for all hosts or its region has no host; ``None`` if it is too old.
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
    """The version of an object that a host holds."""

    kind: str
    name: str
    version: int


class BucketVersions(msgspec.Struct, kw_only=True, array_like=True):
    """The versions of all objects that a host holds in one bucket of its digest."""

    bucket: int
    versions: list[ObjectVersion]


class ReplicaDigest(msgspec.Struct, kw_only=True, tag="replica-digest"):
    """The hash of each bucket of the sender's copy; requests a ``ReplicaDifference``."""

    buckets: list[int]


class ReplicaDifference(msgspec.Struct, kw_only=True, tag="replica-difference"):
    """The sender's versions in the buckets whose hashes differ from the receiver's.

    :param revision: revision up to which the sender holds every change.
    :param complete: the sender holds a full copy.
    :param more: further buckets differ but did not fit into the message.
    """

    revision: int
    complete: bool
    differing: list[BucketVersions]
    more: bool = False


class ObjectRequest(msgspec.Struct, kw_only=True, tag="object-request"):
    """Requests objects of the configuration."""

    objects: list[ObjectVersion]


class TokenRequest(msgspec.Struct, kw_only=True, tag="token-request"):
    """Requests tokens and a loan of units from another holder of a share.

    :param quantity: name of the shared quantity.
    :param amount: tokens requested.
    :param deadline: time on the sender's monotonic clock after which it discards the answer,
        which echoes the value.
    :param units: units of the quantity's rate and burst to borrow.
    :param renews: id of an earlier request whose loan is to be extended; 0 requests a new loan.
    :param asker: incarnation of the requesting process, which the answer echoes.
    """

    quantity: str
    request_id: int
    amount: float
    deadline: float
    units: int = 0
    renews: int = 0
    asker: int = 0


class UnitLoan(msgspec.Struct, kw_only=True, frozen=True):
    """Units of a quantity's rate and burst, lent for a limited time.

    :param units: number of units, as in the share table.
    :param valid_s: duration of the loan in seconds, counted from before the request was sent.
    :param passed_on: the sender has borrowed the units itself, so the loan cannot be extended.
    """

    units: int
    valid_s: float
    passed_on: bool = False


class TokenTransfer(msgspec.Struct, kw_only=True, tag="token-transfer"):
    """Answers ``TokenRequest``; the sender debits the tokens before it sends them.

    :param amount: tokens that do not belong to a loan.
    :param deadline: the request's deadline.
    :param pieces: loans of units of the quantity's rate and burst.
    :param piece_tokens: tokens that belong to the loans.
    :param asker: incarnation of the process that sent the request.
    :param spare_units: units that the sender could still lend.
    :param spare_tokens: tokens that the sender could still transfer.
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
    """Returns a loan to the lender before it expires.

    :param request_id: id of the ``TokenRequest`` that led to the loan.
    :param asker: incarnation of the sender.
    :param units: units returned.
    :param amount: tokens returned with them.
    """

    quantity: str
    request_id: int
    asker: int
    units: int
    amount: float


class PromiseRequest(msgspec.Struct, kw_only=True, tag="promise-request"):
    """Requests that another holder not renew its entry of the share table for a limited time.

    :param asker: incarnation of the requesting process, which the answer echoes.
    """

    request_id: int
    asker: int


class RenewalPromise(msgspec.Struct, kw_only=True, tag="renewal-promise"):
    """Promises that the sender will not write the share table for a limited time.

    :param asker: incarnation of the process that sent the request.
    :param units: units in the sender's own entry.
    :param valid_s: duration of the promise in seconds, counted from when it was made.
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
