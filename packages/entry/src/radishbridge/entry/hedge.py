"""Request hedging: a second attempt at another server while the first one's server is silent.

A backend server that hangs or is cut off sends nothing and closes no connection. Without hedging,
its requests would wait until their deadline although other servers have capacity. Only repeatable
requests are hedged, within the retry budget, and the first response wins.
"""

from __future__ import annotations

import asyncio
import logging
import typing as t

from radishbridge.entry import uptime
from radishbridge.entry.attempt import Attempt
from radishbridge.entry.backends import BackendResponse
from radishbridge.entry.context import AttemptOutcome, RequestContext
from radishbridge.records import Failure

# Shortest interval between two checks whether a server is silent.
SILENCE_CHECK_MIN_S = 0.02

logger = logging.getLogger(__name__)

Result = BackendResponse | Failure
_RunningAttempts = dict[asyncio.Task[Result], Attempt]


class AttemptResult(t.NamedTuple):
    """An attempt and the response or failure that it returned."""

    attempt: Attempt
    result: Result


class Hedge:
    """Runs an attempt, and a second one if its server becomes silent.

    :param typical_latency_s: typical latency of the service in seconds; 0 if unknown.
    :param create_second: returns the second attempt; ``None`` without capacity or budget for it.
    """

    __slots__ = ("context", "create_second", "typical_latency_s")

    def __init__(
        self,
        context: RequestContext,
        typical_latency_s: float,
        create_second: t.Callable[[Attempt], Attempt | None],
    ) -> None:
        self.context = context
        self.typical_latency_s = typical_latency_s
        self.create_second = create_second

    async def run(self, first: Attempt) -> AttemptResult:
        """Return the first response; if there is none, the result of the last attempt."""
        running: _RunningAttempts = {asyncio.create_task(first.run()): first}
        try:
            await self._start_second_if_silent(first, running)
            return await self._first_response(running)
        finally:
            for attempt_task in running:
                attempt_task.cancel()
            await asyncio.gather(*running, return_exceptions=True)

    async def _start_second_if_silent(self, first: Attempt, running: _RunningAttempts) -> None:
        # Starts the second attempt if the first one's server becomes silent before it responds.
        if self.typical_latency_s <= 0.0:
            return
        while True:
            pause_s = first.state.seconds_until_silent(self.typical_latency_s, uptime.now())
            done, _ = await asyncio.wait(running, timeout=max(SILENCE_CHECK_MIN_S, pause_s))
            if done:
                return
            if not first.state.is_silent(self.typical_latency_s, uptime.now()):
                continue
            second = self.create_second(first)
            if second is None:
                return
            self._log_hedge(first, second)
            running[asyncio.create_task(second.run())] = second
            return

    def _log_hedge(self, first: Attempt, second: Attempt) -> None:
        first.record_silence()
        logger.info(
            "server silent; request hedged to another server",
            extra={
                "id": self.context.metadata.request_id,
                "server": first.state.server.name,
                "elsewhere": second.state.server.name,
                "usual_ms": round(self.typical_latency_s * 1000.0),
            },
        )

    async def _first_response(self, running: _RunningAttempts) -> AttemptResult:
        while True:
            done, _ = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
            results = [AttemptResult(running.pop(ended), ended.result()) for ended in done]
            answered = [
                result for result in results if result.attempt.outcome is AttemptOutcome.ANSWERED
            ]
            if answered:
                return answered[0]
            if not running:
                return results[-1]
