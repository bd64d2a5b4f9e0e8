"""``radishbridge key``: issues, withdraws and lists callers' keys."""

from __future__ import annotations

import dataclasses
import secrets
import typing as t

import cappa
import msgspec

from radishbridge.client._arguments import Name
from radishbridge.client.console import format_table
from radishbridge.client.context import Context
from radishbridge.client.exit_codes import ExitCode
from radishbridge.client.finish import DEFAULT_WAIT_S, Timeout, finish_write
from radishbridge.client.manifest import StoredRecord
from radishbridge.client.record import list_records
from radishbridge.client.write import (
    WRITE_ATTEMPTS,
    WrittenRecord,
    create_record,
    require_record,
    write_manifest,
)
from radishbridge.records import Failure, Key, ResultCode, key_digest
from radishbridge.store import ObjectStore

SECRET_BYTES = 32
NAME_SUFFIX_BYTES = 4


class IssuedKey(msgspec.Struct, kw_only=True):
    """A new key, the only output that contains its secret."""

    name: str
    workspace: str
    secret: str
    version: int


class KeySummary(msgspec.Struct, kw_only=True):
    """A key as ``key list`` shows it."""

    name: str
    workspace: str
    version: int
    withdrawn: bool


@cappa.command(name="issue")
@dataclasses.dataclass(slots=True)
class Issue:
    """Issue a key for a workspace and print its secret, once.

    Only a digest of the secret is stored. A lost secret cannot be recovered; issue another key.
    """

    workspace: t.Annotated[str, cappa.Arg(help="Workspace whose requests the key admits.")]
    name: t.Annotated[
        str, cappa.Arg(long=True, help="Name of the key's record; generated if omitted.")
    ] = ""
    timeout: Timeout = DEFAULT_WAIT_S

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        name = self.name or f"{self.workspace}-{secrets.token_hex(NAME_SUFFIX_BYTES)}"
        secret = secrets.token_urlsafe(SECRET_BYTES)
        key = Key(workspace=self.workspace, digest=key_digest(secret))
        written = await create_record(context.store, "key", name, key)
        if isinstance(written, list):
            return context.console.fail(written)
        issued = IssuedKey(
            name=name, workspace=self.workspace, secret=secret, version=written.version
        )
        context.console.print_result(issued, [f"key/{name}", f"secret: {secret}"])
        summary = not context.console.as_json
        return await finish_write(context, [written], self.timeout, summary=summary)


@cappa.command(name="withdraw")
@dataclasses.dataclass(slots=True)
class Withdraw:
    """Withdraw a key and wait until every live host refuses it."""

    name: Name
    timeout: Timeout = DEFAULT_WAIT_S

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        written = await _withdraw_key(context.store, self.name)
        if isinstance(written, Failure):
            return context.console.fail([written])
        return await finish_write(context, [written], self.timeout)


@cappa.command(name="list")
@dataclasses.dataclass(slots=True)
class ListKeys:
    """List keys; their secrets are not stored and cannot be shown."""

    workspace: t.Annotated[str, cappa.Arg(long=True, help="Only keys of this workspace.")] = ""

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        records = await list_records(context, ["key"])
        if isinstance(records, Failure):
            return context.console.fail([records])
        keys = [_summarize(record) for record in records if not record.deleted]
        shown = [key for key in keys if self.workspace in ("", key.workspace)]
        rows = ((key.name, key.workspace, _format_state(key), key.version) for key in shown)
        context.console.print_result(
            shown, format_table(("NAME", "WORKSPACE", "STATE", "VERSION"), rows)
        )
        return ExitCode.OK


@cappa.command(name="key")
@dataclasses.dataclass(slots=True)
class KeyGroup:
    """Issue, withdraw and list callers' keys."""

    command: cappa.Subcommands[Issue | Withdraw | ListKeys]

    async def run(self, context: Context) -> int:
        """Run the chosen command and return its exit code."""
        return await self.command.run(context)


async def _withdraw_key(store: ObjectStore, name: str) -> WrittenRecord | Failure:
    """Mark a key as withdrawn; retry if the record changes concurrently."""
    outcome: WrittenRecord | Failure = Failure(
        ResultCode.VERSION_CONFLICT, f"key/{name} keeps changing"
    )
    for _ in range(WRITE_ATTEMPTS):
        stored = await require_record(store, "key", name)
        if isinstance(stored, Failure):
            return stored
        manifest = stored.to_manifest()
        manifest.spec = stored.spec | {"withdrawn": True}
        outcome = await write_manifest(store, manifest, stored)
        if not isinstance(outcome, Failure) or outcome.code is not ResultCode.VERSION_CONFLICT:
            return outcome
    return outcome


def _summarize(record: StoredRecord) -> KeySummary:
    return KeySummary(
        name=record.name,
        workspace=str(record.spec.get("workspace", "")),
        version=record.version,
        withdrawn=bool(record.spec.get("withdrawn", False)),
    )


def _format_state(key: KeySummary) -> str:
    return "withdrawn" if key.withdrawn else "valid"
