"""``radishbridge apply``: writes the records of files and waits until they are in force."""

from __future__ import annotations

import dataclasses
import pathlib
import typing as t

import cappa

from radishbridge.client._fields import compare, difference_lines
from radishbridge.client.context import Context
from radishbridge.client.finish import DEFAULT_WAIT_S, Timeout, finish
from radishbridge.client.manifest import (
    LoadedManifest,
    Manifest,
    StoredRecord,
    load_manifests,
)
from radishbridge.client.references import check_references, find_duplicates
from radishbridge.client.write import (
    Written,
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

    All records are checked before the first is written. A record that is already stored as it is
    in the file is not written again.
    """

    files: Files
    timeout: Timeout = DEFAULT_WAIT_S
    expect_version: t.Annotated[
        int | None,
        cappa.Arg(long=True, help="Write only over this version; 0 expects no record."),
    ] = None

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        loaded, failures = split_failures(load_files(self.files))
        failures = (
            failures
            or self._check_expectation(len(loaded))
            or await check_references(context.store, loaded)
        )
        if failures:
            return context.console.fail(failures)
        manifests = [one.manifest for one in loaded]
        read = [
            await read_record(context.store, manifest.kind, manifest.name) for manifest in manifests
        ]
        held, failures = split_failures(read)
        if failures:
            return context.console.fail(failures)
        return await self._write(context, list(zip(manifests, held, strict=True)))

    def _check_expectation(self, count: int) -> list[Failure]:
        if self.expect_version is None or count == 1:
            return []
        reason = f"goes with one record, but the files hold {count}"
        return [Failure(ResultCode.USAGE, reason, field="--expect-version")]

    async def _write(self, context: Context, pairs: list[tuple[Manifest, StoredRecord]]) -> int:
        written: list[Written] = []
        for manifest, held in pairs:
            outcome = await self._write_one(context, manifest, held)
            if isinstance(outcome, Failure):
                await finish(context, written, 0.0, summary=bool(written))
                _tell_rest(context, [one for one, _ in pairs[len(written) :]])
                await _tell_difference(context, manifest, outcome)
                return context.console.fail([outcome])
            written.append(outcome)
        return await finish(context, written, self.timeout)

    async def _write_one(
        self, context: Context, manifest: Manifest, held: StoredRecord
    ) -> Written | Failure:
        current = held.version if held.exists else 0
        if self.expect_version not in (None, current, held.version):
            reason = f"{held.kind}/{held.name} is at version {current}"
            return Failure(ResultCode.VERSION_CONFLICT, reason)
        whole = keep_unknown_fields(manifest, held)
        if isinstance(whole, Failure):
            return whole
        return await write_manifest(context.store, whole, held)


def _tell_rest(context: Context, manifests: t.Sequence[Manifest]) -> None:
    names = ", ".join(f"{manifest.kind}/{manifest.name}" for manifest in manifests)
    context.console.warn(f"not written: {names}")


async def _tell_difference(context: Context, manifest: Manifest, failure: Failure) -> None:
    """Show what is stored now against the file, after a conflict."""
    if failure.code is not ResultCode.VERSION_CONFLICT:
        return
    stored = await read_record(context.store, manifest.kind, manifest.name)
    if isinstance(stored, Failure):
        return
    context.console.warn(f"from what is stored now, version {stored.version}, to your file:")
    for line in difference_lines(compare(stored.spec, manifest.spec)):
        context.console.warn(line)


def load_files(files: t.Iterable[pathlib.Path]) -> list[LoadedManifest | Failure]:
    """Read files of records and check each record by itself.

    :return: the records without a fault, together with every fault found in any of the files.
    """
    found = [one for path in files for one in load_manifests(path)]
    loaded, failures = split_failures(found)
    return [*loaded, *failures, *find_duplicates(loaded)]
