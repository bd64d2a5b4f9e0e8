"""``get``, ``list``, ``diff``, ``validate`` and ``delete``: commands for records of any kind."""

from __future__ import annotations

import dataclasses
import typing as t

import cappa
import msgspec

from radishbridge.client._arguments import Kind, Name, OptionalKind
from radishbridge.client._fields import FieldChange, compare_specs, format_changes
from radishbridge.client.apply import Files, load_files
from radishbridge.client.console import flatten, format_table, pluralize
from radishbridge.client.context import Context
from radishbridge.client.exit_codes import ExitCode
from radishbridge.client.finish import DEFAULT_WAIT_S, Timeout, finish_write
from radishbridge.client.manifest import Manifest, StoredRecord, read_stored
from radishbridge.client.write import (
    delete_record,
    keep_unknown_fields,
    read_record,
    require_record,
    split_failures,
)
from radishbridge.records import KINDS, Failure, ResultCode


class RecordSummary(msgspec.Struct, kw_only=True):
    """A record as ``list`` shows it."""

    kind: str
    name: str
    version: int
    schema: int
    deleted: bool


class RecordDifference(msgspec.Struct, kw_only=True):
    """How a record in a file differs from the stored one.

    :param version: stored version, 0 if the record is not stored.
    """

    kind: str
    name: str
    version: int
    changes: list[FieldChange]


class CheckResult(msgspec.Struct, kw_only=True):
    """The outcome of ``validate``."""

    valid: int


@cappa.command(name="get")
@dataclasses.dataclass(slots=True)
class Get:
    """Print one record in the form that ``apply`` reads."""

    kind: Kind
    name: Name

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        stored = await require_record(context.store, self.kind, self.name)
        if isinstance(stored, Failure):
            return context.console.fail([stored])
        heading = f"// {stored.kind}/{stored.name}, version {stored.version}"
        context.console.print_result(stored, [heading, stored.to_manifest().format_text()])
        return ExitCode.OK


@cappa.command(name="list")
@dataclasses.dataclass(slots=True)
class List:
    """List records with their versions."""

    kind: OptionalKind = None
    deleted: t.Annotated[bool, cappa.Arg(long=True, help="List tombstones too.")] = False

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        records = await list_records(context, [self.kind] if self.kind else list(KINDS))
        if isinstance(records, Failure):
            return context.console.fail([records])
        shown = [_summarize(record) for record in records if self.deleted or not record.deleted]
        rows = (
            (record.kind, record.name, record.version, "deleted" if record.deleted else "")
            for record in shown
        )
        context.console.print_result(shown, format_table(("KIND", "NAME", "VERSION", ""), rows))
        return ExitCode.OK


@cappa.command(name="diff")
@dataclasses.dataclass(slots=True)
class Diff:
    """Show how records in files differ from the stored ones; writes nothing."""

    files: Files

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        loaded, failures = split_failures(load_files(self.files))
        if failures:
            return context.console.fail(failures)
        results = [await self._compare(context, entry.manifest) for entry in loaded]
        differences, failures = split_failures(results)
        if failures:
            return context.console.fail(failures)
        context.console.print_result(differences, flatten(map(_format_difference, differences)))
        return (
            ExitCode.DIFFERENT
            if any(difference.changes for difference in differences)
            else ExitCode.OK
        )

    async def _compare(self, context: Context, manifest: Manifest) -> RecordDifference | Failure:
        stored = await read_record(context.store, manifest.kind, manifest.name)
        if isinstance(stored, Failure):
            return stored
        complete = keep_unknown_fields(manifest, stored)
        if isinstance(complete, Failure):
            return complete
        return RecordDifference(
            kind=stored.kind,
            name=stored.name,
            version=stored.version if stored.exists else 0,
            changes=compare_specs(stored.spec, complete.spec),
        )


@cappa.command(name="validate")
@dataclasses.dataclass(slots=True)
class Validate:
    """Validate records in files; reads and writes nothing else."""

    files: Files

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        loaded, failures = split_failures(load_files(self.files))
        if failures:
            return context.console.fail(failures)
        valid = len(loaded)
        context.console.print_result(
            CheckResult(valid=valid), [f"{pluralize(valid, 'record')} valid"]
        )
        return ExitCode.OK


@cappa.command(name="delete")
@dataclasses.dataclass(slots=True)
class Delete:
    """Delete a record and wait until no live host uses it.

    The record is replaced by a tombstone, so that a host that was disconnected sees the deletion.
    """

    kind: Kind
    name: Name
    timeout: Timeout = DEFAULT_WAIT_S
    expect_version: t.Annotated[
        int | None, cappa.Arg(long=True, help="Delete only this version.")
    ] = None

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        stored = await require_record(context.store, self.kind, self.name)
        if isinstance(stored, Failure):
            return context.console.fail([stored])
        if self.expect_version not in (None, stored.version):
            reason = f"{stored.kind}/{stored.name} is at version {stored.version}"
            return context.console.fail([Failure(ResultCode.VERSION_CONFLICT, reason)])
        written = await delete_record(context.store, stored)
        if isinstance(written, Failure):
            return context.console.fail([written])
        return await finish_write(context, [written], self.timeout)


async def list_records(context: Context, kinds: t.Sequence[str]) -> list[StoredRecord] | Failure:
    """Read all records of the given kinds, including tombstones, sorted by kind and name.

    Records that cannot be decoded are printed as failures and left out.
    """
    listing = await context.store.list(kinds)
    if isinstance(listing, Failure):
        return listing
    readable, failures = split_failures(map(read_stored, listing.objects))
    if failures:
        context.console.fail(failures)
    return sorted(readable, key=lambda record: (record.kind, record.name))


def _summarize(record: StoredRecord) -> RecordSummary:
    return RecordSummary(
        kind=record.kind,
        name=record.name,
        version=record.version,
        schema=record.schema,
        deleted=record.deleted,
    )


def _format_difference(difference: RecordDifference) -> list[str]:
    record = f"{difference.kind}/{difference.name}"
    if not difference.changes:
        return [f"{record}: no difference"]
    stored_state = f"version {difference.version}" if difference.version else "not stored yet"
    return [f"{record}: {stored_state}", *format_changes(difference.changes)]
