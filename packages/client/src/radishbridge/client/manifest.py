"""Manifest files: the records that operators apply, in JSON with comments."""

from __future__ import annotations

import pathlib
import typing as t

import msgspec

from radishbridge.records import (
    DECODE_ERRORS,
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

# Validation reports these fields by name and all others by their path below ``spec``.
OUTER_FIELDS = frozenset({"kind", "name", "schema"})


class FileFailure(Failure):
    """A failure in a file; ``field`` is the path from the root of the document.

    :param file: name of the file.
    """

    __slots__ = ("file",)

    def __init__(self, file: str, failure: Failure) -> None:
        reason = failure.reason.removeprefix(f"{file}: ")
        super().__init__(failure.code, reason, failure.field, failure.line)
        self.file = file


class Manifest(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """One record in the form that operators write and read.

    :param schema: schema version of ``spec``; 0 means the newest.
    """

    kind: str
    name: str
    schema: int = 0
    spec: dict[str, t.Any] = {}

    def encode_value(self) -> bytes:
        """Encode the record as the JSON value that the store holds."""
        return msgspec.json.encode(StoredValue(schema=self.schema, spec=self.spec))

    def format_text(self) -> str:
        """Format the record as the text of a manifest file."""
        return msgspec.json.format(msgspec.json.encode(self), indent=2).decode()


class LoadedManifest:
    """A record together with its position in a file.

    :param record_path: dotted path of the record in the file, empty if the file holds one record
        without a list.
    """

    __slots__ = ("document", "file", "manifest", "record_path")

    def __init__(self, file: str, document: Document, record_path: str, manifest: Manifest) -> None:
        self.file = file
        self.document = document
        self.record_path = record_path
        self.manifest = manifest

    def check(self, lookup: Lookup | None = None) -> list[Failure]:
        """Validate the record and return all failures.

        :param lookup: finds records that this one refers to; ``None`` skips the check of
            references.
        """
        manifest = self.manifest
        checked = validate_body(
            manifest.kind, manifest.name, manifest.spec, manifest.schema, lookup
        )
        return (
            [self.locate_failure(failure) for failure in checked]
            if isinstance(checked, list)
            else []
        )

    def locate_failure(self, failure: Failure) -> Failure:
        """Add the file and the line to a failure of the record."""
        below = [] if failure.field in OUTER_FIELDS else ["spec"]
        path = ".".join(filter(None, [self.record_path, *below]))
        (located,) = self.document.locate([failure], path)
        return FileFailure(self.file, located)


class StoredRecord(msgspec.Struct, kw_only=True):
    """A record as read from the store.

    :param version: store version; 0 if the store has no such record.
    """

    kind: str
    name: str
    version: int
    schema: int
    deleted: bool = False
    spec: dict[str, t.Any] = {}

    @property
    def exists(self) -> bool:
        """Whether the store has the record and it is not deleted."""
        return self.version > 0 and not self.deleted

    def to_manifest(self) -> Manifest:
        """Convert the record to the form that operators write."""
        return Manifest(kind=self.kind, name=self.name, schema=self.schema, spec=self.spec)


def read_stored(stored: StoredObject) -> StoredRecord | Failure:
    """Decode an object of the store without validating the fields of ``spec``."""
    try:
        value = msgspec.json.decode(bytes(stored.value), type=StoredValue)
    except DECODE_ERRORS as error:
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
    """Read a file that holds one record or a list of records.

    :return: the valid records, together with the failures of all others.
    """
    document = load_document(path)
    if isinstance(document, Failure):
        return [FileFailure(str(path), document)]
    is_list = isinstance(document.value, list)
    record_paths = [str(index) for index in range(len(document.value))] if is_list else [""]
    return [
        found
        for record_path in record_paths
        for found in _load_one(str(path), document, record_path)
    ]


def _load_one(file: str, document: Document, record_path: str) -> list[LoadedManifest | Failure]:
    manifest = check_document(document, Manifest, path=record_path)
    if isinstance(manifest, list):
        return [FileFailure(file, failure) for failure in manifest]
    manifest.schema = manifest.schema or SCHEMA_VERSIONS.get(manifest.kind, 0)
    loaded = LoadedManifest(file, document, record_path, manifest)
    return [*loaded.check()] or [loaded]
