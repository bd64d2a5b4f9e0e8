"""``radishbridge report``: reports on the service levels of workspaces."""

from __future__ import annotations

import dataclasses
import pathlib
import time
import typing as t

import cappa

from radishbridge.client.burn import (
    DEFAULT_OBJECTIVE,
    FAST_WINDOWS_S,
    SLOW_WINDOWS_S,
    BurnSummary,
    burn_rows,
    sum_burn,
)
from radishbridge.client.burn_chart import check_picture_path, draw_burn
from radishbridge.client.console import format_table, pluralize
from radishbridge.client.context import Context
from radishbridge.client.exit_codes import ExitCode
from radishbridge.client.fleet import live_hosts
from radishbridge.records import BurnReport, Failure, ResultCode

DEFAULT_WINDOWS_S = sorted(FAST_WINDOWS_S + SLOW_WINDOWS_S)


@cappa.command(name="burn")
@dataclasses.dataclass(slots=True)
class Burn:
    """Show how fast each workspace's error budget is spent, the worst-served workspace first.

    Windows of 5 min and 1 h show a fast burn, 30 min and 6 h a slow one. Hosts that do not respond
    are named, because their counts are missing.
    """

    window: t.Annotated[
        list[int] | None, cappa.Arg(long=True, help="Length of a window in seconds; repeatable.")
    ] = None
    objective: t.Annotated[
        float, cappa.Arg(long=True, help="Target share of good requests, between 0 and 1.")
    ] = DEFAULT_OBJECTIVE
    picture: t.Annotated[
        pathlib.Path | None, cappa.Arg(long=True, help="Draw a picture to a .png, .svg or .pdf.")
    ] = None

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        failures = self._check()
        if failures:
            return context.console.fail(failures)
        summary = await self._read_summary(context)
        if isinstance(summary, Failure):
            return context.console.fail([summary])
        context.console.print_result(summary, _format_summary(summary))
        if self.picture is not None:
            failure = draw_burn(summary, self.picture)
            if failure is not None:
                return context.console.fail([failure])
        return ExitCode.DEGRADED if summary.silent_hosts else ExitCode.OK

    def _check(self) -> list[Failure]:
        failures = [check_picture_path(self.picture)] if self.picture else []
        if not 0.0 < self.objective < 1.0:
            reason = "has to be between 0 and 1"
            failures.append(Failure(ResultCode.USAGE, reason, field="--objective"))
        if min(self.window or DEFAULT_WINDOWS_S) <= 0:
            failures.append(Failure(ResultCode.USAGE, "has to be above 0", field="--window"))
        return [failure for failure in failures if failure is not None]

    async def _read_summary(self, context: Context) -> BurnSummary | Failure:
        hosts = await context.fleet.read_hosts()
        if isinstance(hosts, Failure):
            return hosts
        queried = live_hosts(hosts)
        responses = await context.fleet.fetch_all(queried, "/v1/burn", BurnReport)
        reports = [response for response in responses if isinstance(response, BurnReport)]
        silent_hosts = [
            host.name
            for host, response in zip(queried, responses, strict=True)
            if isinstance(response, Failure)
        ]
        windows_s = self.window or DEFAULT_WINDOWS_S
        return sum_burn(reports, silent_hosts, windows_s, self.objective, time.time())


@cappa.command(name="report")
@dataclasses.dataclass(slots=True)
class ReportGroup:
    """Report on the service levels of workspaces."""

    command: cappa.Subcommands[Burn]

    async def run(self, context: Context) -> int:
        """Run the chosen command and return its exit code."""
        return await self.command.run(context)


def _format_summary(summary: BurnSummary) -> list[str]:
    headers = ("WORKSPACE", "SERVICE", "WINDOW", "REQUESTS", "BAD", "OVER RATE", "BURN")
    silent_names = ", ".join(summary.silent_hosts)
    partial = [f"partial: no answer from {silent_names}"] if silent_names else []
    worst = f"worst-served workspace: {summary.worst_workspace or 'none burns'}"
    total = f"counts of {pluralize(summary.hosts, 'host')}, objective {summary.objective:g}"
    return [*format_table(headers, burn_rows(summary)), worst, total, *partial]
