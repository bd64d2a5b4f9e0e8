"""Checks that the records to which other records refer exist in the files or in the store."""

from __future__ import annotations

import typing as t

from radishbridge.client.manifest import LoadedManifest
from radishbridge.records import (
    Failure,
    Lookup,
    RecordBody,
    ResultCode,
    decode_record,
    validate_body,
)
from radishbridge.store import ObjectStore

BodiesByName = dict[tuple[str, str], RecordBody | None]

_REFERENCED_KINDS = {
    "key": {"workspace"},
    "rate": {"workspace"},
    "drain": {"service"},
    "move": {"service"},
    "client-blocks": {"site"},
}


async def check_references(store: ObjectStore, loaded: t.Sequence[LoadedManifest]) -> list[Failure]:
    """Return a failure for each reference to a record that is neither in the files nor stored."""
    bodies = await read_referenced_records(store, {entry.manifest.kind for entry in loaded})
    if isinstance(bodies, Failure):
        return [bodies]
    bodies |= {(entry.manifest.kind, entry.manifest.name): _decode_body(entry) for entry in loaded}
    lookup = make_lookup(bodies)
    return [failure for entry in loaded for failure in entry.check(lookup)]


async def read_referenced_records(
    store: ObjectStore, kinds: t.Iterable[str]
) -> BodiesByName | Failure:
    """Read the stored records to which records of the given kinds can refer."""
    referenced = sorted({name for kind in kinds for name in _REFERENCED_KINDS.get(kind, ())})
    if not referenced:
        return {}
    listing = await store.list(referenced)
    if isinstance(listing, Failure):
        return listing
    decoded = (
        decode_record(stored.kind, stored.name, stored.version, bytes(stored.value))
        for stored in listing.objects
    )
    return {
        (record.kind, record.name): record.body
        for record in decoded
        if not isinstance(record, Failure)
    }


async def check_body(
    store: ObjectStore, kind: str, name: str, spec: dict[str, t.Any], schema: int
) -> list[Failure]:
    """Validate a record that a command builds, including its references."""
    bodies = await read_referenced_records(store, [kind])
    if isinstance(bodies, Failure):
        return [bodies]
    checked = validate_body(kind, name, spec, schema, make_lookup(bodies))
    return checked if isinstance(checked, list) else []


def make_lookup(bodies: BodiesByName) -> Lookup:
    """Return a function that looks up bodies by kind and name."""
    return lambda kind, name: bodies.get((kind, name))


def find_duplicates(loaded: t.Iterable[LoadedManifest]) -> list[Failure]:
    """Return a failure for each record that occurs more than once in the files."""
    seen: set[tuple[str, str]] = set()
    failures = []
    for entry in loaded:
        key = (entry.manifest.kind, entry.manifest.name)
        if key in seen:
            reason = f"{'/'.join(key)} occurs more than once"
            failures.append(
                entry.locate_failure(Failure(ResultCode.RECORD_INVALID, reason, "name"))
            )
        seen.add(key)
    return failures


def _decode_body(loaded: LoadedManifest) -> RecordBody | None:
    manifest = loaded.manifest
    body = validate_body(manifest.kind, manifest.name, manifest.spec, manifest.schema)
    return None if isinstance(body, list) else body
