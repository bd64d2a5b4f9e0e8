"""Encoding and decoding of stored records with their schema version and tombstone flag."""

from __future__ import annotations

import typing as t

import msgspec

from radishbridge.records.codes import ResultCode
from radishbridge.records.decoding import DECODE_ERRORS
from radishbridge.records.failures import Failure
from radishbridge.records.merge import merge_spec
from radishbridge.records.schemas import SCHEMA_VERSIONS, check_schema, upgrade_spec
from radishbridge.records.types import KINDS, RecordBody
from radishbridge.records.validation import validate_body


class StoredValue(msgspec.Struct, kw_only=True):
    """The JSON value of a record in the object store.

    :param schema: schema version of ``spec``.
    :param deleted: the record is a tombstone.
    :param spec: the body's fields, including unknown ones.
    """

    schema: int
    deleted: bool = False
    spec: dict[str, t.Any] = {}


class Record(msgspec.Struct, kw_only=True):
    """A decoded record.

    :param version: version of the object in the store, which increases with each change.
    :param body: the typed body; ``None`` for a tombstone.
    """

    kind: str
    name: str
    version: int
    body: RecordBody | None


def decode_record(kind: str, name: str, version: int, value: bytes) -> Record | Failure:
    """Decode a stored value into a typed record.

    Tombstones of any schema version are decoded, so that hosts with older software apply deletions.

    :return: the record, or ``RECORD_INVALID`` or ``SCHEMA_TOO_NEW``.
    """
    stored = _decode_stored(value)
    if isinstance(stored, Failure):
        return _with_record_name(kind, name, stored)
    if stored.deleted and kind in KINDS:
        return Record(kind=kind, name=name, version=version, body=None)
    body = validate_body(kind, name, stored.spec, stored.schema)
    if isinstance(body, list):
        return _with_record_name(kind, name, body[0])
    return Record(kind=kind, name=name, version=version, body=body)


def encode_record(kind: str, body: RecordBody) -> bytes:
    """Encode a body as a stored value in the kind's newest schema."""
    spec = msgspec.to_builtins(body)
    return msgspec.json.encode(StoredValue(schema=SCHEMA_VERSIONS[kind], spec=spec))


def encode_edit(kind: str, body: RecordBody, value: bytes) -> bytes | Failure:
    """Encode an edited body, keeping the stored value's unknown fields.

    :param value: the stored value that the edit is based on.
    :return: the value in the newest schema, or ``RECORD_INVALID``, or ``SCHEMA_TOO_NEW`` if the
        stored value has a newer schema.
    """
    stored = _decode_stored(value)
    if isinstance(stored, Failure):
        return stored
    if stored.deleted:
        return encode_record(kind, body)
    failure = check_schema(kind, stored.schema)
    if failure is not None:
        return failure
    spec = upgrade_spec(kind, stored.spec, stored.schema)
    if isinstance(spec, list):
        return spec[0]
    merged = merge_spec(spec, msgspec.to_builtins(body), KINDS[kind])
    return msgspec.json.encode(StoredValue(schema=SCHEMA_VERSIONS[kind], spec=merged))


def encode_tombstone(value: bytes) -> bytes | Failure:
    """Encode the tombstone of a stored value with the value's schema version.

    :return: the tombstone, or ``RECORD_INVALID`` if the value cannot be decoded.
    """
    stored = _decode_stored(value)
    if isinstance(stored, Failure):
        return stored
    return msgspec.json.encode(StoredValue(schema=stored.schema, deleted=True))


def _decode_stored(value: bytes) -> StoredValue | Failure:
    try:
        return msgspec.json.decode(value, type=StoredValue)
    except DECODE_ERRORS:
        return Failure(ResultCode.RECORD_INVALID, "not a stored value in JSON")


def _with_record_name(kind: str, name: str, failure: Failure) -> Failure:
    location = f"{kind}/{name}: {failure.field}".rstrip(": ")
    return Failure(failure.code, f"{location}: {failure.reason}", failure.field)
