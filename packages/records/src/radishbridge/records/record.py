"""The stored form of a record: schema version, tombstone mark and body."""

from __future__ import annotations

import typing as t

import msgspec

from radishbridge.records.codes import ResultCode
from radishbridge.records.failures import Failure
from radishbridge.records.types import KINDS, RecordBody

SCHEMA_VERSIONS: dict[str, int] = dict.fromkeys(KINDS, 1)


class StoredValue(msgspec.Struct, kw_only=True):
    """The JSON value kept in the object store for one record.

    :param schema: schema version of ``spec``.
    :param deleted: the record is a tombstone.
    :param spec: the body's fields, unknown ones included.
    """

    schema: int
    deleted: bool = False
    spec: dict[str, t.Any] = {}


class Record(msgspec.Struct, kw_only=True):
    """A decoded record.

    :param version: store version of the object, which grows with each change.
    :param body: the typed body, ``None`` for a tombstone.
    """

    kind: str
    name: str
    version: int
    body: RecordBody | None


def decode_record(kind: str, name: str, version: int, value: bytes) -> Record | Failure:
    """Decode a stored value into a typed record.

    :return: the record, or ``RECORD_INVALID`` or ``SCHEMA_TOO_NEW``.
    """
    try:
        stored = msgspec.json.decode(value, type=StoredValue)
        if stored.schema > SCHEMA_VERSIONS[kind]:
            return Failure(ResultCode.SCHEMA_TOO_NEW, f"{kind}/{name}: schema {stored.schema}")
        if stored.deleted:
            return Record(kind=kind, name=name, version=version, body=None)
        body = msgspec.convert(stored.spec, type=KINDS[kind])
    except (msgspec.MsgspecError, KeyError) as error:
        return Failure(ResultCode.RECORD_INVALID, f"{kind}/{name}: {error}")
    return Record(kind=kind, name=name, version=version, body=body)


def encode_record(kind: str, body: RecordBody) -> bytes:
    """Encode a body as the stored value in the kind's newest schema."""
    spec = msgspec.to_builtins(body)
    return msgspec.json.encode(StoredValue(schema=SCHEMA_VERSIONS[kind], spec=spec))
