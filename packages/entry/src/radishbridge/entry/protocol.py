"""What the entry host needs of the platform it runs on; an adapter provides it."""

from __future__ import annotations

import enum
import typing as t

import msgspec

from radishbridge.records import Failure
from radishbridge.steering import Configuration, LoadReport, MoveOrder, MovePhase, Server


class Kind(enum.Enum):
    """The kinds of objects that every host holds a copy of."""

    CONFIGURATION = "configuration"
    SERVER = "server"
    MOVE = "move"
    DRAIN = "drain"
    HOST = "host"


class StoredObject(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One object at one version; ``value`` is its encoded form, ``None`` once it is deleted.

    :param version: revision of the store at the object's last change.
    """

    kind: Kind
    name: str
    version: int
    value: bytes | None


class Listing(msgspec.Struct, frozen=True, kw_only=True):
    """All objects of a kind at a revision of the store."""

    revision: int
    objects: list[StoredObject]


class HostEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One entry host as it has registered itself; addresses are ``IP:port``.

    :param peer_address: where it takes messages from other hosts; also its name.
    :param listen: where it takes callers' requests.
    :param link_mbps: bandwidth of its link in Mbit/s; 0 if unknown.
    :param cores: processor time that it has, in cores; 0 if unknown.
    """

    peer_address: str
    listen: str
    region: str
    data_center: str
    link_mbps: float = 0.0
    cores: float = 0.0


class DrainOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's order to send nothing to the backend servers of a data centre."""

    data_center: str


class MoveReport(msgspec.Struct, frozen=True, kw_only=True):
    """How a move stands.

    :param name: name of the order's object.
    :param version: version of that object which the report is about.
    """

    name: str
    version: int
    to_version: str
    phase: MovePhase


DecodedObject = Configuration | Server | MoveOrder | DrainOrder | HostEntry


class Decoder(t.Protocol):
    """Decodes stored objects into the product's types."""

    def decode(self, stored: StoredObject) -> DecodedObject | Failure:
        """Return what an object says, or ``RECORD_INVALID``."""


class FleetStore(t.Protocol):
    """The platform's store.

    A ``Failure`` in place of a value is ``STORE_UNAVAILABLE`` where nothing was done,
    ``WRITE_UNCLEAR`` where a write may have taken effect, ``WATCH_EXPIRED``,
    ``VERSION_CONFLICT`` or ``NOT_FOUND``.
    """

    async def list(self, kind: Kind, may_be_stale: bool = False) -> Listing | Failure:
        """Read all objects of a kind.

        :param may_be_stale: a listing of some seconds ago is good enough; its revision tells
            where a watch has to begin.
        """

    async def watch(self, kind: Kind, after: int, wait_s: float) -> Listing | Failure:
        """Wait for changes after a revision; without any, the listing is empty.

        :param wait_s: longest wait of the store in seconds.
        """

    async def register(self, entry: HostEntry) -> Failure | None:
        """Record this host."""

    async def unregister(self, name: str) -> Failure | None:
        """Remove a host's record."""

    async def report_move(self, report: MoveReport) -> Failure | None:
        """Record how a move stands."""


class RequestMetadata(t.NamedTuple):
    """What a caller's headers say.

    :param request_id: unique for each attempt of the caller.
    :param deadline_s: seconds that the caller waits; ``None`` where it does not say.
    :param key: the caller's key, empty where it shows none.
    :param affinity: what names the object that the request is about.
    """

    request_id: str
    deadline_s: float | None
    key: str
    affinity: str


class ResponseMetadata(t.NamedTuple):
    """What the headers of a backend server's answer say.

    :param request_id: the request that it answers; empty where it does not say.
    :param is_signed: it carries the server's proof that it ran the request.
    :param not_run: it states that the request did not run.
    :param misdirected: another server has the address now.
    :param load: the server's report of its load.
    :param is_encoded: the body is not the server's own bytes.
    """

    request_id: str
    is_signed: bool
    not_run: bool
    misdirected: bool
    load: LoadReport | None
    is_encoded: bool


Headers = t.Sequence[tuple[bytes, bytes]]


class HeaderCodec(t.Protocol):
    """The names of headers between callers, this host and backend servers."""

    def read_request(self, headers: t.Mapping[str, str]) -> RequestMetadata | Failure:
        """Decode a caller's headers."""

    def server_headers(
        self, headers: Headers, server: Server, workspace: str, remaining_s: float
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers for a backend server; the caller's key is not among them."""

    def read_response(self, status: int, headers: Headers) -> ResponseMetadata:
        """Decode the headers of a backend server's answer."""
