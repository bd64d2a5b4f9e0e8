"""``radishbridge edit``: changes a record in an editor, with conflict detection and merge."""

from __future__ import annotations

import asyncio
import dataclasses
import os
import pathlib
import shlex
import subprocess
import sys
import tempfile
import typing as t

import cappa

from radishbridge.client._arguments import Kind, Name
from radishbridge.client._fields import compare_specs, format_changes, three_way_merge
from radishbridge.client.apply import load_files
from radishbridge.client.context import Context
from radishbridge.client.finish import DEFAULT_WAIT_S, Timeout, finish_write
from radishbridge.client.manifest import Manifest, StoredRecord
from radishbridge.client.write import (
    WRITE_ATTEMPTS,
    WrittenRecord,
    require_record,
    split_failures,
    write_manifest,
)
from radishbridge.records import Failure, ResultCode

DEFAULT_EDITOR = "vi"


@cappa.command(name="edit")
@dataclasses.dataclass(slots=True)
class Edit:
    """Open a record in the editor and replace the version that was opened.

    The editor is taken from $VISUAL or $EDITOR. If somebody else changed the record meanwhile, the
    command shows both changes, keeps your text in a file and overwrites nothing; changes to
    different fields can be merged.
    """

    kind: Kind
    name: Name
    merge: t.Annotated[
        bool, cappa.Arg(long=True, help="Merge changes of different fields without asking.")
    ] = False
    timeout: Timeout = DEFAULT_WAIT_S

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        opened = await require_record(context.store, self.kind, self.name)
        if isinstance(opened, Failure):
            return context.console.fail([opened])
        path = _write_draft(opened)
        edited = await asyncio.to_thread(_run_editor, path, opened)
        if isinstance(edited, list):
            return _keep_draft(path, context.console.fail(edited))
        written = await self._write(context, opened, edited)
        if isinstance(written, Failure):
            return _keep_draft(path, context.console.fail([written]))
        path.unlink()
        return await finish_write(context, [written], self.timeout)

    async def _write(
        self, context: Context, opened: StoredRecord, edited: Manifest
    ) -> WrittenRecord | Failure:
        """Write the edited record; merge and retry while others change it concurrently."""
        outcome = await write_manifest(context.store, edited, opened)
        base = opened
        for _ in range(WRITE_ATTEMPTS):
            if not _is_conflict(outcome):
                break
            theirs = await require_record(context.store, self.kind, self.name)
            if isinstance(theirs, Failure):
                return theirs
            merged = self._merge(base, theirs, edited)
            if isinstance(merged, Failure):
                return merged
            outcome = await write_manifest(context.store, merged, theirs)
            base, edited = theirs, merged
        return outcome

    def _merge(
        self, base: StoredRecord, theirs: StoredRecord, yours: Manifest
    ) -> Manifest | Failure:
        _show_conflict(base, theirs, yours)
        conflict = Failure(
            ResultCode.VERSION_CONFLICT,
            f"{self.kind}/{self.name} was changed from version {base.version} to "
            f"{theirs.version} while you edited it",
        )
        if theirs.schema != yours.schema:
            return conflict
        merged = three_way_merge(base.spec, theirs.spec, yours.spec)
        if isinstance(merged, list):
            _print_message(f"both changed {', '.join(merged)}: it cannot be merged")
            return conflict
        if not self.merge and not _confirm("The changes are in different fields. Merge and write?"):
            return conflict
        return Manifest(kind=self.kind, name=self.name, schema=yours.schema, spec=merged)


def _write_draft(record: StoredRecord) -> pathlib.Path:
    descriptor, name = tempfile.mkstemp(prefix=f"{record.kind}-{record.name}-", suffix=".jsonc")
    with os.fdopen(descriptor, "w", encoding="utf-8") as file:
        file.write(f"// {record.kind}/{record.name}, version {record.version}\n")
        file.write(record.to_manifest().format_text() + "\n")
    return pathlib.Path(name)


def _run_editor(path: pathlib.Path, opened: StoredRecord) -> Manifest | list[Failure]:
    editor = os.environ.get("VISUAL") or os.environ.get("EDITOR") or DEFAULT_EDITOR
    try:
        subprocess.run([*shlex.split(editor), str(path)], check=True)
    except (OSError, subprocess.CalledProcessError) as error:
        return [Failure(ResultCode.USAGE, f"the editor {editor} failed: {error}")]
    loaded, failures = split_failures(load_files([path]))
    if failures:
        return failures
    edited = [entry.manifest for entry in loaded]
    if [(manifest.kind, manifest.name) for manifest in edited] != [(opened.kind, opened.name)]:
        reason = "kind and name have to stay as they are"
        return [Failure(ResultCode.RECORD_INVALID, reason, field="name")]
    return edited[0]


def _is_conflict(outcome: WrittenRecord | Failure) -> bool:
    return isinstance(outcome, Failure) and outcome.code is ResultCode.VERSION_CONFLICT


def _show_conflict(base: StoredRecord, theirs: StoredRecord, yours: Manifest) -> None:
    _print_message("their change:")
    _print_message("\n".join(format_changes(compare_specs(base.spec, theirs.spec))))
    _print_message("your change:")
    _print_message("\n".join(format_changes(compare_specs(base.spec, yours.spec))))


def _confirm(question: str) -> bool:
    """Ask for confirmation on the terminal; return ``False`` if stdin is not a terminal."""
    if not sys.stdin.isatty():
        _print_message("run with --merge to merge changes of different fields")
        return False
    _print_message(f"{question} [y/N]")
    return sys.stdin.readline().strip().lower() in ("y", "yes")


def _keep_draft(path: pathlib.Path, code: int) -> int:
    _print_message(f"your text is in {path}; nothing was written")
    return code


def _print_message(text: str) -> None:
    print(text, file=sys.stderr)
