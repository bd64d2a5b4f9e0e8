"""``radishbridge move``: writes and lists the records of moves of traffic between versions."""

from __future__ import annotations

import dataclasses
import typing as t

import cappa
import msgspec

from radishbridge.client.console import format_table
from radishbridge.client.context import Context
from radishbridge.client.exit_codes import ExitCode
from radishbridge.client.finish import DEFAULT_WAIT_S, Timeout, finish_write
from radishbridge.client.manifest import StoredRecord
from radishbridge.client.record import list_records
from radishbridge.client.write import create_record, require_record
from radishbridge.records import Failure, Move

DEFAULT_DEADLINE_S = 600.0
DEFAULT_STEP = 0.1
DEFAULT_EXPOSURE = 0.01
DEFAULT_VERSION = "1"
RECORD_ONLY_NOTE = "note: the record is in place; hosts of this release do not move traffic yet"


class MoveSummary(msgspec.Struct, kw_only=True):
    """A move as ``move list`` shows it.

    :param deadline_s: seconds after which the move counts as late.
    """

    name: str
    service: str
    from_version: str
    to_version: str
    deadline_s: float
    version: int


@cappa.command(name="start")
@dataclasses.dataclass(slots=True)
class Start:
    """Write the record of a move of a service's traffic to another version.

    This release stores and distributes the record only: no host moves traffic by it yet.
    """

    service: t.Annotated[str, cappa.Arg(help="Name of the service.")]
    to_version: t.Annotated[str, cappa.Arg(long="--to", help="Version that is to get traffic.")]
    deadline: t.Annotated[
        float, cappa.Arg(long=True, help="Seconds after which the move counts as late.")
    ] = DEFAULT_DEADLINE_S
    step: t.Annotated[
        float,
        cappa.Arg(long=True, help="Largest increase of the traffic share in one step, 0 to 1."),
    ] = DEFAULT_STEP
    exposure: t.Annotated[
        float, cappa.Arg(long=True, help="Largest traffic share of an unproven version, 0 to 1.")
    ] = DEFAULT_EXPOSURE
    timeout: Timeout = DEFAULT_WAIT_S

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        service = await require_record(context.store, "service", self.service)
        if isinstance(service, Failure):
            return context.console.fail([service])
        body = self._make_body(str(service.spec.get("stable_version", DEFAULT_VERSION)))
        name = f"{self.service}-{self.to_version}"
        written = await create_record(context.store, "move", name, body, reuse=True)
        if isinstance(written, list):
            return context.console.fail(written)
        return await finish_write(context, [written], self.timeout, RECORD_ONLY_NOTE)

    def _make_body(self, stable: str) -> Move:
        return Move(
            service=self.service,
            from_version=stable,
            to_version=self.to_version,
            deadline_s=self.deadline,
            step=self.step,
            exposure=self.exposure,
        )


@cappa.command(name="list")
@dataclasses.dataclass(slots=True)
class ListMoves:
    """List the records of moves."""

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        records = await list_records(context, ["move"])
        if isinstance(records, Failure):
            return context.console.fail([records])
        shown = [_summarize(record) for record in records if not record.deleted]
        rows = (
            (move.name, move.service, move.from_version, move.to_version, move.deadline_s)
            for move in shown
        )
        headers = ("NAME", "SERVICE", "FROM", "TO", "DEADLINE_S")
        context.console.print_result(shown, format_table(headers, rows))
        return ExitCode.OK


@cappa.command(name="move")
@dataclasses.dataclass(slots=True)
class MoveGroup:
    """Write and list records of moves; no host of this release acts on them yet."""

    command: cappa.Subcommands[Start | ListMoves]

    async def run(self, context: Context) -> int:
        """Run the chosen command and return its exit code."""
        return await self.command.run(context)


def _summarize(record: StoredRecord) -> MoveSummary:
    spec = record.spec
    return MoveSummary(
        name=record.name,
        service=str(spec.get("service", "")),
        from_version=str(spec.get("from_version", "")),
        to_version=str(spec.get("to_version", "")),
        deadline_s=float(spec.get("deadline_s", DEFAULT_DEADLINE_S)),
        version=record.version,
    )
