"""Waits until every live host has written records in force."""

from __future__ import annotations

import asyncio
import time
import typing as t

import msgspec

from radishbridge.client.console import Console, plural
from radishbridge.client.fleet import FleetClient, live
from radishbridge.client.write import Written
from radishbridge.records import Failure, HostStatus, InForce
from radishbridge.store import HostEntry

ROUND_PAUSE_S = 0.1
LIST_PAUSE_S = 1.0

State = t.Literal["in force", "left", "lags", "no answer"]


class HostState(msgspec.Struct, kw_only=True):
    """What is known of one host at the end of a wait.

    :param state: ``left`` for a host that the platform no longer lists as live, ``lags`` for one
        that answers with an older version, ``no answer`` for one that is listed and silent.
    :param reason: why the host lags or gives no answer, where it is known.
    """

    host: str
    state: State
    reason: str = ""


class InForceWait:
    """Asks hosts in rounds until each has all records in force, has left, or time is up.

    :param written: the records to wait for.
    :param timeout_s: longest wait in seconds.
    :param clock: monotonic clock in seconds.
    """

    __slots__ = (
        "clock",
        "console",
        "fleet",
        "missing",
        "pending",
        "states",
        "timeout_s",
        "written",
    )

    def __init__(
        self,
        fleet: FleetClient,
        console: Console,
        written: t.Sequence[Written],
        timeout_s: float,
        clock: t.Callable[[], float] = time.monotonic,
    ) -> None:
        self.fleet = fleet
        self.console = console
        self.written = written
        self.timeout_s = timeout_s
        self.clock = clock
        self.pending: dict[str, HostEntry] = {}
        self.missing: dict[str, list[Written]] = {}
        self.states: dict[str, HostState] = {}

    async def run(self) -> list[HostState] | Failure:
        """Wait.

        :return: each host that was live at some time during the wait, by name; ``Failure``
            where the list of hosts could not be read at the start.
        """
        hosts = await self.fleet.hosts()
        if isinstance(hosts, Failure):
            return hosts
        self._follow_list(hosts)
        deadline = self.clock() + self.timeout_s
        list_at = self.clock() + LIST_PAUSE_S
        while self.pending:
            await self._ask_pending()
            if not self.pending or self.clock() >= deadline:
                break
            await asyncio.sleep(ROUND_PAUSE_S)
            if self.clock() >= list_at:
                await self._read_list()
                list_at = self.clock() + LIST_PAUSE_S
        if self.pending:
            await self._read_list()
            await self._ask_pending()
            await self._explain_lags()
        return sorted(self.states.values(), key=lambda state: state.host)

    async def _read_list(self) -> None:
        hosts = await self.fleet.hosts()
        if not isinstance(hosts, Failure):
            self._follow_list(hosts)

    def _follow_list(self, hosts: list[HostEntry]) -> None:
        """Drop hosts that left and take up hosts that are new or listen elsewhere."""
        listed = {host.name: host for host in live(hosts)}
        for name in self.pending.keys() - listed.keys():
            del self.pending[name]
            self.states[name] = HostState(host=name, state="left")
        done = {name for name, state in self.states.items() if state.state == "in force"}
        self.pending |= {name: host for name, host in listed.items() if name not in done}
        for name in self.pending:
            self.missing.setdefault(name, list(self.written))

    async def _ask_pending(self) -> None:
        before = len(self.pending)
        hosts = list(self.pending.values())
        states = await asyncio.gather(*(self._ask(host) for host in hosts))
        for state in states:
            self.states[state.host] = state
            if state.state == "in force":
                del self.pending[state.host]
        if len(self.pending) != before:
            done = sum(state.state == "in force" for state in self.states.values())
            self.console.tell(f"in force on {done} of {plural(len(self.states), 'host')}")

    async def _ask(self, host: HostEntry) -> HostState:
        missing = self.missing[host.name]
        while missing:
            at = f"/v1/in-force/{missing[0].kind}/{missing[0].name}"
            answer = await self.fleet.fetch(host, at, InForce)
            if isinstance(answer, Failure):
                return HostState(host=host.name, state="no answer", reason=answer.reason)
            if answer.version < missing[0].version:
                reason = f"{at.removeprefix('/v1/in-force/')} is at version {answer.version}"
                return HostState(host=host.name, state="lags", reason=reason)
            missing.pop(0)
        return HostState(host=host.name, state="in force")

    async def _explain_lags(self) -> None:
        """Add the reason a host itself gives for a record that it keeps aside."""
        lagging = [host for name, host in self.pending.items() if self.states[name].state == "lags"]
        reports = await self.fleet.fetch_all(lagging, "/v1/status", HostStatus)
        for report in reports:
            if isinstance(report, HostStatus):
                self._add_rejection(report)

    def _add_rejection(self, report: HostStatus) -> None:
        awaited = {(one.kind, one.name) for one in self.missing[report.host]}
        for rejected in report.rejected:
            if (rejected.kind, rejected.name) in awaited:
                reason = f"keeps it aside, error {rejected.code}: {rejected.reason}"
                self.states[report.host].reason = reason


def not_in_force(states: t.Iterable[HostState]) -> list[HostState]:
    """Return the live hosts that do not have the records in force."""
    return [state for state in states if state.state in ("lags", "no answer")]
