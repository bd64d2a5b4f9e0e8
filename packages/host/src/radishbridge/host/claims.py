"""Claims idempotency keys of requests that must run at most once."""

from __future__ import annotations

import asyncio
import logging
import typing as t

from aiohttp import web

from radishbridge.claims import Claim, ClaimRegistry
from radishbridge.host.context import RequestContext
from radishbridge.records import Failure

IDEMPOTENCY_HEADER = "Idempotency-Key"

logger = logging.getLogger(__name__)

Result = web.StreamResponse | Failure
RunRequest = t.Callable[[RequestContext], t.Awaitable[Result]]


class ClaimGuard:
    """Runs a request only if its idempotency key has not been claimed before.

    A request without a key runs without a claim: the host sends it once, but cannot recognise it
    if the caller sends it again.

    :param tasks: tasks that record outcomes in the background.
    """

    __slots__ = ("registry", "tasks")

    def __init__(self, registry: ClaimRegistry) -> None:
        self.registry = registry
        self.tasks: set[asyncio.Task[None]] = set()

    async def run_once(self, context: RequestContext, run: RunRequest) -> Result:
        """Claim the request's key, run the request, and record its outcome.

        :return: the response, or why the request was refused or failed.
        """
        key = ", ".join(context.request.headers.getall(IDEMPOTENCY_HEADER, ()))
        if not key:
            return await run(context)
        claim = await self.registry.claim(context.workspace, key)
        if isinstance(claim, Failure):
            return claim
        status = 0
        try:
            result = await run(context)
            if not isinstance(result, Failure) and not context.response_aborted:
                status = result.status
            return result
        finally:
            self._start_recording(claim, status, context.may_have_run)

    async def wait_recorded(self) -> None:
        """Wait until the outcomes of all claims are recorded."""
        if self.tasks:
            await asyncio.wait(self.tasks)

    def _start_recording(self, claim: Claim, status: int, may_have_run: bool) -> None:
        # The caller need not wait: a claim without an outcome counts as "may have run".
        task = asyncio.create_task(self._record_outcome(claim, status, may_have_run))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _record_outcome(self, claim: Claim, status: int, may_have_run: bool) -> None:
        failure: Failure | None = None
        if not may_have_run:
            failure = await self.registry.release(claim)
        elif status:
            failure = await self.registry.finish(claim, status)
        if failure is not None:
            logger.warning("could not record the outcome of a claim: %s", failure.reason)
