"""Writes records by conditional update."""

from __future__ import annotations

import typing as t

import msgspec

from radishbridge.client.manifest import Manifest, StoredRecord, read_stored
from radishbridge.client.references import check_body
from radishbridge.records import (
    SCHEMA_VERSIONS,
    Failure,
    RecordBody,
    ResultCode,
    StoredValue,
    body_type,
    merge_spec,
    upgrade_spec,
)
from radishbridge.store import ObjectStore, StoredObject, write_resolved

Change = t.Literal["created", "changed", "unchanged", "deleted"]
WRITE_ATTEMPTS = 5

T = t.TypeVar("T")


class Written(msgspec.Struct, kw_only=True):
    """One record after a command.

    :param version: store version that is to be in force.
    """

    kind: str
    name: str
    version: int
    change: Change

    def line(self) -> str:
        """Return the record as a line for people."""
        return f"{self.kind}/{self.name}: {self.change}, version {self.version}"


async def read_record(store: ObjectStore, kind: str, name: str) -> StoredRecord | Failure:
    """Read a record; one that is missing has version 0, one that was deleted is a tombstone."""
    held = await store.get(kind, name)
    if not isinstance(held, Failure):
        return read_stored(held)
    if held.code is ResultCode.NOT_FOUND:
        return StoredRecord(kind=kind, name=name, version=0, schema=SCHEMA_VERSIONS[kind])
    return held


async def require_record(store: ObjectStore, kind: str, name: str) -> StoredRecord | Failure:
    """Read a record that has to exist; ``NOT_FOUND`` where it is missing or deleted."""
    held = await read_record(store, kind, name)
    if isinstance(held, Failure) or held.exists:
        return held
    what = "was deleted" if held.deleted else "does not exist"
    return Failure(ResultCode.NOT_FOUND, f"{kind}/{name} {what}")


async def write_manifest(
    store: ObjectStore, manifest: Manifest, held: StoredRecord
) -> Written | Failure:
    """Write a record over the version that was read, if that makes a difference."""
    if held.schema > SCHEMA_VERSIONS[manifest.kind]:
        reason = f"{held.kind}/{held.name} is stored with schema {held.schema}"
        return Failure(ResultCode.SCHEMA_TOO_NEW, reason)
    if held.exists and (held.schema, held.spec) == (manifest.schema, manifest.spec):
        return Written(kind=held.kind, name=held.name, version=held.version, change="unchanged")
    stored = await put_value(store, held, manifest.value())
    if isinstance(stored, Failure):
        return stored
    return _written(stored, "changed" if held.exists else "created")


async def create_record(
    store: ObjectStore, kind: str, name: str, body: RecordBody, reuse: bool = False
) -> Written | list[Failure]:
    """Check and write a record that must not exist yet.

    :param reuse: the name of a deleted record may be used again.
    """
    held = await read_record(store, kind, name)
    if isinstance(held, Failure):
        return [held]
    if held.exists or (held.deleted and not reuse):
        what = "exists" if held.exists else "was used and deleted"
        return [Failure(ResultCode.ALREADY_EXISTS, f"{kind}/{name} {what}")]
    spec = msgspec.to_builtins(body)
    manifest = Manifest(kind=kind, name=name, schema=SCHEMA_VERSIONS[kind], spec=spec)
    faults = await check_body(store, kind, name, spec, manifest.schema)
    if faults:
        return faults
    outcome = await write_manifest(store, manifest, held)
    return [outcome] if isinstance(outcome, Failure) else outcome


def keep_unknown_fields(manifest: Manifest, held: StoredRecord) -> Manifest | Failure:
    """Return a record from a file with the stored fields that this client does not know.

    Where file and store have different schemas, both are converted to the newest.
    """
    if not held.exists or held.schema > SCHEMA_VERSIONS[manifest.kind]:
        return manifest
    old, new, schema = held.spec, manifest.spec, manifest.schema
    if held.schema != manifest.schema:
        schema = SCHEMA_VERSIONS[manifest.kind]
        upgraded = [
            upgrade_spec(manifest.kind, old, held.schema),
            upgrade_spec(manifest.kind, new, manifest.schema),
        ]
        for spec in upgraded:
            if isinstance(spec, list):
                return spec[0]
        old, new = t.cast(list[dict[str, t.Any]], upgraded)
    merged = merge_spec(old, new, body_type(manifest.kind, schema))
    return Manifest(kind=manifest.kind, name=manifest.name, schema=schema, spec=merged)


async def delete_record(store: ObjectStore, held: StoredRecord) -> Written | Failure:
    """Replace a record by a tombstone over the version that was read."""
    tombstone = StoredValue(schema=held.schema, deleted=True)
    stored = await put_value(store, held, msgspec.json.encode(tombstone))
    return stored if isinstance(stored, Failure) else _written(stored, "deleted")


async def put_value(store: ObjectStore, held: StoredRecord, value: bytes) -> StoredObject | Failure:
    """Write a value over the version that was read; a lost answer is resolved by reading back."""
    return await write_resolved(store, held.kind, held.name, value, held.version)


def split_failures(values: t.Iterable[T | Failure]) -> tuple[list[T], list[Failure]]:
    """Return the values that are no failures, and the failures."""
    all_values = list(values)
    failures = [value for value in all_values if isinstance(value, Failure)]
    return [value for value in all_values if not isinstance(value, Failure)], failures


def _written(stored: StoredObject, change: Change) -> Written:
    return Written(kind=stored.kind, name=stored.name, version=stored.version, change=change)
