"""Typed bodies of the records that operators create, one class per kind in its newest schema."""

from __future__ import annotations

import typing as t

import msgspec

from radishbridge.records.fields import (
    Address,
    Base64Text,
    Digest,
    FieldFault,
    Fraction,
    Name,
    NonNegativeFloat,
    NonNegativeInt,
    OptionalName,
    PathPrefix,
    PositiveFloat,
    PositiveInt,
    Seconds,
    Title,
    find_duplicates,
)


class Workspace(msgspec.Struct, kw_only=True):
    """A customer's workspace, to which keys, rates and limits apply.

    :param title: display name.
    :param connections_per_host: maximum number of open connections from the workspace to a host.
    :param weight: weight in fair queueing.
    """

    title: Title = ""
    connections_per_host: NonNegativeInt = 1000
    weight: PositiveFloat = 1.0


class Key(msgspec.Struct, kw_only=True):
    """A caller's key, stored as a digest; the secret is shown once and never stored.

    :param workspace: name of the workspace whose requests the key authenticates.
    :param digest: hexadecimal SHA-256 digest of the secret.
    :param withdrawn: the key is revoked and refused by all hosts.
    """

    workspace: Name
    digest: Digest
    withdrawn: bool = False


class Rate(msgspec.Struct, kw_only=True):
    """Rate limit of a workspace over all hosts; the record has the workspace's name.

    :param requests_per_second: sustained rate.
    :param burst: token bucket size, the number of requests accepted at once after an idle time.
    """

    requests_per_second: NonNegativeFloat
    burst: NonNegativeFloat

    def faults(self) -> t.Iterator[FieldFault]:
        """Return a burst too small for any request although the rate allows requests."""
        if self.requests_per_second > 0 and self.burst < 1:
            yield FieldFault(
                "burst", "a burst below 1 admits no request; set the rate to 0 as well"
            )


class Backend(msgspec.Struct, kw_only=True):
    """One backend server of a service.

    :param address: ``IP:port``.
    :param slots: maximum number of concurrent requests.
    :param connections: maximum number of connections from all hosts together.
    """

    name: Name
    address: Address
    region: Name
    data_center: Name
    version: Name = "1"
    slots: PositiveInt = 4
    connections: PositiveInt = 300


class Route(msgspec.Struct, kw_only=True):
    """Rules for the paths of a service with a prefix; the longest matching prefix applies.

    :param prefix: path prefix, relative to the service's.
    :param open: requests need no key.
    :param repeatable: requests are idempotent and may run more than once.
    :param answer_bytes: expected size of a response in bytes.
    """

    prefix: PathPrefix
    open: bool = False
    repeatable: bool = True
    answer_bytes: NonNegativeInt = 4096


class Service(msgspec.Struct, kw_only=True):
    """A service with its backend servers and routes.

    :param path_prefix: prefix of the paths of the service's requests.
    :param stable_version: version that receives all traffic not directed elsewhere by a move.
    :param deadline_s: maximum duration of a request, in seconds.
    """

    path_prefix: PathPrefix
    backends: list[Backend]
    routes: list[Route] = []
    stable_version: Name = "1"
    deadline_s: Seconds = 30.0

    def faults(self) -> t.Iterator[FieldFault]:
        """Return duplicate backend servers and routes."""
        yield from find_duplicates("backends", "name", [backend.name for backend in self.backends])
        yield from find_duplicates(
            "backends", "address", [backend.address for backend in self.backends]
        )
        yield from find_duplicates("routes", "prefix", [route.prefix for route in self.routes])


class Link(msgspec.Struct, kw_only=True):
    """Bandwidth limit of a link between two regions, in bytes per second in each direction."""

    from_region: Name
    to_region: Name
    bytes_per_second: PositiveInt

    def faults(self) -> t.Iterator[FieldFault]:
        """Return a link from a region to itself."""
        if self.from_region == self.to_region:
            yield FieldFault("to_region", "is the same as from_region")


class Drain(msgspec.Struct, kw_only=True):
    """Takes a backend server, data centre, region or host out of use until the record is deleted.

    :param deadline_s: time in seconds after which the drain counts as late.
    """

    scope: t.Literal["backend", "data_center", "region", "host"]
    target: Name
    service: OptionalName = ""
    deadline_s: Seconds = 60.0


class Move(msgspec.Struct, kw_only=True):
    """Moves a service's traffic from one version to another by a deadline.

    :param step: maximum increase of the new version's share of traffic in one step, 0 to 1.
    :param exposure: maximum share of the new version until it is proven good, 0 to 1.
    """

    service: Name
    from_version: Name
    to_version: Name
    deadline_s: Seconds = 600.0
    step: Fraction = 0.1
    exposure: Fraction = 0.01

    def faults(self) -> t.Iterator[FieldFault]:
        """Return a move from a version to itself."""
        if self.from_version == self.to_version:
            yield FieldFault("to_version", "is the same as from_version")


class ClientBlocks(msgspec.Struct, kw_only=True):
    """A packed part of the table of client address blocks; see ``radishbridge.routing.blocks``.

    :param family: IP version, 4 or 6.
    :param sites: names of sites, which ``packed`` refers to by index.
    :param packed: the packed blocks, encoded as base64.
    """

    family: t.Literal[4, 6]
    sites: list[Name]
    packed: Base64Text


class Site(msgspec.Struct, kw_only=True):
    """A location of clients, with the data centres in its order of preference."""

    data_centers: t.Annotated[list[Name], msgspec.Meta(min_length=1)]

    def faults(self) -> t.Iterator[FieldFault]:
        """Return duplicate data centres."""
        yield from find_duplicates("data_centers", "", self.data_centers)


RecordBody = Workspace | Key | Rate | Service | Link | Drain | Move | ClientBlocks | Site

KINDS: dict[str, type[RecordBody]] = {
    "workspace": Workspace,
    "key": Key,
    "rate": Rate,
    "service": Service,
    "link": Link,
    "drain": Drain,
    "move": Move,
    "client-blocks": ClientBlocks,
    "site": Site,
}
