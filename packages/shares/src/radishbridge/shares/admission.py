"""Admission of requests within their workspace's rate and burst over all hosts."""

from __future__ import annotations

import asyncio
import time
import typing as t

from radishbridge.peers import PeerMesh
from radishbridge.records import Failure, Rate, Record, ResultCode, Workspace
from radishbridge.shares.account import IDLE_REQUESTS_PER_S, ShareAccount
from radishbridge.shares.exchange import ShareExchange
from radishbridge.shares.lease import ShareLease, ShareTimes
from radishbridge.shares.membership import ShareMembership
from radishbridge.shares.promises import PromiseExchange
from radishbridge.shares.table import MAX_HOLDERS, HolderKey
from radishbridge.store import ObjectStore

TICK_S = 0.05
GRANT_WINDOW_S = 0.05
LONGEST_RETRY_AFTER_S = 60.0
UNIT_WAIT_S = 1.0
LONGEST_WAIT_S = 0.1
MAX_WAITERS = 1000
SHORTEST_WAIT_S = 0.002
LEAVE_PAUSE_S = 0.2


class ShareAdmission:
    """Decides at once, from this host's own units, whether a request is within its rate.

    :param name: this host's name.
    :param incarnation: differs for each start of the process.
    :param clock: monotonic clock in seconds, the one whose times ``admit`` is given.
    """

    __slots__ = (
        "_leaving",
        "_rates",
        "_removed",
        "_waiters",
        "accounts",
        "active",
        "clock",
        "exchange",
        "lease",
        "membership",
        "promises",
    )

    def __init__(
        self,
        store: ObjectStore,
        mesh: PeerMesh,
        name: str,
        incarnation: int,
        clock: t.Callable[[], float] = time.monotonic,
        times: ShareTimes | None = None,
    ) -> None:
        self.clock = clock
        self.accounts: dict[str, ShareAccount] = {}
        self.active: set[str] = set()
        self.lease = ShareLease(HolderKey(name, incarnation), times or ShareTimes())
        self.lease.listeners.append(self.settle)
        self.membership = ShareMembership(store, self.lease, clock, self.lent_units)
        self.exchange = ShareExchange(mesh, self.lease, self.accounts, clock)
        self.exchange.received.append(self._wake)
        self.promises = PromiseExchange(mesh, self.lease, clock)
        self._rates: dict[str, Rate] = {}
        self._removed: set[str] = set()
        self._waiters: dict[str, list[asyncio.Future[None]]] = {}
        self._leaving = False

    def admit(self, workspace: str, now: float) -> Failure | None:
        """Spend one request of the workspace's share.

        :param now: monotonic time in seconds.
        :return: ``None`` where admitted, ``RATE_EXCEEDED`` or ``SHARE_UNAVAILABLE`` otherwise.
        """
        return self._decide(workspace, now, again=False)

    def retry_admit(self, workspace: str, now: float) -> Failure | None:
        """Decide anew on a request that was refused, without counting it as demand again."""
        return self._decide(workspace, now, again=True)

    def _decide(self, workspace: str, now: float, again: bool) -> Failure | None:
        account = self.accounts.get(workspace)
        if account is None:
            return Failure(ResultCode.RATE_EXCEEDED, f"workspace {workspace} has no rate")
        now = max(now, self.clock())
        admitted = account.admit(now, again)
        self.active.add(workspace)
        if not self._leaving:
            self.exchange.consider(workspace, now)
        # The process may have been paused in this method, for longer than its lease.
        if self.clock() - now > GRANT_WINDOW_S:
            return Failure(ResultCode.SHARE_UNAVAILABLE, "the host was paused")
        if admitted:
            return None
        if account.units() <= 0 and self.lease.usable(now) <= 0:
            return Failure(ResultCode.SHARE_UNAVAILABLE, "the host holds no valid share")
        return Failure(ResultCode.RATE_EXCEEDED, f"workspace {workspace} is over its rate")

    async def acquire(self, workspace: str) -> Failure | None:
        """Admit a request, waiting shortly for tokens that are due or under way to this host."""
        now = self.clock()
        give_up_at = now + LONGEST_WAIT_S
        refusal = self.admit(workspace, now)
        while refusal is not None and now < give_up_at:
            refill_s = self.retry_after_s(workspace)
            if now + refill_s <= give_up_at:
                await asyncio.sleep(max(refill_s, SHORTEST_WAIT_S))
            elif not await self._answered(workspace, now, give_up_at):
                return refusal
            now = self.clock()
            refusal = self.retry_admit(workspace, now)
        return refusal

    def retry_after_s(self, workspace: str) -> float:
        """Return the seconds after which a refused request may be admitted."""
        account = self.accounts.get(workspace)
        if account is None or account.rate <= 0.0 or account.burst < 1.0:
            return LONGEST_RETRY_AFTER_S
        if account.units() <= 0:
            return UNIT_WAIT_S
        wait_s = account.bucket.wait_s(1.0)
        if wait_s == float("inf"):
            return max(UNIT_WAIT_S, 1.0 / account.rate)
        return min(wait_s, LONGEST_RETRY_AFTER_S)

    def update(self, record: Record) -> None:
        """Put a changed rate or workspace record in force."""
        if record.kind == "rate":
            self._rates.pop(record.name, None)
            if isinstance(record.body, Rate):
                self._rates[record.name] = record.body
        elif record.kind == "workspace":
            self._removed.discard(record.name)
            if not isinstance(record.body, Workspace):
                self._removed.add(record.name)
        else:
            return
        self._apply(record.name, self.clock())

    def may_admit(self) -> bool:
        """Tell whether this host holds units, or has to borrow because the table is full."""
        full = len(self.lease.table.holders) >= MAX_HOLDERS
        return full or self.lease.usable(self.clock()) > 0

    def settle(self, now: float) -> None:
        """Put a changed number of units in force for all quantities."""
        for account in self.accounts.values():
            account.settle(now)

    def lent_units(self, now: float) -> int:
        """Return the most units of the table that are lent out for any quantity."""
        self.settle(now)
        accounts = self.accounts.values()
        return max((one.lent_units() + one.sent_units() for one in accounts), default=0)

    def tick(self, now: float) -> None:
        """Ask ahead for the quantities in use, and forget requests that are late."""
        self.exchange.expire(now)
        idle = {
            name
            for name in self.active
            if name not in self.accounts
            or (
                self.accounts[name].demand.rate(now) < IDLE_REQUESTS_PER_S
                and not self.accounts[name].borrowed
            )
        }
        self.active -= idle
        for name in self.active:
            self.exchange.consider(name, now)
            self.exchange.hand_back(name, now)

    async def run(self) -> None:
        """Run the tasks of the shares until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.membership.run())
            group.create_task(self.promises.run())
            group.create_task(self._run_ticks())

    async def leave(self, deadline_s: float) -> Failure | None:
        """Give the units back once none are lent out; the caller has cancelled ``run``.

        :param deadline_s: longest wait in seconds.
        """
        self._leaving = True
        self.exchange.closed = True
        give_up_at = self.clock() + deadline_s
        while self.lent_units(self.clock()) > 0 or self.clock() < self.lease.promised_until:
            if self.clock() >= give_up_at:
                return Failure(ResultCode.LEASE_LOST, "units are still lent out")
            await asyncio.sleep(LEAVE_PAUSE_S)
        return await self.membership.leave()

    async def _run_ticks(self) -> None:
        while True:
            self.tick(self.clock())
            await asyncio.sleep(TICK_S)

    def _apply(self, workspace: str, now: float) -> None:
        rate = None if workspace in self._removed else self._rates.get(workspace)
        account = self.accounts.get(workspace)
        if account is not None:
            limits = rate or Rate(requests_per_second=0.0, burst=0.0)
            account.set_rate(max(0.0, limits.requests_per_second), max(0.0, limits.burst), now)
        elif rate is not None:
            self.accounts[workspace] = ShareAccount(self.lease, 0.0, 0.0, now)
            self._apply(workspace, now)

    async def _answered(self, workspace: str, now: float, give_up_at: float) -> bool:
        if not self.exchange.expects_answer(workspace, now):
            return False
        return await self._wait(workspace, give_up_at - now)

    async def _wait(self, workspace: str, timeout_s: float) -> bool:
        waiters = self._waiters.setdefault(workspace, [])
        if len(waiters) >= MAX_WAITERS:
            return False
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiters.append(future)
        try:
            async with asyncio.timeout(timeout_s):
                await future
        except TimeoutError:
            return False
        return True

    def _wake(self, workspace: str) -> None:
        for future in self._waiters.pop(workspace, []):
            if not future.done():
                future.set_result(None)
