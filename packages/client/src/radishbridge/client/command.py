"""Entry point of ``radishbridge``: its commands and the options they share."""

from __future__ import annotations

import asyncio
import dataclasses
import sys
import typing as t

import cappa

from radishbridge.client.apply import Apply
from radishbridge.client.console import Console
from radishbridge.client.context import check_store_url, open_context
from radishbridge.client.drain import DrainGroup
from radishbridge.client.edit import Edit
from radishbridge.client.explain_request import ExplainRequest
from radishbridge.client.key import KeyGroup
from radishbridge.client.move import MoveGroup
from radishbridge.client.record import Delete, Diff, Get, List, Validate
from radishbridge.client.report import ReportGroup
from radishbridge.client.status import Explain, Hosts, Status
from radishbridge.records import ResultCode

VERSION = "0.1.0"
ERROR_FORMAT = (
    "{short_help}\n\n"
    f"error {int(ResultCode.USAGE)} ({ResultCode.USAGE.name}): {{message}}\n"
    "hint: `{prog} --help` lists what the command takes"
)


@cappa.command(name="radishbridge")
@dataclasses.dataclass(slots=True)
class Client:
    """Operate a fleet of radishbridge hosts.

    `--completion generate` prints the completion for the shell in $SHELL.
    """

    command: cappa.Subcommands[
        Apply
        | Get
        | List
        | Edit
        | Diff
        | Validate
        | Delete
        | KeyGroup
        | DrainGroup
        | MoveGroup
        | Status
        | Hosts
        | Explain
        | ExplainRequest
        | ReportGroup
    ]
    store: t.Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env("RADISHBRIDGE_STORE", default=""),
            help="URL of the object API; defaults to RADISHBRIDGE_STORE.",
        ),
    ]
    json: t.Annotated[
        bool, cappa.Arg(long=True, propagate=True, help="Print results and errors as JSON.")
    ] = False
    progress: t.Annotated[
        bool,
        cappa.Arg(
            long=True, propagate=True, help="Print progress even if stderr is not a terminal."
        ),
    ] = False


async def run(argv: list[str] | None = None) -> int:
    """Run one command.

    :param argv: arguments without the program's name; ``None`` uses those of the process.
    :return: exit code.
    """
    output = cappa.Output(error_format=ERROR_FORMAT)
    client = cappa.parse(Client, argv=argv, version=VERSION, output=output)
    console = Console(client.json, client.progress)
    if not isinstance(client.command, Validate | ExplainRequest):
        failure = check_store_url(client.store)
        if failure is not None:
            return console.fail([failure])
    async with open_context(console, client.store) as context:
        return await client.command.run(context)


def main() -> None:
    """Run ``radishbridge`` with the process's arguments."""
    try:
        sys.exit(asyncio.run(run()))
    except KeyboardInterrupt:
        sys.exit("interrupted")
