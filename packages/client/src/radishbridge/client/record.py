"""``get``, ``list``, ``diff``, ``validate`` and ``delete``: any kind of record."""

from __future__ import annotations

import dataclasses
import typing as t

import cappa
import msgspec

from radishbridge.client._arguments import Kind, Name, OptionalKind
from radishbridge.client._fields import FieldChange, compare, difference_lines
from radishbridge.client.apply import Files, load_files
from radishbridge.client.console import flatten, plural, table
from radishbridge.client.context import Context
from radishbridge.client.exit_codes import ExitCode
from radishbridge.client.finish import DEFAULT_WAIT_S, Timeout, finish
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
    """One record of a list."""

    kind: str
    name: str
    version: int
    schema: int
    deleted: bool


class RecordDifference(msgspec.Struct, kw_only=True):
    """How a record in a file differs from the stored one.

    :param version: version that is stored, 0 where there is none.
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
    """Print one record, in the form that ``apply`` reads."""

    kind: Kind
    name: Name

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        held = await require_record(context.store, self.kind, self.name)
        if isinstance(held, Failure):
            return context.console.fail([held])
        heading = f"// {held.kind}/{held.name}, version {held.version}"
        context.console.result(held, [heading, held.manifest().text()])
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
        shown = [_summary(record) for record in records if self.deleted or not record.deleted]
        rows = (
            (one.kind, one.name, one.version, "deleted" if one.deleted else "") for one in shown
        )
        context.console.result(shown, table(("KIND", "NAME", "VERSION", ""), rows))
        return ExitCode.OK


@cappa.command(name="diff")
@dataclasses.dataclass(slots=True)
class Diff:
    """Show how files of records differ from what is stored; writes nothing."""

    files: Files

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        loaded, failures = split_failures(load_files(self.files))
        if failures:
            return context.console.fail(failures)
        compared = [await self._compare(context, one.manifest) for one in loaded]
        found, failures = split_failures(compared)
        if failures:
            return context.console.fail(failures)
        context.console.result(found, flatten(map(_difference_text, found)))
        return ExitCode.DIFFERENT if any(one.changes for one in found) else ExitCode.OK

    async def _compare(self, context: Context, manifest: Manifest) -> RecordDifference | Failure:
        held = await read_record(context.store, manifest.kind, manifest.name)
        if isinstance(held, Failure):
            return held
        whole = keep_unknown_fields(manifest, held)
        if isinstance(whole, Failure):
            return whole
        return RecordDifference(
            kind=held.kind,
            name=held.name,
            version=held.version if held.exists else 0,
            changes=compare(held.spec, whole.spec),
        )


@cappa.command(name="validate")
@dataclasses.dataclass(slots=True)
class Validate:
    """Check files of records; reads and writes nothing else."""

    files: Files

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        loaded, failures = split_failures(load_files(self.files))
        if failures:
            return context.console.fail(failures)
        valid = len(loaded)
        context.console.result(CheckResult(valid=valid), [f"{plural(valid, 'record')} valid"])
        return ExitCode.OK


@cappa.command(name="delete")
@dataclasses.dataclass(slots=True)
class Delete:
    """Delete a record and wait until no live host uses it.

    The record is replaced by a tombstone, so that a host that was away learns of the deletion.
    """

    kind: Kind
    name: Name
    timeout: Timeout = DEFAULT_WAIT_S
    expect_version: t.Annotated[
        int | None, cappa.Arg(long=True, help="Delete only this version.")
    ] = None

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        held = await require_record(context.store, self.kind, self.name)
        if isinstance(held, Failure):
            return context.console.fail([held])
        if self.expect_version not in (None, held.version):
            reason = f"{held.kind}/{held.name} is at version {held.version}"
            return context.console.fail([Failure(ResultCode.VERSION_CONFLICT, reason)])
        written = await delete_record(context.store, held)
        if isinstance(written, Failure):
            return context.console.fail([written])
        return await finish(context, [written], self.timeout)


async def list_records(context: Context, kinds: t.Sequence[str]) -> list[StoredRecord] | Failure:
    """Read all records of the kinds, tombstones included, by kind and name."""
    listing = await context.store.list(kinds)
    if isinstance(listing, Failure):
        return listing
    readable, failures = split_failures(map(read_stored, listing.objects))
    if failures:
        context.console.fail(failures)
    return sorted(readable, key=lambda record: (record.kind, record.name))


def _summary(record: StoredRecord) -> RecordSummary:
    return RecordSummary(
        kind=record.kind,
        name=record.name,
        version=record.version,
        schema=record.schema,
        deleted=record.deleted,
    )


def _difference_text(difference: RecordDifference) -> list[str]:
    at = f"{difference.kind}/{difference.name}"
    if not difference.changes:
        return [f"{at}: no difference"]
    was = f"version {difference.version}" if difference.version else "not stored yet"
    return [f"{at}: {was}", *difference_lines(difference.changes)]
