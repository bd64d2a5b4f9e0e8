"""Older schema versions of records and their conversion to the newest version."""

from __future__ import annotations

import typing as t

import msgspec

from radishbridge.records.check import check_value, find_faults
from radishbridge.records.codes import ResultCode
from radishbridge.records.failures import Failure
from radishbridge.records.fields import (
    Address,
    Name,
    NonNegativeFloat,
    PathPrefix,
    PositiveInt,
    Seconds,
)
from radishbridge.records.merge import merge_spec
from radishbridge.records.types import KINDS, Backend, Rate, RecordBody, Route, Service

SECONDS_PER_MINUTE = 60


class OlderBody(t.Protocol):
    """A record body in an older schema version."""

    def upgrade(self) -> OlderBody | RecordBody:
        """Return the body in the next schema version."""


class RateV1(msgspec.Struct, kw_only=True):
    """Schema 1 of a rate, in requests per minute."""

    requests_per_minute: NonNegativeFloat
    burst: NonNegativeFloat

    def upgrade(self) -> Rate:
        """Return the body in schema 2."""
        per_second = self.requests_per_minute / SECONDS_PER_MINUTE
        return Rate(requests_per_second=per_second, burst=self.burst)


class BackendV1(msgspec.Struct, kw_only=True):
    """A backend server in schema 1 of a service, without its own number of slots."""

    name: Name
    address: Address
    region: Name
    data_center: Name
    version: Name = "1"


class ServiceV1(msgspec.Struct, kw_only=True):
    """Schema 1 of a service, with lists of prefixes instead of routes.

    :param slots_per_backend: concurrent requests of each backend server.
    :param open_prefixes: prefixes, relative to the service's, whose requests need no key.
    :param unrepeatable_prefixes: prefixes, relative to the service's, whose requests may run at
        most once.
    """

    path_prefix: PathPrefix
    backends: list[BackendV1]
    slots_per_backend: PositiveInt = 4
    open_prefixes: list[PathPrefix] = []
    unrepeatable_prefixes: list[PathPrefix] = []
    stable_version: Name = "1"
    deadline_s: Seconds = 30.0

    def upgrade(self) -> Service:
        """Return the body in schema 2."""
        backends = [
            Backend(**msgspec.structs.asdict(backend), slots=self.slots_per_backend)
            for backend in self.backends
        ]
        return Service(
            path_prefix=self.path_prefix,
            backends=backends,
            routes=self._routes(),
            stable_version=self.stable_version,
            deadline_s=self.deadline_s,
        )

    def _routes(self) -> list[Route]:
        prefixes = sorted({*self.open_prefixes, *self.unrepeatable_prefixes})
        # Schema 1 matches each list separately, schema 2 applies only the longest matching prefix.
        return [
            Route(
                prefix=prefix,
                open=prefix.startswith(tuple(self.open_prefixes)),
                repeatable=not prefix.startswith(tuple(self.unrepeatable_prefixes)),
            )
            for prefix in prefixes
        ]


OLDER_BODY_TYPES: dict[str, list[type[t.Any]]] = {"rate": [RateV1], "service": [ServiceV1]}

SCHEMA_VERSIONS: dict[str, int] = {kind: len(OLDER_BODY_TYPES.get(kind, ())) + 1 for kind in KINDS}


def body_type(kind: str, schema: int) -> type[t.Any]:
    """Return the type of a kind's body in a known schema version."""
    body_types: list[type[t.Any]] = [*OLDER_BODY_TYPES.get(kind, ()), KINDS[kind]]
    return body_types[schema - 1]


def check_schema(kind: str, schema: int) -> Failure | None:
    """Return a failure if a kind or its schema version is unknown."""
    if kind not in KINDS:
        return Failure(ResultCode.RECORD_INVALID, "unknown kind", "kind")
    if schema > SCHEMA_VERSIONS[kind]:
        reason = f"schema {schema} is newer than {SCHEMA_VERSIONS[kind]}"
        return Failure(ResultCode.SCHEMA_TOO_NEW, reason, "schema")
    if schema < 1:
        return Failure(ResultCode.RECORD_INVALID, "schema versions start at 1", "schema")
    return None


def read_body(kind: str, spec: object, schema: int) -> RecordBody | list[Failure]:
    """Validate a spec of any known schema and convert it to a body of the newest schema.

    :return: the body, or a failure for each fault, with the field's path in the given schema.
    """
    body = check_value(spec, body_type(kind, schema))
    if isinstance(body, list):
        return body
    for _ in range(schema, SCHEMA_VERSIONS[kind]):
        body = body.upgrade()
    if schema < SCHEMA_VERSIONS[kind]:
        faults = find_faults(msgspec.to_builtins(body), KINDS[kind])
        if faults:
            return [
                Failure(ResultCode.RECORD_INVALID, fault.reason, fault.field) for fault in faults
            ]
    return t.cast(RecordBody, body)


def upgrade_spec(
    kind: str, spec: dict[str, t.Any], schema: int
) -> dict[str, t.Any] | list[Failure]:
    """Convert a spec to the kind's newest schema, keeping unknown fields.

    :return: the spec, or a failure for each fault.
    """
    if schema == SCHEMA_VERSIONS[kind]:
        return spec
    body = read_body(kind, spec, schema)
    if isinstance(body, list):
        return body
    return merge_spec(spec, msgspec.to_builtins(body), body_type(kind, schema))
