"""``radishbridge drain``: records of what is to be taken out of use."""

from __future__ import annotations

import dataclasses
import typing as t

import cappa
import msgspec

from radishbridge.client._arguments import Name
from radishbridge.client.console import table
from radishbridge.client.context import Context
from radishbridge.client.exit_codes import ExitCode
from radishbridge.client.finish import DEFAULT_WAIT_S, Timeout, finish
from radishbridge.client.record import list_records
from radishbridge.client.write import create_record, delete_record, require_record
from radishbridge.records import Drain, Failure, ResultCode

SCOPES = ["backend", "data_center", "region", "host"]
DEFAULT_DEADLINE_S = 60.0
NO_REPORT = (
    "note: hosts give a drained backend server no new request; "
    "they do not report when the last one ends"
)


class DrainSummary(msgspec.Struct, kw_only=True):
    """One drain of a list.

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

    scope: t.Annotated[str, cappa.Arg(choices=SCOPES, help="What is to be drained.")]
    target: t.Annotated[str, cappa.Arg(help="Name of the backend server, data centre or so on.")]
    service: t.Annotated[str, cappa.Arg(long=True, help="Service of the backend server.")] = ""
    deadline: t.Annotated[
        float, cappa.Arg(long=True, help="Seconds after which the drain counts as late.")
    ] = DEFAULT_DEADLINE_S
    name: t.Annotated[
        str, cappa.Arg(long=True, help="Name of the record; made from the target without it.")
    ] = ""
    timeout: Timeout = DEFAULT_WAIT_S

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        if self.scope == "backend" and not self.service:
            reason = "a backend server needs its service"
            return context.console.fail([Failure(ResultCode.USAGE, reason, "--service")])
        name = self.name or f"{self.scope.replace('_', '-')}-{self.target}"
        written = await create_record(context.store, "drain", name, self._body(), reuse=True)
        if isinstance(written, list):
            return context.console.fail(written)
        return await finish(context, [written], self.timeout, NO_REPORT)

    def _body(self) -> Drain:
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
        held = await require_record(context.store, "drain", self.name)
        if isinstance(held, Failure):
            return context.console.fail([held])
        written = await delete_record(context.store, held)
        if isinstance(written, Failure):
            return context.console.fail([written])
        return await finish(context, [written], self.timeout)


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
            DrainSummary(name=record.name, version=record.version, **_fields(record.spec))
            for record in records
            if not record.deleted
        ]
        rows = ((one.name, one.scope, one.target, one.service, one.deadline_s) for one in shown)
        head = ("NAME", "SCOPE", "TARGET", "SERVICE", "DEADLINE_S")
        context.console.result(shown, table(head, rows))
        return ExitCode.OK


@cappa.command(name="drain")
@dataclasses.dataclass(slots=True)
class DrainGroup:
    """Start, stop and list drains; hosts do not report yet when a drain has ended."""

    command: cappa.Subcommands[Start | Stop | ListDrains]

    async def run(self, context: Context) -> int:
        """Run the chosen command and return its exit code."""
        return await self.command.run(context)


def _fields(spec: dict[str, t.Any]) -> dict[str, t.Any]:
    defaults = {"scope": "", "target": "", "service": "", "deadline_s": DEFAULT_DEADLINE_S}
    return {name: spec.get(name, default) for name, default in defaults.items()}
