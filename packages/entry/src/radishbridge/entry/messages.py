"""Messages between entry hosts."""

from __future__ import annotations

import typing as t

import msgspec

from radishbridge.entry.protocol import VERSION_MAX, Kind, Listing, StoredObject
from radishbridge.peers import Heartbeat
from radishbridge.steering import Evidence, HomeDemand
from radishbridge.steering.usage_counts import UsageNews, UsageReport

# Ranges of numbers in messages, beyond which a message counts as malformed.
AMOUNT_MAX = 1e12
COUNT_MAX = 2**53
HOSTS_MAX = 1_000_000

Amount = t.Annotated[float, msgspec.Meta(ge=0.0, le=AMOUNT_MAX)]
Count = t.Annotated[int, msgspec.Meta(ge=0, le=COUNT_MAX)]
FleetSize = t.Annotated[int, msgspec.Meta(ge=1, le=HOSTS_MAX)]
Revision = t.Annotated[int, msgspec.Meta(ge=0, le=VERSION_MAX)]


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A request that was in flight at a backend server when the server crashed.

    :param fingerprint: of the request.
    :param server: name of the server.
    :param incarnation: start of the server's process; 0 if unknown.
    :param age_s: time in seconds between the crash and the report.
    """

    fingerprint: bytes
    server: str
    incarnation: Count = 0
    age_s: Amount = 0.0


class Rejected(msgspec.Struct, frozen=True, array_like=True):
    """A request that is rejected because it crashed backend servers.

    :param fingerprint: of the request.
    :param crashes: number of crashes at which it was in flight.
    :param age_s: time in seconds since the last of them.
    """

    fingerprint: bytes
    crashes: Count
    age_s: Amount


class ColdReport(msgspec.Struct, frozen=True, array_like=True):
    """A backend server that a status check found in its slow start.

    :param server: name of the server.
    :param incarnation: start of the server's process as its entry states it; 0 if unknown.
    :param cold_for_s: rest of the slow start in seconds.
    """

    server: str
    incarnation: Count
    cold_for_s: Amount


class HostStatus(msgspec.Struct, frozen=True, array_like=True):
    """A host's status, as it reports it to the others.

    :param name: the host's peer address.
    :param is_ready: it accepts requests.
    :param is_leaving: it was told to stop.
    :param reaches_store: the store answered its recent calls, if it made any.
    :param is_overloaded: its responses are delayed by a lack of processor time or bandwidth.
    :param report_number: number of the report that contains this status; each host counts its
        reports from 1 since its start.
    """

    name: str
    is_ready: bool
    is_leaving: bool
    reaches_store: bool
    is_overloaded: bool = False
    report_number: Count = 0


class CopyState(msgspec.Struct, frozen=True, array_like=True):
    """A summary of a host's copy of the store, to find out whether another copy is behind.

    :param revisions: revision by kind up to which the copy holds all changes.
    :param digests: digest by kind of the copy's objects.
    """

    revisions: dict[Kind, Revision]
    digests: dict[Kind, int]


class FleetReport(msgspec.Struct, kw_only=True, tag="report", omit_defaults=True):
    """One host's report to the aggregators.

    :param demands: requests per second by workspace.
    :param home_bound: demand of requests with one home region, by service and region.
    :param evidence: results of requests by service with a version move, counted since the order.
    :param crashes: crashes of the last seconds.
    :param cleared: fingerprints of suspects that a server has run to their end meanwhile.
    :param rejected: requests that crashed servers, for hosts that have not seen the crashes; only
        aggregators send them.
    :param copy_state: state of the sender's copy; the aggregator's own copy may be behind.
    :param cold_servers: servers found cold by status checks of the last seconds; made only while
        the store is silent.
    :param size: largest number of registered hosts that the sender has recently known.
    :param usage: counts for the usage reports; unset where no such reports are made.
    :param loads: what servers that report pace reported since the last report, encoded by
        ``load_exchange``; unset without such servers.
    """

    status: HostStatus = msgspec.field(name="sight")
    demands: dict[str, Amount]
    home_bound: dict[str, dict[str, HomeDemand]]
    evidence: dict[str, Evidence]
    crashes: list[Crash]
    cleared: list[bytes] = []
    rejected: list[Rejected] = []
    copy_state: CopyState | None = None
    size: FleetSize = 1
    usage: UsageReport | msgspec.UnsetType = msgspec.UNSET
    loads: bytes | msgspec.UnsetType = msgspec.UNSET
    cold_servers: list[ColdReport] = []


class FleetSummary(msgspec.Struct, kw_only=True, tag="summary", omit_defaults=True):
    """An aggregator's summary of all hosts' reports of the last second.

    :param hosts: status of the hosts whose reports are included.
    :param demands: requests per second by workspace, of all of them.
    :param home_bound: demand of requests with one home region, by service and region.
    :param evidence: results of requests by service with a version move.
    :param crashes: crashes of the last seconds.
    :param cleared: fingerprints of suspects that a server has run to their end meanwhile.
    :param rejected: requests that crashed servers, for hosts that have not seen the crashes; only
        aggregators send them.
    :param copy_state: state of the aggregator's copy.
    :param cold_servers: servers found cold by status checks of the last seconds.
    :param size: the largest of the reported sizes.
    :param usage: for the usage reports; unset where no such reports are made.
    :param loads: what servers that report pace reported to any host since the last summary.
    """

    hosts: list[HostStatus]
    demands: dict[str, Amount]
    home_bound: dict[str, dict[str, HomeDemand]]
    evidence: dict[str, Evidence]
    crashes: list[Crash]
    copy_state: CopyState
    cleared: list[bytes] = []
    rejected: list[Rejected] = []
    size: FleetSize = 1
    usage: UsageNews | msgspec.UnsetType = msgspec.UNSET
    loads: bytes | msgspec.UnsetType = msgspec.UNSET
    cold_servers: list[ColdReport] = []


class ObjectsChanged(msgspec.Struct, kw_only=True, tag="changed"):
    """Objects of one kind that a store follower has just read, sent to all other hosts.

    :param after: revision of the store after which the objects are all the changes up to
        ``revision``.
    :param revision: 0 if some changes may be missing.
    """

    objects: list[StoredObject]
    after: Revision = 0
    revision: Revision = 0


class Relayed(msgspec.Struct, kw_only=True, tag="relayed"):
    """A message for all hosts that a relay gets, or that it passes on in its data centre.

    :param origin: the host that sent the message.
    :param is_final: the receiver does not pass it on.
    """

    origin: str
    message: FleetSummary | ObjectsChanged
    is_final: bool = False


class CopyRequest(msgspec.Struct, kw_only=True, tag="copy-request"):
    """Requests all objects of some kinds."""

    kinds: list[Kind]


class CopyAnswer(msgspec.Struct, kw_only=True, tag="copy-answer"):
    """All objects of one kind that the sender holds."""

    kind: Kind
    listing: Listing


class TokenAsk(msgspec.Struct, kw_only=True, tag="token-ask"):
    """Requests a token from the host that owns a slice of a workspace's rate.

    :param request_number: identifies the request at its sender.
    :param slice_number: number of the slice.
    """

    workspace: str
    request_number: Count = msgspec.field(name="number")
    slice_number: Count = msgspec.field(name="piece", default=0)


class TokenAnswer(msgspec.Struct, kw_only=True, tag="token-answer"):
    """Whether the token was granted.

    :param request_number: number of the request that this answers.
    :param wait_s: seconds until the next token is available.
    """

    request_number: Count = msgspec.field(name="number")
    granted: bool
    wait_s: Amount


FleetMessage = (
    FleetReport
    | FleetSummary
    | ObjectsChanged
    | Relayed
    | CopyRequest
    | CopyAnswer
    | TokenAsk
    | TokenAnswer
    | Heartbeat
)
