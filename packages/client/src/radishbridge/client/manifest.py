"""Files of records that operators apply, in JSON with comments."""

from __future__ import annotations

import pathlib
import typing as t

import json5
import msgspec

from radishbridge.records import KINDS, SCHEMA_VERSIONS, Failure, ResultCode, StoredValue
from radishbridge.store import StoredObject


class Manifest(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """One record in a file: what operators write and read.

    :param schema: schema version of ``spec``; 0 stands for the newest.
    """

    kind: str
    name: str
    schema: int = 0
    spec: dict[str, t.Any] = {}

    def value(self) -> bytes:
        """Return the JSON text that the store keeps."""
        return msgspec.json.encode(StoredValue(schema=self.schema, spec=self.spec))

    def text(self) -> str:
        """Return the record as the text of a file."""
        return msgspec.json.format(msgspec.json.encode(self), indent=2).decode()


class StoredRecord(msgspec.Struct, kw_only=True):
    """A record as the store holds it.

    :param version: store version; 0 where the store has no such record.
    """

    kind: str
    name: str
    version: int
    schema: int
    deleted: bool = False
    spec: dict[str, t.Any] = {}

    @property
    def exists(self) -> bool:
        """Whether the record is there and not deleted."""
        return self.version > 0 and not self.deleted

    def manifest(self) -> Manifest:
        """Return the record as operators write it."""
        return Manifest(kind=self.kind, name=self.name, schema=self.schema, spec=self.spec)


def read_stored(stored: StoredObject) -> StoredRecord | Failure:
    """Decode what the store holds, without a check of the fields of ``spec``."""
    try:
        value = msgspec.json.decode(bytes(stored.value), type=StoredValue)
    except msgspec.MsgspecError as error:
        return Failure(ResultCode.RECORD_INVALID, f"{stored.kind}/{stored.name}: {error}")
    return StoredRecord(
        kind=stored.kind,
        name=stored.name,
        version=stored.version,
        schema=value.schema,
        deleted=value.deleted,
        spec=value.spec,
    )


def load_manifests(path: pathlib.Path) -> list[Manifest] | list[Failure]:
    """Read a file that holds one record or a list of them.

    :return: the records, or every fault found in any of them.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        return [Failure(ResultCode.FILE_UNREADABLE, f"{path}: {error.strerror}")]
    return parse_manifests(text, str(path))


def parse_manifests(text: str, source: str) -> list[Manifest] | list[Failure]:
    """Read and check the text of a file.

    :param source: name of the file, for the reasons of faults.
    """
    try:
        document = json5.loads(text)
        entries = document if isinstance(document, list) else [document]
        manifests = msgspec.convert(entries, type=list[Manifest])
        for manifest in manifests:
            msgspec.convert(manifest.spec, type=KINDS[manifest.kind])
            manifest.schema = manifest.schema or SCHEMA_VERSIONS[manifest.kind]
    except Exception as error:
        return [Failure(ResultCode.RECORD_INVALID, f"{source}: {error}")]
    return manifests
