"""Reads records and writes them by conditional update."""

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


class WrittenRecord(msgspec.Struct, kw_only=True):
    """A record as a command left it.

    :param version: store version that hosts are to have in force.
    """

    kind: str
    name: str
    version: int
    change: Change

    def format_line(self) -> str:
        """Format the record as a human-readable line."""
        return f"{self.kind}/{self.name}: {self.change}, version {self.version}"


async def read_record(store: ObjectStore, kind: str, name: str) -> StoredRecord | Failure:
    """Read a record; a missing one has version 0, a deleted one is returned as a tombstone."""
    stored = await store.get(kind, name)
    if not isinstance(stored, Failure):
        return read_stored(stored)
    if stored.code is ResultCode.NOT_FOUND:
        return StoredRecord(kind=kind, name=name, version=0, schema=SCHEMA_VERSIONS[kind])
    return stored


async def require_record(store: ObjectStore, kind: str, name: str) -> StoredRecord | Failure:
    """Read a record that must exist; ``NOT_FOUND`` if it is missing or deleted."""
    stored = await read_record(store, kind, name)
    if isinstance(stored, Failure) or stored.exists:
        return stored
    state = "was deleted" if stored.deleted else "does not exist"
    return Failure(ResultCode.NOT_FOUND, f"{kind}/{name} {state}")


async def write_manifest(
    store: ObjectStore, manifest: Manifest, stored: StoredRecord
) -> WrittenRecord | Failure:
    """Replace the version that was read, unless the record is unchanged.

    :param stored: the record as it was read; its version is the condition of the update.
    """
    if stored.schema > SCHEMA_VERSIONS[manifest.kind]:
        reason = f"{stored.kind}/{stored.name} is stored with schema {stored.schema}"
        return Failure(ResultCode.SCHEMA_TOO_NEW, reason)
    if stored.exists and (stored.schema, stored.spec) == (manifest.schema, manifest.spec):
        return WrittenRecord(
            kind=stored.kind, name=stored.name, version=stored.version, change="unchanged"
        )
    result = await write_value(store, stored, manifest.encode_value())
    if isinstance(result, Failure):
        return result
    return _written_record(result, "changed" if stored.exists else "created")


async def create_record(
    store: ObjectStore, kind: str, name: str, body: RecordBody, reuse: bool = False
) -> WrittenRecord | list[Failure]:
    """Validate and write a record that must not exist yet.

    :param reuse: allow the name of a deleted record.
    """
    stored = await read_record(store, kind, name)
    if isinstance(stored, Failure):
        return [stored]
    if stored.exists or (stored.deleted and not reuse):
        state = "exists" if stored.exists else "was deleted; its name cannot be reused"
        return [Failure(ResultCode.ALREADY_EXISTS, f"{kind}/{name} {state}")]
    spec = msgspec.to_builtins(body)
    manifest = Manifest(kind=kind, name=name, schema=SCHEMA_VERSIONS[kind], spec=spec)
    failures = await check_body(store, kind, name, spec, manifest.schema)
    if failures:
        return failures
    outcome = await write_manifest(store, manifest, stored)
    return [outcome] if isinstance(outcome, Failure) else outcome


def keep_unknown_fields(manifest: Manifest, stored: StoredRecord) -> Manifest | Failure:
    """Add the stored fields that this client does not know to a record from a file.

    If file and store have different schemas, both are converted to the newest.
    """
    if not stored.exists or stored.schema > SCHEMA_VERSIONS[manifest.kind]:
        return manifest
    stored_spec, file_spec, schema = stored.spec, manifest.spec, manifest.schema
    if stored.schema != manifest.schema:
        schema = SCHEMA_VERSIONS[manifest.kind]
        upgraded = [
            upgrade_spec(manifest.kind, stored_spec, stored.schema),
            upgrade_spec(manifest.kind, file_spec, manifest.schema),
        ]
        for spec in upgraded:
            if isinstance(spec, list):
                return spec[0]
        stored_spec, file_spec = t.cast(list[dict[str, t.Any]], upgraded)
    merged = merge_spec(stored_spec, file_spec, body_type(manifest.kind, schema))
    return Manifest(kind=manifest.kind, name=manifest.name, schema=schema, spec=merged)


async def delete_record(store: ObjectStore, stored: StoredRecord) -> WrittenRecord | Failure:
    """Replace the version that was read with a tombstone."""
    tombstone = StoredValue(schema=stored.schema, deleted=True)
    result = await write_value(store, stored, msgspec.json.encode(tombstone))
    return result if isinstance(result, Failure) else _written_record(result, "deleted")


async def write_value(
    store: ObjectStore, stored: StoredRecord, value: bytes
) -> StoredObject | Failure:
    """Replace the version that was read; if the response is lost, read back what was written."""
    return await write_resolved(store, stored.kind, stored.name, value, stored.version)


def split_failures(values: t.Iterable[T | Failure]) -> tuple[list[T], list[Failure]]:
    """Separate values from failures."""
    all_values = list(values)
    failures = [value for value in all_values if isinstance(value, Failure)]
    return [value for value in all_values if not isinstance(value, Failure)], failures


def _written_record(result: StoredObject, change: Change) -> WrittenRecord:
    return WrittenRecord(kind=result.kind, name=result.name, version=result.version, change=change)
