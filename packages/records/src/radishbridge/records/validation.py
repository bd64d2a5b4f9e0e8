"""Validation of records before they are written: fields, schemas, names and references."""

from __future__ import annotations

import typing as t

from radishbridge.records.check import find_faults
from radishbridge.records.codes import ResultCode
from radishbridge.records.failures import Failure
from radishbridge.records.fields import FieldFault, Name
from radishbridge.records.schemas import check_schema, read_body
from radishbridge.records.types import (
    ClientBlocks,
    Drain,
    Key,
    Move,
    Rate,
    RecordBody,
    Service,
)

Lookup = t.Callable[[str, str], RecordBody | None]


def validate_body(
    kind: str,
    name: str,
    spec: dict[str, t.Any],
    schema: int,
    lookup: Lookup | None = None,
) -> RecordBody | list[Failure]:
    """Validate one record and convert it to its typed body.

    :param schema: schema version of ``spec``.
    :param lookup: returns the body of another record by kind and name; without it references
        to other records are not checked.
    :return: the body in the newest schema, or a failure for each fault. Paths of fields are
        relative to ``spec``, except for the fields ``kind``, ``name`` and ``schema``.
    """
    failure = check_schema(kind, schema)
    if failure is not None:
        return [failure]
    faults = [
        Failure(ResultCode.RECORD_INVALID, fault.reason, "name")
        for fault in find_faults(name, Name)
    ]
    body = read_body(kind, spec, schema)
    if isinstance(body, list):
        return faults + body
    if lookup is not None:
        faults += [
            Failure(ResultCode.RECORD_INVALID, fault.reason, fault.field)
            for fault in _reference_faults(name, body, lookup)
        ]
    return faults or body


def _reference_faults(name: str, body: RecordBody, lookup: Lookup) -> t.Iterator[FieldFault]:
    match body:
        case Key():
            yield from _missing_reference_faults(lookup, "workspace", body.workspace, "workspace")
        case Rate():
            yield from _missing_reference_faults(lookup, "workspace", name, "name")
        case Service():
            yield from _version_faults(body, body.stable_version, "stable_version")
        case ClientBlocks():
            for index, site in enumerate(body.sites):
                yield from _missing_reference_faults(lookup, "site", site, f"sites.{index}")
        case Drain():
            yield from _drain_faults(body, lookup)
        case Move():
            yield from _move_faults(body, lookup)


def _missing_reference_faults(
    lookup: Lookup, kind: str, name: str, field: str
) -> t.Iterator[FieldFault]:
    if lookup(kind, name) is None:
        yield FieldFault(field, f"no {kind} has this name")


def _version_faults(service: Service, version: str, field: str) -> t.Iterator[FieldFault]:
    if service.backends and all(backend.version != version for backend in service.backends):
        yield FieldFault(field, "no backend server of the service has this version")


def _drain_faults(drain: Drain, lookup: Lookup) -> t.Iterator[FieldFault]:
    if not drain.service:
        return
    service = lookup("service", drain.service)
    if not isinstance(service, Service):
        yield FieldFault("service", "no service has this name")
    elif drain.scope == "backend" and all(b.name != drain.target for b in service.backends):
        yield FieldFault("target", "no backend server of the service has this name")


def _move_faults(move: Move, lookup: Lookup) -> t.Iterator[FieldFault]:
    service = lookup("service", move.service)
    if not isinstance(service, Service):
        yield FieldFault("service", "no service has this name")
        return
    yield from _version_faults(service, move.to_version, "to_version")
    # When the move has completed, its target version is the stable one.
    if service.stable_version not in (move.from_version, move.to_version):
        yield FieldFault("from_version", "is not the stable version of the service")
