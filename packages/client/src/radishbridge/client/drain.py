"""``radishbridge drain``: writes, deletes and lists the records of drains."""

from __future__ import annotations

import dataclasses
import typing as t

import cappa
import msgspec

from radishbridge.client._arguments import Name
from radishbridge.client.console import format_table
from radishbridge.client.context import Context
from radishbridge.client.exit_codes import ExitCode
from radishbridge.client.finish import DEFAULT_WAIT_S, Timeout, finish_write
from radishbridge.client.record import list_records
from radishbridge.client.write import create_record, delete_record, require_record
from radishbridge.records import Drain, Failure, ResultCode

DRAIN_SCOPES = ["backend", "data_center", "region", "host"]
DEFAULT_DEADLINE_S = 60.0
NO_COMPLETION_REPORT_NOTE = (
    "note: hosts give a drained backend server no new request; "
    "they do not report when the last one ends"
)


class DrainSummary(msgspec.Struct, kw_only=True):
    """A drain as ``drain list`` shows it.

    :param deadline_s: seconds after which the drain counts as late.
    """

    name: str
    scope: str
    target: str
    service: str
    deadline_s: float
    version: int


@cappa.command(name="start")
@dataclasses.dataclass(slots=True)
class Start:
    """Write the record of a drain.

    This release stores and distributes the record only: no host acts on it yet.
    """

    scope: t.Annotated[str, cappa.Arg(choices=DRAIN_SCOPES, help="What is to be drained.")]
    target: t.Annotated[
        str, cappa.Arg(help="Name of the backend server, data centre, region or host.")
    ]
    service: t.Annotated[str, cappa.Arg(long=True, help="Service of the backend server.")] = ""
    deadline: t.Annotated[
        float, cappa.Arg(long=True, help="Seconds after which the drain counts as late.")
    ] = DEFAULT_DEADLINE_S
    name: t.Annotated[
        str, cappa.Arg(long=True, help="Name of the record; derived from the target if omitted.")
    ] = ""
    timeout: Timeout = DEFAULT_WAIT_S

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        if self.scope == "backend" and not self.service:
            reason = "a backend server needs its service"
            return context.console.fail([Failure(ResultCode.USAGE, reason, "--service")])
        name = self.name or f"{self.scope.replace('_', '-')}-{self.target}"
        written = await create_record(context.store, "drain", name, self._make_body(), reuse=True)
        if isinstance(written, list):
            return context.console.fail(written)
        return await finish_write(context, [written], self.timeout, NO_COMPLETION_REPORT_NOTE)

    def _make_body(self) -> Drain:
        return Drain(
            scope=t.cast(t.Any, self.scope),
            target=self.target,
            service=self.service,
            deadline_s=self.deadline,
        )


@cappa.command(name="stop")
@dataclasses.dataclass(slots=True)
class Stop:
    """End a drain by deleting its record."""

    name: Name
    timeout: Timeout = DEFAULT_WAIT_S

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        stored = await require_record(context.store, "drain", self.name)
        if isinstance(stored, Failure):
            return context.console.fail([stored])
        written = await delete_record(context.store, stored)
        if isinstance(written, Failure):
            return context.console.fail([written])
        return await finish_write(context, [written], self.timeout)


@cappa.command(name="list")
@dataclasses.dataclass(slots=True)
class ListDrains:
    """List the records of drains."""

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        records = await list_records(context, ["drain"])
        if isinstance(records, Failure):
            return context.console.fail([records])
        shown = [
            DrainSummary(name=record.name, version=record.version, **_summary_fields(record.spec))
            for record in records
            if not record.deleted
        ]
        rows = (
            (drain.name, drain.scope, drain.target, drain.service, drain.deadline_s)
            for drain in shown
        )
        headers = ("NAME", "SCOPE", "TARGET", "SERVICE", "DEADLINE_S")
        context.console.print_result(shown, format_table(headers, rows))
        return ExitCode.OK


@cappa.command(name="drain")
@dataclasses.dataclass(slots=True)
class DrainGroup:
    """Start, stop and list drains; hosts do not report yet when a drain is complete."""

    command: cappa.Subcommands[Start | Stop | ListDrains]

    async def run(self, context: Context) -> int:
        """Run the chosen command and return its exit code."""
        return await self.command.run(context)


def _summary_fields(spec: dict[str, t.Any]) -> dict[str, t.Any]:
    defaults = {"scope": "", "target": "", "service": "", "deadline_s": DEFAULT_DEADLINE_S}
    return {name: spec.get(name, default) for name, default in defaults.items()}
