"""Files of records that operators apply, in JSON with comments."""

from __future__ import annotations

import pathlib
import typing as t

import msgspec

from radishbridge.records import (
    SCHEMA_VERSIONS,
    Document,
    Failure,
    Lookup,
    ResultCode,
    StoredValue,
    check_document,
    load_document,
    validate_body,
)
from radishbridge.store import StoredObject

# The checker gives these fields by themselves and all others by their path below ``spec``.
OUTER_FIELDS = frozenset({"kind", "name", "schema"})


class FileFailure(Failure):
    """A failure in a file; ``field`` is the path from the file's root.

    :param file: the file's name.
    """

    __slots__ = ("file",)

    def __init__(self, file: str, failure: Failure) -> None:
        reason = failure.reason.removeprefix(f"{file}: ")
        super().__init__(failure.code, reason, failure.field, failure.line)
        self.file = file


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


class LoadedManifest:
    """A record together with its place in a file.

    :param at: dotted path of the record in the file, empty where the file holds just one.
    """

    __slots__ = ("at", "document", "file", "manifest")

    def __init__(self, file: str, document: Document, at: str, manifest: Manifest) -> None:
        self.file = file
        self.document = document
        self.at = at
        self.manifest = manifest

    def check(self, lookup: Lookup | None = None) -> list[Failure]:
        """Return every fault of the record.

        :param lookup: finds records that this one refers to; ``None`` leaves them unchecked.
        """
        one = self.manifest
        checked = validate_body(one.kind, one.name, one.spec, one.schema, lookup)
        return [self.fail(fault) for fault in checked] if isinstance(checked, list) else []

    def fail(self, failure: Failure) -> Failure:
        """Return a failure of the record with its file and line."""
        below = [] if failure.field in OUTER_FIELDS else ["spec"]
        at = ".".join(filter(None, [self.at, *below]))
        (located,) = self.document.locate([failure], at)
        return FileFailure(self.file, located)


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


def load_manifests(path: pathlib.Path) -> list[LoadedManifest | Failure]:
    """Read a file that holds one record or a list of them.

    :return: the records that can be read, together with every fault found.
    """
    document = load_document(path)
    if isinstance(document, Failure):
        return [FileFailure(str(path), document)]
    is_list = isinstance(document.value, list)
    places = [str(index) for index in range(len(document.value))] if is_list else [""]
    return [found for at in places for found in _load_one(str(path), document, at)]


def _load_one(file: str, document: Document, at: str) -> list[LoadedManifest | Failure]:
    manifest = check_document(document, Manifest, path=at)
    if isinstance(manifest, list):
        return [FileFailure(file, failure) for failure in manifest]
    manifest.schema = manifest.schema or SCHEMA_VERSIONS.get(manifest.kind, 0)
    loaded = LoadedManifest(file, document, at, manifest)
    return [*loaded.check()] or [loaded]
