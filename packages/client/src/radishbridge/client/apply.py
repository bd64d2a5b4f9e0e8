"""``radishbridge apply``: writes records from files and waits until they are in force."""

from __future__ import annotations

import dataclasses
import pathlib
import typing as t

import cappa

from radishbridge.client._fields import compare_specs, format_changes
from radishbridge.client.context import Context
from radishbridge.client.finish import DEFAULT_WAIT_S, Timeout, finish_write
from radishbridge.client.manifest import (
    LoadedManifest,
    Manifest,
    StoredRecord,
    load_manifests,
)
from radishbridge.client.references import check_references, find_duplicates
from radishbridge.client.write import (
    WrittenRecord,
    keep_unknown_fields,
    read_record,
    split_failures,
    write_manifest,
)
from radishbridge.records import Failure, ResultCode

Files = t.Annotated[
    list[pathlib.Path], cappa.Arg(num_args=-1, required=True, help="Files of records.")
]


@cappa.command(name="apply")
@dataclasses.dataclass(slots=True)
class Apply:
    """Write records from files and wait until every live host has them in force.

    All records are validated before the first is written. A record that is stored unchanged is not
    written again.
    """

    files: Files
    timeout: Timeout = DEFAULT_WAIT_S
    expect_version: t.Annotated[
        int | None,
        cappa.Arg(
            long=True, help="Replace only this version; 0 requires that the record does not exist."
        ),
    ] = None

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        loaded, failures = split_failures(load_files(self.files))
        failures = (
            failures
            or self._check_expect_version(len(loaded))
            or await check_references(context.store, loaded)
        )
        if failures:
            return context.console.fail(failures)
        manifests = [entry.manifest for entry in loaded]
        results = [
            await read_record(context.store, manifest.kind, manifest.name) for manifest in manifests
        ]
        stored_records, failures = split_failures(results)
        if failures:
            return context.console.fail(failures)
        return await self._write(context, list(zip(manifests, stored_records, strict=True)))

    def _check_expect_version(self, count: int) -> list[Failure]:
        if self.expect_version is None or count == 1:
            return []
        reason = f"requires exactly one record, but the files contain {count}"
        return [Failure(ResultCode.USAGE, reason, field="--expect-version")]

    async def _write(self, context: Context, pairs: list[tuple[Manifest, StoredRecord]]) -> int:
        written: list[WrittenRecord] = []
        for manifest, stored in pairs:
            outcome = await self._write_one(context, manifest, stored)
            if isinstance(outcome, Failure):
                await finish_write(context, written, 0.0, summary=bool(written))
                _warn_not_written(context, [rest for rest, _ in pairs[len(written) :]])
                await _warn_difference(context, manifest, outcome)
                return context.console.fail([outcome])
            written.append(outcome)
        return await finish_write(context, written, self.timeout)

    async def _write_one(
        self, context: Context, manifest: Manifest, stored: StoredRecord
    ) -> WrittenRecord | Failure:
        current_version = stored.version if stored.exists else 0
        if self.expect_version not in (None, current_version, stored.version):
            reason = f"{stored.kind}/{stored.name} is at version {current_version}"
            return Failure(ResultCode.VERSION_CONFLICT, reason)
        complete = keep_unknown_fields(manifest, stored)
        if isinstance(complete, Failure):
            return complete
        return await write_manifest(context.store, complete, stored)


def _warn_not_written(context: Context, manifests: t.Sequence[Manifest]) -> None:
    names = ", ".join(f"{manifest.kind}/{manifest.name}" for manifest in manifests)
    context.console.warn(f"not written: {names}")


async def _warn_difference(context: Context, manifest: Manifest, failure: Failure) -> None:
    """After a conflict, show how the file differs from the version that is stored now."""
    if failure.code is not ResultCode.VERSION_CONFLICT:
        return
    stored = await read_record(context.store, manifest.kind, manifest.name)
    if isinstance(stored, Failure):
        return
    context.console.warn(f"from what is stored now, version {stored.version}, to your file:")
    for line in format_changes(compare_specs(stored.spec, manifest.spec)):
        context.console.warn(line)


def load_files(files: t.Iterable[pathlib.Path]) -> list[LoadedManifest | Failure]:
    """Read files of records and validate each record without its references.

    :return: the valid records, together with the failures found in all files.
    """
    found = [entry for path in files for entry in load_manifests(path)]
    loaded, failures = split_failures(found)
    return [*loaded, *failures, *find_duplicates(loaded)]
