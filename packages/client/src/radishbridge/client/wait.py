"""Waits until written records are in force on every live host."""

from __future__ import annotations

import asyncio
import time
import typing as t

import msgspec

from radishbridge.client.console import Console, pluralize
from radishbridge.client.fleet import FleetClient, live_hosts
from radishbridge.client.write import WrittenRecord
from radishbridge.records import Failure, HostStatus, InForce
from radishbridge.store import HostEntry

POLL_INTERVAL_S = 0.1
HOST_LIST_INTERVAL_S = 1.0

InForceState = t.Literal["in force", "left", "lags", "no answer"]


class HostState(msgspec.Struct, kw_only=True):
    """State of one host at the end of a wait.

    :param state: ``left`` if the platform no longer lists the host as live, ``lags`` if the host
        reports an older version, ``no answer`` if it is listed but does not respond.
    :param reason: why the host lags or does not respond, if known.
    """

    host: str
    state: InForceState
    reason: str = ""


class InForceWait:
    """Polls hosts until each has all records in force or has left, or until the timeout.

    :param written: the records to wait for.
    :param timeout_s: maximum wait in seconds.
    :param clock: monotonic clock in seconds.
    """

    __slots__ = (
        "awaited_records",
        "clock",
        "console",
        "fleet",
        "pending_hosts",
        "states",
        "timeout_s",
        "written",
    )

    def __init__(
        self,
        fleet: FleetClient,
        console: Console,
        written: t.Sequence[WrittenRecord],
        timeout_s: float,
        clock: t.Callable[[], float] = time.monotonic,
    ) -> None:
        self.fleet = fleet
        self.console = console
        self.written = written
        self.timeout_s = timeout_s
        self.clock = clock
        self.pending_hosts: dict[str, HostEntry] = {}
        self.awaited_records: dict[str, list[WrittenRecord]] = {}
        self.states: dict[str, HostState] = {}

    async def run(self) -> list[HostState] | Failure:
        """Wait until the records are in force.

        :return: each host that was live at some time during the wait, sorted by name; ``Failure``
            if the list of hosts could not be read at the start.
        """
        hosts = await self.fleet.read_hosts()
        if isinstance(hosts, Failure):
            return hosts
        self._update_hosts(hosts)
        deadline = self.clock() + self.timeout_s
        refresh_at = self.clock() + HOST_LIST_INTERVAL_S
        while self.pending_hosts:
            await self._poll_pending_hosts()
            if not self.pending_hosts or self.clock() >= deadline:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.clock() >= refresh_at:
                await self._refresh_hosts()
                refresh_at = self.clock() + HOST_LIST_INTERVAL_S
        if self.pending_hosts:
            await self._refresh_hosts()
            await self._poll_pending_hosts()
            await self._fetch_rejections()
        return sorted(self.states.values(), key=lambda state: state.host)

    async def _refresh_hosts(self) -> None:
        hosts = await self.fleet.read_hosts()
        if not isinstance(hosts, Failure):
            self._update_hosts(hosts)

    def _update_hosts(self, hosts: list[HostEntry]) -> None:
        """Remove hosts that left; add hosts that are new or whose address changed."""
        live_by_name = {host.name: host for host in live_hosts(hosts)}
        for name in self.pending_hosts.keys() - live_by_name.keys():
            del self.pending_hosts[name]
            self.states[name] = HostState(host=name, state="left")
        confirmed = {name for name, state in self.states.items() if state.state == "in force"}
        self.pending_hosts |= {
            name: host for name, host in live_by_name.items() if name not in confirmed
        }
        for name in self.pending_hosts:
            self.awaited_records.setdefault(name, list(self.written))

    async def _poll_pending_hosts(self) -> None:
        pending_before = len(self.pending_hosts)
        hosts = list(self.pending_hosts.values())
        states = await asyncio.gather(*(self._check_host(host) for host in hosts))
        for state in states:
            self.states[state.host] = state
            if state.state == "in force":
                del self.pending_hosts[state.host]
        if len(self.pending_hosts) != pending_before:
            confirmed = sum(state.state == "in force" for state in self.states.values())
            self.console.print_progress(
                f"in force on {confirmed} of {pluralize(len(self.states), 'host')}"
            )

    async def _check_host(self, host: HostEntry) -> HostState:
        awaited_records = self.awaited_records[host.name]
        while awaited_records:
            path = f"/v1/in-force/{awaited_records[0].kind}/{awaited_records[0].name}"
            response = await self.fleet.fetch(host, path, InForce)
            if isinstance(response, Failure):
                return HostState(host=host.name, state="no answer", reason=response.reason)
            if response.version < awaited_records[0].version:
                reason = f"{path.removeprefix('/v1/in-force/')} is at version {response.version}"
                return HostState(host=host.name, state="lags", reason=reason)
            awaited_records.pop(0)
        return HostState(host=host.name, state="in force")

    async def _fetch_rejections(self) -> None:
        """Replace the reasons of lagging hosts that report the rejection of an awaited record."""
        lagging = [
            host for name, host in self.pending_hosts.items() if self.states[name].state == "lags"
        ]
        reports = await self.fleet.fetch_all(lagging, "/v1/status", HostStatus)
        for report in reports:
            if isinstance(report, HostStatus):
                self._apply_rejections(report)

    def _apply_rejections(self, report: HostStatus) -> None:
        awaited = {(record.kind, record.name) for record in self.awaited_records[report.host]}
        for rejected in report.rejected:
            if (rejected.kind, rejected.name) in awaited:
                reason = f"rejected it, error {rejected.code}: {rejected.reason}"
                self.states[report.host].reason = reason


def not_in_force(states: t.Iterable[HostState]) -> list[HostState]:
    """Return the live hosts on which the records are not in force."""
    return [state for state in states if state.state in ("lags", "no answer")]
