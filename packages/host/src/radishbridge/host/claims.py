"""Claims idempotency keys around the run of a request that may not be repeated."""

from __future__ import annotations

import asyncio
import logging
import typing as t

from aiohttp import web

from radishbridge.claims import Claim, ClaimRegistry
from radishbridge.host.exchange import Exchange
from radishbridge.records import Failure

IDEMPOTENCY_HEADER = "Idempotency-Key"

logger = logging.getLogger(__name__)

Answer = web.StreamResponse | Failure
Run = t.Callable[[Exchange], t.Awaitable[Answer]]


class ClaimGuard:
    """Runs a request only if its idempotency key has not been claimed before.

    A request without a key is run unclaimed: the host sends it once, but cannot recognise it when
    the caller sends it again.
    """

    __slots__ = ("registry", "tasks")

    def __init__(self, registry: ClaimRegistry) -> None:
        self.registry = registry
        self.tasks: set[asyncio.Task[None]] = set()

    async def run_once(self, exchange: Exchange, run: Run) -> Answer:
        """Claim the request's key, run it, and record what became of it."""
        key = ", ".join(exchange.request.headers.getall(IDEMPOTENCY_HEADER, ()))
        if not key:
            return await run(exchange)
        claim = await self.registry.claim(exchange.workspace, key)
        if isinstance(claim, Failure):
            return claim
        status = 0
        try:
            answer = await run(exchange)
            if not isinstance(answer, Failure) and not exchange.cut_off:
                status = answer.status
            return answer
        finally:
            self._settle_later(claim, status, exchange.may_have_run)

    async def settled(self) -> None:
        """Wait until all outcomes are recorded."""
        if self.tasks:
            await asyncio.wait(self.tasks)

    def _settle_later(self, claim: Claim, status: int, may_have_run: bool) -> None:
        # The caller need not wait: until the outcome is recorded, the claim says "may have run".
        task = asyncio.create_task(self._settle(claim, status, may_have_run))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _settle(self, claim: Claim, status: int, may_have_run: bool) -> None:
        failure: Failure | None = None
        if not may_have_run:
            failure = await self.registry.release(claim)
        elif status:
            failure = await self.registry.finish(claim, status)
        if failure is not None:
            logger.warning("outcome of a claim not recorded: %s", failure.reason)
