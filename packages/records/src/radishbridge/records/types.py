"""Typed records that operators create, one class for each kind in its newest schema."""

from __future__ import annotations

import typing as t

import msgspec


class Workspace(msgspec.Struct, kw_only=True):
    """A customer's workspace, the unit of keys, rates and limits.

    :param title: name shown to people.
    :param connections_per_host: open connections one host accepts for the workspace.
    :param weight: weight in fair queueing.
    """

    title: str = ""
    connections_per_host: int = 1000
    weight: float = 1.0


class Key(msgspec.Struct, kw_only=True):
    """A caller's key, stored as a digest; the secret itself is shown once and never stored.

    :param workspace: name of the workspace whose requests the key admits.
    :param digest: hexadecimal SHA-256 digest of the secret.
    :param withdrawn: a withdrawn key is refused everywhere.
    """

    workspace: str
    digest: str
    withdrawn: bool = False


class Rate(msgspec.Struct, kw_only=True):
    """What a workspace may send over all hosts together; the record is named as the workspace.

    :param requests_per_second: steady rate.
    :param burst: requests accepted at once after a quiet time.
    """

    requests_per_second: float
    burst: float


class Backend(msgspec.Struct, kw_only=True):
    """One backend server of a service.

    :param address: ``IP:port``.
    :param slots: requests it runs at once.
    :param connections: connections it accepts from all hosts together.
    """

    name: str
    address: str
    region: str
    data_center: str
    version: str = "1"
    slots: int = 4
    connections: int = 300


class Route(msgspec.Struct, kw_only=True):
    """Rules for the paths of a service that start with a prefix; the longest prefix applies.

    :param prefix: path prefix below the service's own.
    :param open: requests need no key.
    :param repeatable: a request may run more than once (idempotent).
    :param answer_bytes: expected size of an answer in bytes.
    """

    prefix: str
    open: bool = False
    repeatable: bool = True
    answer_bytes: int = 4096


class Service(msgspec.Struct, kw_only=True):
    """A service: where its backend servers are and how its routes are treated.

    :param path_prefix: requests whose path starts with it belong to the service.
    :param stable_version: version that gets all traffic no version move claims.
    :param deadline_s: longest time for one request, in seconds.
    """

    path_prefix: str
    backends: list[Backend]
    routes: list[Route] = []
    stable_version: str = "1"
    deadline_s: float = 30.0


class Link(msgspec.Struct, kw_only=True):
    """The limit of a link between two regions, in bytes per second each way."""

    from_region: str
    to_region: str
    bytes_per_second: int


class Drain(msgspec.Struct, kw_only=True):
    """Takes a backend server, data centre, region or host out of use until the record is deleted.

    :param deadline_s: seconds after which the drain counts as late.
    """

    scope: t.Literal["backend", "data_center", "region", "host"]
    target: str
    service: str = ""
    deadline_s: float = 60.0


class Move(msgspec.Struct, kw_only=True):
    """Moves a service's traffic from one version to another by a deadline.

    :param step: largest growth of the new version's share of traffic at once, 0 to 1.
    :param exposure: largest share while the new version is unproven, 0 to 1.
    """

    service: str
    from_version: str
    to_version: str
    deadline_s: float = 600.0
    step: float = 0.1
    exposure: float = 0.01


class ClientBlocks(msgspec.Struct, kw_only=True):
    """A packed part of the table of client blocks; see ``radishbridge.routing.blocks``.

    :param family: 4 or 6.
    :param sites: names that ``packed`` refers to by index.
    :param packed: base64 text of the packed blocks.
    """

    family: t.Literal[4, 6]
    sites: list[str]
    packed: str


class Site(msgspec.Struct, kw_only=True):
    """A place that clients are near to: the data centres in order of preference."""

    data_centers: list[str]


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
