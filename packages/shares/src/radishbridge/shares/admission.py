"""Admits requests within their workspace's rate and burst over all hosts."""

from __future__ import annotations

import asyncio
import time
import typing as t

from radishbridge.peers import PeerMesh
from radishbridge.records import Failure, Rate, Record, ResultCode, Workspace
from radishbridge.shares.account import IDLE_THRESHOLD_REQUESTS_PER_S, ShareAccount
from radishbridge.shares.exchange import ShareExchange
from radishbridge.shares.lease import ShareLease, ShareTimes
from radishbridge.shares.membership import ShareMembership
from radishbridge.shares.promises import PromiseExchange
from radishbridge.shares.table import MAX_HOLDERS, HolderKey
from radishbridge.store import ObjectStore

TICK_INTERVAL_S = 0.05
MAX_DECISION_S = 0.05
MAX_RETRY_AFTER_S = 60.0
RETRY_AFTER_WITHOUT_UNITS_S = 1.0
MAX_ADMISSION_WAIT_S = 0.1
MAX_WAITERS_PER_WORKSPACE = 1000
MIN_REFILL_WAIT_S = 0.002
LEAVE_POLL_INTERVAL_S = 0.2


class ShareAdmission:
    """Decides without calling another host whether a request is within its workspace's rate.

    Each decision uses only the units and tokens at this host; more of them are requested from
    other hosts in the background.

    :param name: this host's name.
    :param incarnation: differs for each start of the process.
    :param clock: monotonic clock in seconds, the same that the callers of ``admit`` use.
    :param times: durations of the lease protocol; the defaults of ``ShareTimes`` if ``None``.
    """

    __slots__ = (
        "_deleted_workspaces",
        "_leaving",
        "_rates",
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
        self.lease.unit_listeners.append(self.refresh)
        self.membership = ShareMembership(store, self.lease, clock, self.lent_units)
        self.exchange = ShareExchange(mesh, self.lease, self.accounts, clock)
        self.exchange.transfer_listeners.append(self._wake_waiters)
        self.promises = PromiseExchange(mesh, self.lease, clock)
        self._rates: dict[str, Rate] = {}
        self._deleted_workspaces: set[str] = set()
        self._waiters: dict[str, list[asyncio.Future[None]]] = {}
        self._leaving = False

    def admit(self, workspace: str, now: float) -> Failure | None:
        """Admit a request if this host has a token for its workspace.

        :param now: monotonic time in seconds.
        :return: ``None`` if admitted, ``RATE_EXCEEDED`` or ``SHARE_UNAVAILABLE`` otherwise.
        """
        return self._decide(workspace, now, is_retry=False)

    def retry_admit(self, workspace: str, now: float) -> Failure | None:
        """Decide again on a request that was refused, without counting it as demand again."""
        return self._decide(workspace, now, is_retry=True)

    def _decide(self, workspace: str, now: float, is_retry: bool) -> Failure | None:
        account = self.accounts.get(workspace)
        if account is None:
            return Failure(ResultCode.RATE_EXCEEDED, f"workspace {workspace} has no rate")
        now = max(now, self.clock())
        admitted = account.admit(now, is_retry)
        self.active.add(workspace)
        if not self._leaving:
            self.exchange.request_if_needed(workspace, now)
        # The process may have been paused in this method until after its lease expired.
        if self.clock() - now > MAX_DECISION_S:
            return Failure(ResultCode.SHARE_UNAVAILABLE, "the host was paused")
        if admitted:
            return None
        if account.units() <= 0 and self.lease.usable_units(now) <= 0:
            return Failure(ResultCode.SHARE_UNAVAILABLE, "the host holds no valid share")
        return Failure(ResultCode.RATE_EXCEEDED, f"workspace {workspace} is over its rate")

    async def acquire(self, workspace: str) -> Failure | None:
        """Admit a request, waiting briefly for tokens that refill or arrive from another host.

        :return: ``None`` if admitted, the last refusal otherwise.
        """
        now = self.clock()
        give_up_at = now + MAX_ADMISSION_WAIT_S
        refusal = self.admit(workspace, now)
        while refusal is not None and now < give_up_at:
            refill_s = self.retry_after_s(workspace)
            if now + refill_s <= give_up_at:
                await asyncio.sleep(max(refill_s, MIN_REFILL_WAIT_S))
            elif not await self._wait_for_transfer(workspace, now, give_up_at):
                return refusal
            now = self.clock()
            refusal = self.retry_admit(workspace, now)
        return refusal

    def retry_after_s(self, workspace: str) -> float:
        """Return the seconds after which a refused request may succeed."""
        account = self.accounts.get(workspace)
        if account is None or account.rate <= 0.0 or account.burst < 1.0:
            return MAX_RETRY_AFTER_S
        if account.units() <= 0:
            return RETRY_AFTER_WITHOUT_UNITS_S
        wait_s = account.bucket.wait_s(1.0)
        if wait_s == float("inf"):
            return max(RETRY_AFTER_WITHOUT_UNITS_S, 1.0 / account.rate)
        return min(wait_s, MAX_RETRY_AFTER_S)

    def update(self, record: Record) -> None:
        """Apply a changed rate or workspace record; other kinds are ignored."""
        if record.kind == "rate":
            self._rates.pop(record.name, None)
            if isinstance(record.body, Rate):
                self._rates[record.name] = record.body
        elif record.kind == "workspace":
            self._deleted_workspaces.discard(record.name)
            if not isinstance(record.body, Workspace):
                self._deleted_workspaces.add(record.name)
        else:
            return
        self._apply_rate(record.name, self.clock())

    def may_admit(self) -> bool:
        """Return whether this host holds units, or can only borrow because the table is full."""
        full = len(self.lease.table.holders) >= MAX_HOLDERS
        return full or self.lease.usable_units(self.clock()) > 0

    def refresh(self, now: float) -> None:
        """Apply a changed number of leased units, and expired loans, to all accounts."""
        for account in self.accounts.values():
            account.refresh(now)

    def lent_units(self, now: float) -> int:
        """Return the leased units that can't be given up: the maximum over all accounts.

        In each account, they are lent out or reserved for tokens in transit.
        """
        self.refresh(now)
        accounts = self.accounts.values()
        return max(
            (account.lent_units() + account.reserved_units() for account in accounts), default=0
        )

    def tick(self, now: float) -> None:
        """Request units ahead of need, return unneeded ones, and drop requests that timed out."""
        self.exchange.expire_requests(now)
        idle = {
            name
            for name in self.active
            if name not in self.accounts
            or (
                self.accounts[name].demand.rate(now) < IDLE_THRESHOLD_REQUESTS_PER_S
                and not self.accounts[name].borrowed_loans
            )
        }
        self.active -= idle
        for name in self.active:
            self.exchange.request_if_needed(name, now)
            self.exchange.return_unneeded_loans(name, now)

    async def run(self) -> None:
        """Run the renewal, promise and exchange tasks until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.membership.run())
            group.create_task(self.promises.run())
            group.create_task(self._run_ticks())

    async def leave(self, deadline_s: float) -> Failure | None:
        """Give this host's units back once none are lent out.

        The caller has to cancel ``run`` first.

        :param deadline_s: maximum wait in seconds.
        :return: ``None`` if the units were given back, ``LEASE_LOST`` if some are still lent out
            at the deadline, or the failure of the store.
        """
        self._leaving = True
        self.exchange.closed = True
        give_up_at = self.clock() + deadline_s
        while self.lent_units(self.clock()) > 0 or self.clock() < self.lease.no_writes_until:
            if self.clock() >= give_up_at:
                return Failure(ResultCode.LEASE_LOST, "units are still lent out")
            await asyncio.sleep(LEAVE_POLL_INTERVAL_S)
        return await self.membership.leave()

    async def _run_ticks(self) -> None:
        while True:
            self.tick(self.clock())
            await asyncio.sleep(TICK_INTERVAL_S)

    def _apply_rate(self, workspace: str, now: float) -> None:
        rate = None if workspace in self._deleted_workspaces else self._rates.get(workspace)
        account = self.accounts.get(workspace)
        if account is not None:
            limits = rate or Rate(requests_per_second=0.0, burst=0.0)
            account.set_rate(max(0.0, limits.requests_per_second), max(0.0, limits.burst), now)
        elif rate is not None:
            self.accounts[workspace] = ShareAccount(self.lease, 0.0, 0.0, now)
            self._apply_rate(workspace, now)

    async def _wait_for_transfer(self, workspace: str, now: float, give_up_at: float) -> bool:
        if not self.exchange.awaits_transfer(workspace, now):
            return False
        return await self._wait_for_wakeup(workspace, give_up_at - now)

    async def _wait_for_wakeup(self, workspace: str, timeout_s: float) -> bool:
        waiters = self._waiters.setdefault(workspace, [])
        if len(waiters) >= MAX_WAITERS_PER_WORKSPACE:
            return False
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiters.append(future)
        try:
            async with asyncio.timeout(timeout_s):
                await future
        except TimeoutError:
            return False
        return True

    def _wake_waiters(self, workspace: str) -> None:
        for future in self._waiters.pop(workspace, []):
            if not future.done():
                future.set_result(None)
