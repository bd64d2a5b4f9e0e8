"""Typed records that operators create, one class for each kind in its newest schema."""

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
    find_repeated,
)


class Workspace(msgspec.Struct, kw_only=True):
    """A customer's workspace, the unit of keys, rates and limits.

    :param title: name shown to people.
    :param connections_per_host: open connections one host accepts for the workspace.
    :param weight: weight in fair queueing.
    """

    title: Title = ""
    connections_per_host: NonNegativeInt = 1000
    weight: PositiveFloat = 1.0


class Key(msgspec.Struct, kw_only=True):
    """A caller's key, stored as a digest; the secret itself is shown once and never stored.

    :param workspace: name of the workspace whose requests the key admits.
    :param digest: hexadecimal SHA-256 digest of the secret.
    :param withdrawn: a withdrawn key is refused everywhere.
    """

    workspace: Name
    digest: Digest
    withdrawn: bool = False


class Rate(msgspec.Struct, kw_only=True):
    """What a workspace may send over all hosts together; the record is named as the workspace.

    :param requests_per_second: steady rate.
    :param burst: requests accepted at once after a quiet time.
    """

    requests_per_second: NonNegativeFloat
    burst: NonNegativeFloat

    def faults(self) -> t.Iterator[FieldFault]:
        """Return a burst that contradicts the rate."""
        if self.requests_per_second > 0 and self.burst < 1:
            yield FieldFault("burst", "below 1 it admits no request; set the rate to 0 as well")


class Backend(msgspec.Struct, kw_only=True):
    """One backend server of a service.

    :param address: ``IP:port``.
    :param slots: requests it runs at once.
    :param connections: connections it accepts from all hosts together.
    """

    name: Name
    address: Address
    region: Name
    data_center: Name
    version: Name = "1"
    slots: PositiveInt = 4
    connections: PositiveInt = 300


class Route(msgspec.Struct, kw_only=True):
    """Rules for the paths of a service that start with a prefix; the longest prefix applies.

    :param prefix: path prefix below the service's own.
    :param open: requests need no key.
    :param repeatable: a request may run more than once (idempotent).
    :param answer_bytes: expected size of an answer in bytes.
    """

    prefix: PathPrefix
    open: bool = False
    repeatable: bool = True
    answer_bytes: NonNegativeInt = 4096


class Service(msgspec.Struct, kw_only=True):
    """A service: where its backend servers are and how its routes are treated.

    :param path_prefix: requests whose path starts with it belong to the service.
    :param stable_version: version that gets all traffic no version move claims.
    :param deadline_s: longest time for one request, in seconds.
    """

    path_prefix: PathPrefix
    backends: list[Backend]
    routes: list[Route] = []
    stable_version: Name = "1"
    deadline_s: Seconds = 30.0

    def faults(self) -> t.Iterator[FieldFault]:
        """Return backend servers and routes given twice."""
        yield from find_repeated("backends", "name", [one.name for one in self.backends])
        yield from find_repeated("backends", "address", [one.address for one in self.backends])
        yield from find_repeated("routes", "prefix", [one.prefix for one in self.routes])


class Link(msgspec.Struct, kw_only=True):
    """The limit of a link between two regions, in bytes per second each way."""

    from_region: Name
    to_region: Name
    bytes_per_second: PositiveInt

    def faults(self) -> t.Iterator[FieldFault]:
        """Return a link that ends where it starts."""
        if self.from_region == self.to_region:
            yield FieldFault("to_region", "is the same as from_region")


class Drain(msgspec.Struct, kw_only=True):
    """Takes a backend server, data centre, region or host out of use until the record is deleted.

    :param deadline_s: seconds after which the drain counts as late.
    """

    scope: t.Literal["backend", "data_center", "region", "host"]
    target: Name
    service: OptionalName = ""
    deadline_s: Seconds = 60.0


class Move(msgspec.Struct, kw_only=True):
    """Moves a service's traffic from one version to another by a deadline.

    :param step: largest growth of the new version's share of traffic at once, 0 to 1.
    :param exposure: largest share while the new version is unproven, 0 to 1.
    """

    service: Name
    from_version: Name
    to_version: Name
    deadline_s: Seconds = 600.0
    step: Fraction = 0.1
    exposure: Fraction = 0.01

    def faults(self) -> t.Iterator[FieldFault]:
        """Return a move that ends where it starts."""
        if self.from_version == self.to_version:
            yield FieldFault("to_version", "is the same as from_version")


class ClientBlocks(msgspec.Struct, kw_only=True):
    """A packed part of the table of client blocks; see ``radishbridge.routing.blocks``.

    :param family: 4 or 6.
    :param sites: names that ``packed`` refers to by index.
    :param packed: base64 text of the packed blocks.
    """

    family: t.Literal[4, 6]
    sites: list[Name]
    packed: Base64Text


class Site(msgspec.Struct, kw_only=True):
    """A place that clients are near to: the data centres in order of preference."""

    data_centers: t.Annotated[list[Name], msgspec.Meta(min_length=1)]

    def faults(self) -> t.Iterator[FieldFault]:
        """Return data centres given twice."""
        yield from find_repeated("data_centers", "", self.data_centers)


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
