"""Files of records that operators apply, in JSON with comments."""

from __future__ import annotations

import pathlib
import typing as t

import json5
import msgspec

from radishbridge.records import KINDS, SCHEMA_VERSIONS, Failure, ResultCode


class Manifest(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """One record in a file: what operators write and read.

    :param schema: schema version of ``spec``; 0 stands for the newest.
    """

    kind: str
    name: str
    schema: int = 0
    spec: dict[str, t.Any] = {}


def load_manifests(path: pathlib.Path) -> list[Manifest] | Failure:
    """Read a file that holds one record or a list of them."""
    try:
        document = json5.loads(path.read_text(encoding="utf-8"))
        entries = document if isinstance(document, list) else [document]
        manifests = msgspec.convert(entries, type=list[Manifest])
        for manifest in manifests:
            msgspec.convert(manifest.spec, type=KINDS[manifest.kind])
            manifest.schema = manifest.schema or SCHEMA_VERSIONS[manifest.kind]
    except OSError as error:
        return Failure(ResultCode.FILE_UNREADABLE, f"{path}: {error.strerror}")
    except Exception as error:
        return Failure(ResultCode.RECORD_INVALID, f"{path}: {error}")
    return manifests
