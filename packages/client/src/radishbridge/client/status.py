"""``status``, ``hosts`` and ``explain``: the state and decisions of hosts."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import typing as t

import cappa
import msgspec

from radishbridge.client.console import flatten, format_table, pluralize
from radishbridge.client.context import Context
from radishbridge.client.exit_codes import ExitCode
from radishbridge.client.fleet import live_hosts
from radishbridge.records import Explanation, Failure, HostStatus, ResultCode
from radishbridge.store import HostEntry

WATCH_INTERVAL_S = 2.0


class HostReport(msgspec.Struct, kw_only=True):
    """Status of one host.

    :param leaving: the host is shutting down, according to the platform or to the host.
    :param status: what the host reports; ``None`` if it did not respond.
    :param reason: why the host did not respond.
    """

    host: str
    region: str
    data_center: str
    leaving: bool
    status: HostStatus | None = None
    reason: str = ""

    @property
    def healthy(self) -> bool:
        """Whether the host is leaving, or is ready and rejects no record."""
        if self.status is None:
            return self.leaving
        return self.leaving or (self.status.ready and not self.status.rejected)

    def format_row(self) -> tuple[object, ...]:
        """Format the host as a row of the table."""
        location = (self.host, self.region, self.data_center)
        if self.status is None:
            return (*location, "leaving" if self.leaving else "no answer", "", "", "", "")
        status = self.status
        freshness = f"{status.fresh_age_s:.1f}" if status.fresh_age_s >= 0 else "never"
        peers = len(status.live_peers)
        return (*location, _format_state(self), status.revision, freshness, status.in_flight, peers)


@cappa.command(name="status")
@dataclasses.dataclass(slots=True)
class Status:
    """Show the state of every host; exit code 9 if any host is not as it should be."""

    watch: t.Annotated[bool, cappa.Arg(long=True, help="Show the status repeatedly.")] = False
    interval: t.Annotated[
        float, cappa.Arg(long=True, help="Seconds between two rounds of --watch.")
    ] = WATCH_INTERVAL_S
    count: t.Annotated[
        int, cappa.Arg(long=True, help="Number of rounds of --watch; 0 means no limit.")
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
    """Show the platform's list of hosts, which lags behind the state of the hosts."""

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        hosts = await context.fleet.read_hosts()
        if isinstance(hosts, Failure):
            return context.console.fail([hosts])
        hosts = sorted(hosts, key=lambda host: host.name)
        headers = ("HOST", "REGION", "DATA CENTRE", "ADDRESS", "ADMIN", "STATE")
        context.console.print_result(hosts, format_table(headers, map(_format_host, hosts)))
        return ExitCode.OK


@cappa.command(name="explain")
@dataclasses.dataclass(slots=True)
class Explain:
    """Explain where a host would forward a request now; the request is not sent."""

    path: t.Annotated[str, cappa.Arg(help="Path of the request, as in /catalogue/devices/1.")]
    method: t.Annotated[str, cappa.Arg(long=True, help="Method of the request.")] = "GET"
    workspace: t.Annotated[
        str, cappa.Arg(long=True, help="Workspace of the caller; none if omitted.")
    ] = ""
    client: t.Annotated[str, cappa.Arg(long=True, help="IP address of the caller.")] = ""
    host: t.Annotated[
        str, cappa.Arg(long=True, help="Host to query; if omitted, the first that responds.")
    ] = ""

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        hosts = await context.fleet.read_hosts()
        if isinstance(hosts, Failure):
            return context.console.fail([hosts])
        candidates = [host for host in live_hosts(hosts) if self.host in ("", host.name)]
        explanation = await self._fetch_from_first(context, candidates)
        if isinstance(explanation, Failure):
            return context.console.fail([explanation])
        context.console.print_result(explanation, _format_explanation(explanation))
        return ExitCode.OK

    async def _fetch_from_first(
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
    hosts = await context.fleet.read_hosts()
    if isinstance(hosts, Failure):
        return context.console.fail([hosts])
    hosts = sorted(hosts, key=lambda host: host.name)
    responses = await context.fleet.fetch_all(hosts, "/v1/status", HostStatus)
    reports = [
        _make_report(host, response) for host, response in zip(hosts, responses, strict=True)
    ]
    context.console.print_result(reports, _format_status(reports))
    return ExitCode.OK if all(report.healthy for report in reports) else ExitCode.DEGRADED


def _make_report(host: HostEntry, response: HostStatus | Failure) -> HostReport:
    status, reason = (None, response.reason) if isinstance(response, Failure) else (response, "")
    return HostReport(
        host=host.name,
        region=host.region,
        data_center=host.data_center,
        leaving=host.leaving or (status is not None and status.leaving),
        status=status,
        reason=reason,
    )


def _format_status(reports: list[HostReport]) -> list[str]:
    headers = (
        "HOST",
        "REGION",
        "DATA CENTRE",
        "STATE",
        "REVISION",
        "FRESH_S",
        "IN FLIGHT",
        "PEERS",
    )
    healthy = sum(report.healthy for report in reports)
    details = [_format_details(report) for report in reports if not report.healthy]
    total = f"{healthy} of {pluralize(len(reports), 'host')} as they should be"
    return [
        *format_table(headers, (report.format_row() for report in reports)),
        total,
        *flatten(details),
    ]


def _format_details(report: HostReport) -> list[str]:
    if report.status is None:
        return [f"no answer: {report.reason}"]
    return [
        f"{report.host} rejected {record.kind}/{record.name}, error {record.code}: {record.reason}"
        for record in report.status.rejected
    ]


def _format_state(report: HostReport) -> str:
    if report.leaving:
        return "leaving"
    if report.status is not None and report.status.rejected:
        return "ready, rejected records" if report.status.ready else "not ready"
    return "ready" if report.healthy else "not ready"


def _format_host(host: HostEntry) -> tuple[object, ...]:
    state = "leaving" if host.leaving else "live"
    return (host.name, host.region, host.data_center, host.address, host.admin_address, state)


def _format_explanation(explanation: Explanation) -> list[str]:
    steps = [f"{number}. {step}" for number, step in enumerate(explanation.steps, start=1)]
    candidates = format_table(
        ("BACKEND", "REGION", "DATA CENTRE", "VERSION", "IN FLIGHT", "VERDICT"),
        (
            (
                candidate.backend,
                candidate.region,
                candidate.data_center,
                candidate.version,
                f"{candidate.in_flight}/{candidate.slots}",
                candidate.verdict,
            )
            for candidate in explanation.candidates
        ),
    )
    return [
        _format_outcome(explanation),
        *steps,
        *(candidates if explanation.candidates else []),
    ]


def _format_outcome(explanation: Explanation) -> str:
    if not explanation.code:
        return f"{explanation.host} would forward the request to service {explanation.service}"
    name = ResultCode(explanation.code).name if explanation.code in list(ResultCode) else "newer"
    return f"{explanation.host} would refuse the request: error {explanation.code} ({name})"
