"""``radishbridge report``: how well workspaces are served."""

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
    burn_table,
    sum_burn,
)
from radishbridge.client.burn_chart import check_picture_path, draw_burn
from radishbridge.client.console import plural, table
from radishbridge.client.context import Context
from radishbridge.client.exit_codes import ExitCode
from radishbridge.client.fleet import live
from radishbridge.records import BurnReport, Failure, ResultCode

DEFAULT_WINDOWS_S = sorted(FAST_WINDOWS_S + SLOW_WINDOWS_S)


@cappa.command(name="burn")
@dataclasses.dataclass(slots=True)
class Burn:
    """Show how fast each workspace's error budget is spent, the worst-served workspace first.

    Windows of 5 min and 1 h show a fast burn, 30 min and 6 h a slow one. Hosts that give no
    answer are named, for their counts are missing.
    """

    window: t.Annotated[
        list[int] | None, cappa.Arg(long=True, help="Length of a window in seconds; repeatable.")
    ] = None
    objective: t.Annotated[
        float, cappa.Arg(long=True, help="Share of requests that are to be good.")
    ] = DEFAULT_OBJECTIVE
    picture: t.Annotated[
        pathlib.Path | None, cappa.Arg(long=True, help="Draw a picture to a .png, .svg or .pdf.")
    ] = None

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        failures = self._check()
        if failures:
            return context.console.fail(failures)
        summary = await self._sum(context)
        if isinstance(summary, Failure):
            return context.console.fail([summary])
        context.console.result(summary, _lines(summary))
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

    async def _sum(self, context: Context) -> BurnSummary | Failure:
        hosts = await context.fleet.hosts()
        if isinstance(hosts, Failure):
            return hosts
        asked = live(hosts)
        answers = await context.fleet.fetch_all(asked, "/v1/burn", BurnReport)
        reports = [answer for answer in answers if isinstance(answer, BurnReport)]
        silent = [
            host.name
            for host, answer in zip(asked, answers, strict=True)
            if isinstance(answer, Failure)
        ]
        windows = self.window or DEFAULT_WINDOWS_S
        return sum_burn(reports, silent, windows, self.objective, time.time())


@cappa.command(name="report")
@dataclasses.dataclass(slots=True)
class ReportGroup:
    """Report how well workspaces are served."""

    command: cappa.Subcommands[Burn]

    async def run(self, context: Context) -> int:
        """Run the chosen command and return its exit code."""
        return await self.command.run(context)


def _lines(summary: BurnSummary) -> list[str]:
    head = ("WORKSPACE", "SERVICE", "WINDOW", "REQUESTS", "BAD", "OVER RATE", "BURN")
    silent = ", ".join(summary.silent_hosts)
    partial = [f"partial: no answer from {silent}"] if silent else []
    worst = f"worst-served workspace: {summary.worst_workspace or 'none burns'}"
    total = f"counts of {plural(summary.hosts, 'host')}, objective {summary.objective:g}"
    return [*table(head, burn_table(summary)), worst, total, *partial]
