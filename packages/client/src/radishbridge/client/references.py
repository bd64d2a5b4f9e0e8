"""Checks the records that other records refer to, in files and in the store."""

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

Bodies = dict[tuple[str, str], RecordBody | None]

_REFERRED_KINDS = {
    "key": {"workspace"},
    "rate": {"workspace"},
    "drain": {"service"},
    "move": {"service"},
    "client-blocks": {"site"},
}


async def check_references(store: ObjectStore, loaded: t.Sequence[LoadedManifest]) -> list[Failure]:
    """Return each reference of the records to a record that is neither in files nor stored."""
    bodies = await read_referred(store, {one.manifest.kind for one in loaded})
    if isinstance(bodies, Failure):
        return [bodies]
    bodies |= {(one.manifest.kind, one.manifest.name): _body(one) for one in loaded}
    lookup = make_lookup(bodies)
    return [fault for one in loaded for fault in one.check(lookup)]


async def read_referred(store: ObjectStore, kinds: t.Iterable[str]) -> Bodies | Failure:
    """Read the stored records that records of some kinds can refer to."""
    referred = sorted({name for kind in kinds for name in _REFERRED_KINDS.get(kind, ())})
    if not referred:
        return {}
    listing = await store.list(referred)
    if isinstance(listing, Failure):
        return listing
    decoded = (
        decode_record(one.kind, one.name, one.version, bytes(one.value)) for one in listing.objects
    )
    return {(one.kind, one.name): one.body for one in decoded if not isinstance(one, Failure)}


async def check_body(
    store: ObjectStore, kind: str, name: str, spec: dict[str, t.Any], schema: int
) -> list[Failure]:
    """Return every fault of a record that a command makes, its references included."""
    bodies = await read_referred(store, [kind])
    if isinstance(bodies, Failure):
        return [bodies]
    checked = validate_body(kind, name, spec, schema, make_lookup(bodies))
    return checked if isinstance(checked, list) else []


def make_lookup(bodies: Bodies) -> Lookup:
    """Return a function that finds bodies by kind and name."""
    return lambda kind, name: bodies.get((kind, name))


def find_duplicates(loaded: t.Iterable[LoadedManifest]) -> list[Failure]:
    """Return a failure for each record that files hold more than once."""
    seen: set[tuple[str, str]] = set()
    failures = []
    for one in loaded:
        at = (one.manifest.kind, one.manifest.name)
        if at in seen:
            reason = f"{'/'.join(at)} occurs more than once"
            failures.append(one.fail(Failure(ResultCode.RECORD_INVALID, reason, "name")))
        seen.add(at)
    return failures


def _body(loaded: LoadedManifest) -> RecordBody | None:
    one = loaded.manifest
    body = validate_body(one.kind, one.name, one.spec, one.schema)
    return None if isinstance(body, list) else body
