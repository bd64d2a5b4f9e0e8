"""Writes records by conditional update."""

from __future__ import annotations

import typing as t

import msgspec

from radishbridge.client.manifest import Manifest, StoredRecord, read_stored
from radishbridge.records import SCHEMA_VERSIONS, Failure, ResultCode, StoredValue
from radishbridge.store import ObjectStore, StoredObject

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


async def delete_record(store: ObjectStore, held: StoredRecord) -> Written | Failure:
    """Replace a record by a tombstone over the version that was read."""
    tombstone = StoredValue(schema=held.schema, deleted=True)
    stored = await put_value(store, held, msgspec.json.encode(tombstone))
    return stored if isinstance(stored, Failure) else _written(stored, "deleted")


async def put_value(store: ObjectStore, held: StoredRecord, value: bytes) -> StoredObject | Failure:
    """Write a value over the version that was read."""
    return await store.put(held.kind, held.name, value, held.version)


def split_failures(values: t.Iterable[T | Failure]) -> tuple[list[T], list[Failure]]:
    """Return the values that are no failures, and the failures."""
    all_values = list(values)
    failures = [value for value in all_values if isinstance(value, Failure)]
    return [value for value in all_values if not isinstance(value, Failure)], failures


def _written(stored: StoredObject, change: Change) -> Written:
    return Written(kind=stored.kind, name=stored.name, version=stored.version, change=change)
