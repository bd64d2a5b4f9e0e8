"""Messages between entry hosts."""

from __future__ import annotations

import msgspec

from radishbridge.entry.protocol import Kind, Listing, StoredObject
from radishbridge.peers import Heartbeat
from radishbridge.steering import Evidence, HomeDemand


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A request that was running at a backend server when the server went away."""

    fingerprint: bytes
    server: str


class HostStatus(msgspec.Struct, frozen=True, array_like=True):
    """What others are told of a host.

    :param reaches_store: the store has answered its last calls, as far as it has made any.
    :param is_overloaded: it answers later than it should, for want of processor time or link.
    :param report_number: of the report that says so, numbered from 1 by each host since its start.
    """

    name: str
    is_ready: bool
    is_leaving: bool
    reaches_store: bool
    is_overloaded: bool = False
    report_number: int = 0


class CopyState(msgspec.Struct, frozen=True, array_like=True):
    """What a host's copy of the store holds, to find what another copy lacks.

    :param revisions: revisions of the store up to which the copy is whole, by kind.
    :param digests: digests of its objects, by kind.
    """

    revisions: dict[Kind, int]
    digests: dict[Kind, int]


class FleetReport(msgspec.Struct, kw_only=True, tag="report"):
    """What one host tells the hosts that sum up.

    :param demands: requests a second by workspace.
    :param home_bound: demand of requests with one home region, by service and region.
    :param evidence: outcomes by service under a version move, counted since the order.
    :param crashes: those of the last seconds.
    :param copy_state: of the sender's copy; the summing host may be late itself.
    :param size: most hosts that the sender has known as registered lately.
    """

    status: HostStatus = msgspec.field(name="sight")
    demands: dict[str, float]
    home_bound: dict[str, dict[str, HomeDemand]]
    evidence: dict[str, Evidence]
    crashes: list[Crash]
    copy_state: CopyState | None = None
    size: int = 1


class FleetSummary(msgspec.Struct, kw_only=True, tag="summary"):
    """What all hosts together do, from their reports of the last second.

    :param hosts: those that were heard.
    :param size: the largest of their sizes.
    :param copy_state: of the sender's copy.
    """

    hosts: list[HostStatus]
    demands: dict[str, float]
    home_bound: dict[str, dict[str, HomeDemand]]
    evidence: dict[str, Evidence]
    crashes: list[Crash]
    copy_state: CopyState
    size: int = 1


class ObjectsChanged(msgspec.Struct, kw_only=True, tag="changed"):
    """Objects of one kind that a host has just read from the store, passed on.

    :param after: the objects are all that changed after this revision of the store,
    :param revision: up to this one; 0 where they are not all.
    """

    objects: list[StoredObject]
    after: int = 0
    revision: int = 0


class CopyRequest(msgspec.Struct, kw_only=True, tag="copy-request"):
    """Asks for all objects of some kinds."""

    kinds: list[Kind]


class CopyAnswer(msgspec.Struct, kw_only=True, tag="copy-answer"):
    """All objects of one kind that the sender holds."""

    kind: Kind
    listing: Listing


class TokenAsk(msgspec.Struct, kw_only=True, tag="token-ask"):
    """Asks the host that hands out a slice of a workspace's rate for one request.

    :param piece: number of the slice.
    :param number: tells the asker's questions apart.
    """

    workspace: str
    number: int
    piece: int = 0


class TokenAnswer(msgspec.Struct, kw_only=True, tag="token-answer"):
    """Whether the request may run; ``wait_s`` is how long until another one may."""

    number: int
    granted: bool
    wait_s: float


FleetMessage = (
    FleetReport
    | FleetSummary
    | ObjectsChanged
    | CopyRequest
    | CopyAnswer
    | TokenAsk
    | TokenAnswer
    | Heartbeat
)
