"""``status``, ``hosts`` and ``explain``: what the hosts of the fleet are doing."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import typing as t

import cappa
import msgspec

from radishbridge.client.console import flatten, plural, table
from radishbridge.client.context import Context
from radishbridge.client.exit_codes import ExitCode
from radishbridge.client.fleet import live
from radishbridge.records import Explanation, Failure, HostStatus, ResultCode
from radishbridge.store import HostEntry

WATCH_INTERVAL_S = 2.0


class HostReport(msgspec.Struct, kw_only=True):
    """One host of a status.

    :param status: what the host itself says; ``None`` where it gave no answer.
    :param reason: why there is no answer.
    """

    host: str
    region: str
    data_center: str
    leaving: bool
    status: HostStatus | None = None
    reason: str = ""

    @property
    def healthy(self) -> bool:
        """Whether the host is as it should be; a leaving one may be silent."""
        if self.status is None:
            return self.leaving
        return self.leaving or (self.status.ready and not self.status.rejected)

    def row(self) -> tuple[object, ...]:
        """Return the host as a row of the table."""
        place = (self.host, self.region, self.data_center)
        if self.status is None:
            return (*place, "leaving" if self.leaving else "no answer", "", "", "", "")
        status = self.status
        fresh = f"{status.fresh_age_s:.1f}" if status.fresh_age_s >= 0 else "never"
        peers = len(status.live_peers)
        return (*place, _state(self), status.revision, fresh, status.in_flight, peers)


@cappa.command(name="status")
@dataclasses.dataclass(slots=True)
class Status:
    """Show the state of every host; exit code 9 where one is not as it should be."""

    watch: t.Annotated[bool, cappa.Arg(long=True, help="Show it again and again.")] = False
    interval: t.Annotated[
        float, cappa.Arg(long=True, help="Seconds between two rounds of --watch.")
    ] = WATCH_INTERVAL_S
    count: t.Annotated[
        int, cappa.Arg(long=True, help="Rounds after which --watch ends; 0 goes on.")
    ] = 0

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        rounds = itertools.count(1) if self.watch else [1]
        code: int = ExitCode.OK
        for number in rounds:
            code = await _show_status(context)
            if number == self.count:
                break
            if self.watch:
                await asyncio.sleep(self.interval)
        return code


@cappa.command(name="hosts")
@dataclasses.dataclass(slots=True)
class Hosts:
    """Show the platform's list of hosts, which lags behind the hosts themselves."""

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        hosts = await context.fleet.hosts()
        if isinstance(hosts, Failure):
            return context.console.fail([hosts])
        hosts = sorted(hosts, key=lambda host: host.name)
        head = ("HOST", "REGION", "DATA CENTRE", "ADDRESS", "ADMIN", "STATE")
        context.console.result(hosts, table(head, map(_host_row, hosts)))
        return ExitCode.OK


@cappa.command(name="explain")
@dataclasses.dataclass(slots=True)
class Explain:
    """Say where a host would send a request now, and why; the request is not sent."""

    path: t.Annotated[str, cappa.Arg(help="Path of the request, as in /catalogue/devices/1.")]
    method: t.Annotated[str, cappa.Arg(long=True, help="Method of the request.")] = "GET"
    workspace: t.Annotated[
        str, cappa.Arg(long=True, help="Workspace of the caller; none without it.")
    ] = ""
    client: t.Annotated[str, cappa.Arg(long=True, help="IP address of the caller.")] = ""
    host: t.Annotated[
        str, cappa.Arg(long=True, help="Host to ask; the first that answers without it.")
    ] = ""

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        hosts = await context.fleet.hosts()
        if isinstance(hosts, Failure):
            return context.console.fail([hosts])
        asked = [host for host in live(hosts) if self.host in ("", host.name)]
        explanation = await self._ask_first(context, asked)
        if isinstance(explanation, Failure):
            return context.console.fail([explanation])
        context.console.result(explanation, _explanation_lines(explanation))
        return ExitCode.OK

    async def _ask_first(
        self, context: Context, hosts: t.Iterable[HostEntry]
    ) -> Explanation | Failure:
        params = {"path": self.path, "method": self.method.upper()}
        optional = {"workspace": self.workspace, "client": self.client}
        params |= {name: value for name, value in optional.items() if value}
        outcome: Explanation | Failure = Failure(
            ResultCode.NOT_FOUND, f"no live host {self.host or 'is listed'}"
        )
        for host in hosts:
            outcome = await context.fleet.fetch(host, "/v1/explain", Explanation, params)
            if not isinstance(outcome, Failure):
                return outcome
        return outcome


async def _show_status(context: Context) -> int:
    hosts = await context.fleet.hosts()
    if isinstance(hosts, Failure):
        return context.console.fail([hosts])
    hosts = sorted(hosts, key=lambda host: host.name)
    answers = await context.fleet.fetch_all(hosts, "/v1/status", HostStatus)
    reports = [_report(host, answer) for host, answer in zip(hosts, answers, strict=True)]
    context.console.result(reports, _status_lines(reports))
    return ExitCode.OK if all(report.healthy for report in reports) else ExitCode.DEGRADED


def _report(host: HostEntry, answer: HostStatus | Failure) -> HostReport:
    status, reason = (None, answer.reason) if isinstance(answer, Failure) else (answer, "")
    return HostReport(
        host=host.name,
        region=host.region,
        data_center=host.data_center,
        leaving=host.leaving or (status is not None and status.leaving),
        status=status,
        reason=reason,
    )


def _status_lines(reports: list[HostReport]) -> list[str]:
    head = ("HOST", "REGION", "DATA CENTRE", "STATE", "REVISION", "FRESH_S", "IN FLIGHT", "PEERS")
    healthy = sum(report.healthy for report in reports)
    details = [_detail_lines(report) for report in reports if not report.healthy]
    total = f"{healthy} of {plural(len(reports), 'host')} as they should be"
    return [*table(head, (report.row() for report in reports)), total, *flatten(details)]


def _detail_lines(report: HostReport) -> list[str]:
    if report.status is None:
        return [f"no answer: {report.reason}"]
    return [
        f"{report.host} keeps {one.kind}/{one.name} aside, error {one.code}: {one.reason}"
        for one in report.status.rejected
    ]


def _state(report: HostReport) -> str:
    if report.leaving:
        return "leaving"
    if report.status is not None and report.status.rejected:
        return "ready, keeps records aside" if report.status.ready else "not ready"
    return "ready" if report.healthy else "not ready"


def _host_row(host: HostEntry) -> tuple[object, ...]:
    state = "leaving" if host.leaving else "live"
    return (host.name, host.region, host.data_center, host.address, host.admin_address, state)


def _explanation_lines(explanation: Explanation) -> list[str]:
    steps = [f"{number}. {step}" for number, step in enumerate(explanation.steps, start=1)]
    candidates = table(
        ("BACKEND", "REGION", "DATA CENTRE", "VERSION", "IN FLIGHT", "VERDICT"),
        (
            (
                one.backend,
                one.region,
                one.data_center,
                one.version,
                f"{one.in_flight}/{one.slots}",
                one.verdict,
            )
            for one in explanation.candidates
        ),
    )
    return [
        _explanation_heading(explanation),
        *steps,
        *(candidates if explanation.candidates else []),
    ]


def _explanation_heading(explanation: Explanation) -> str:
    if not explanation.code:
        return f"{explanation.host} would forward the request to service {explanation.service}"
    name = ResultCode(explanation.code).name if explanation.code in list(ResultCode) else "newer"
    return f"{explanation.host} would refuse the request: error {explanation.code} ({name})"
