"""Interfaces between the entry host and the platform that it runs on."""

from __future__ import annotations

import enum
import typing as t

import msgspec

from radishbridge.records import Failure
from radishbridge.steering import Configuration, LoadReport, MoveOrder, MovePhase, Server

# Versions are revisions of the store, which are counted from 1.
VERSION_MAX = 2**63 - 1


class Kind(enum.Enum):
    """The kinds of objects in the store; every host holds a copy of them."""

    CONFIGURATION = "configuration"
    SERVER = "server"
    MOVE = "move"
    DRAIN = "drain"
    HOST = "host"


class StoredObject(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One object at one version.

    :param version: revision of the store at the object's last change.
    :param value: the encoded object; ``None`` if it was deleted.
    :param fault: why the object cannot be decoded, if that is known; its value is then empty.
    """

    kind: Kind
    name: str
    version: t.Annotated[int, msgspec.Meta(ge=0, le=VERSION_MAX)]
    value: bytes | None
    fault: str = ""


class Listing(msgspec.Struct, frozen=True, kw_only=True):
    """All objects of a kind at a revision of the store."""

    revision: t.Annotated[int, msgspec.Meta(ge=0, le=VERSION_MAX)]
    objects: list[StoredObject]


class HostEntry(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One entry host as it registered itself; addresses are ``IP:port``.

    :param peer_address: where it accepts messages from other hosts; also its name.
    :param listen: where it accepts callers' requests.
    :param link_mbps: bandwidth of its link in Mbit/s; 0 if unknown.
    :param cores: number of processor cores, possibly a fraction; 0 if unknown.
    :param relays: it passes messages on to the other hosts of its data centre.
    :param is_questioned: other hosts have no contact to it, and use its share of the rates unless
        it replaces this entry by one that is not questioned.
    """

    peer_address: str
    listen: str
    region: str
    data_center: str
    link_mbps: float = 0.0
    cores: float = 0.0
    relays: bool = False
    is_questioned: bool = False


class DrainOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's order to send no requests to the backend servers of a data centre."""

    data_center: str


class PlaceRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The places of a service's servers, for hosts that have not seen the servers change.

    :param sequence: number of the record; the highest one of a service applies.
    :param places: place ids by server name.
    """

    service: str
    sequence: int
    places: dict[str, str]


class MoveReport(msgspec.Struct, frozen=True, kw_only=True):
    """The status of a version move.

    :param name: name of the order's object.
    :param version: version of that object at the time of the report.
    :param to_version: version of the service that the order asks for.
    """

    name: str
    version: int
    to_version: str
    phase: MovePhase


DecodedObject = Configuration | Server | MoveOrder | DrainOrder | HostEntry | PlaceRecord


class Decoder(t.Protocol):
    """Decodes stored objects."""

    def decode(self, stored: StoredObject) -> DecodedObject | Failure:
        """Return the decoded object, or a failure with ``RECORD_INVALID``."""


class FleetStore(t.Protocol):
    """The platform's store.

    Methods return a ``Failure`` with ``STORE_UNAVAILABLE`` if nothing was done,
    ``WRITE_UNCLEAR`` if a write may have taken effect, ``WATCH_EXPIRED``, ``VERSION_CONFLICT`` or
    ``NOT_FOUND``.
    """

    async def list(self, kind: Kind, may_be_stale: bool = False) -> Listing | Failure:
        """Read all objects of a kind.

        :param may_be_stale: a listing some seconds old is good enough; a watch that begins at its
            revision returns the changes since then.
        """

    async def watch(self, kind: Kind, after: int, wait_s: float) -> Listing | Failure:
        """Wait for changes after a revision; if there are none, return an empty listing.

        :param wait_s: longest time in seconds that the store waits for a change.
        """

    async def register(self, entry: HostEntry) -> Failure | None:
        """Write a host's entry."""

    async def replace_host(self, entry: HostEntry, version: int) -> Failure | None:
        """Replace a host's entry, if it has this version."""

    async def unregister(self, name: str, version: int | None = None) -> Failure | None:
        """Remove a host's entry.

        :param version: remove only this version; ``None`` for any.
        """

    async def record_places(self, record: PlaceRecord) -> Failure | None:
        """Create a record of places; ``VERSION_CONFLICT`` if one of its sequence exists."""

    async def remove_places(self, record: PlaceRecord) -> Failure | None:
        """Remove a record of places; a missing one is no failure."""

    async def report_move(self, report: MoveReport) -> Failure | None:
        """Write the status of a version move."""


class RequestMetadata(t.NamedTuple):
    """What the headers of a caller's request contain.

    :param request_id: unique for each attempt of the caller.
    :param deadline_s: seconds that the caller waits; ``None`` if not given.
    :param key: the caller's key; empty if not given.
    :param affinity: identifies the object that the request is about.
    """

    request_id: str
    deadline_s: float | None
    key: str
    affinity: str


class ResponseMetadata(t.NamedTuple):
    """What the headers of a backend server's response contain.

    :param request_id: id of the request that it answers; empty if not given.
    :param is_signed: it carries the server's proof that it ran the request.
    :param not_run: it states that the request did not run.
    :param server: name of the server that answers; empty if not given.
    :param load: the server's report of its load.
    :param is_encoded: the body has a content encoding, so its bytes are not the server's own.
    """

    request_id: str
    is_signed: bool
    not_run: bool
    server: str
    load: LoadReport | None
    is_encoded: bool


class ResponseNotice(t.NamedTuple):
    """What the head of a backend server's response says of the server itself.

    :param request_id: id of the request that it answers; empty if not given.
    :param is_leaving: the server is shutting down.
    :param pause_s: time in seconds for which the server wants no requests; 0 if it does not say.
    :param odd_header: a header about these two that can't be understood; empty if there is none.
    """

    request_id: str
    is_leaving: bool
    pause_s: float
    odd_header: str


class ServerCheck(t.NamedTuple):
    """A backend server's response to a status check.

    :param server: name of the server that answers.
    :param cold_for_s: rest of its slow start in seconds.
    """

    server: str
    cold_for_s: float


Headers = t.Sequence[tuple[bytes, bytes]]


class HeaderCodec(t.Protocol):
    """Reads and writes the headers of callers' requests and backend servers' responses."""

    def read_request(self, headers: t.Mapping[str, str]) -> RequestMetadata | Failure:
        """Decode the headers of a caller's request."""

    def server_headers(
        self, headers: Headers, server: Server, workspace: str, remaining_s: float
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers for a backend server, without the caller's key.

        :param remaining_s: seconds until the request's deadline.
        """

    def failure_headers(self, headers: Headers) -> dict[str, str]:
        """Return the headers that name the request which the host itself answers, if any can."""

    def read_response(self, status: int, headers: Headers) -> ResponseMetadata:
        """Decode the headers of a backend server's response."""

    def read_notice(self, status: int, headers: Headers) -> ResponseNotice | None:
        """Decode what a response says of its server; ``None`` if it says nothing."""

    def read_check(self, headers: Headers) -> ServerCheck | None:
        """Decode a response to a status check; ``None`` if it does not state the slow start."""
