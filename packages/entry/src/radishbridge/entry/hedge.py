"""A second attempt elsewhere while the server of the first one is silent.

Load pattern: a backend server that is cut off or hangs answers nothing and breaks no connection.
What it was sent would wait for its deadline, although other servers have room. Only requests that
may run more than once are sent again, out of the retry budget, and the first answer is passed on.
"""

from __future__ import annotations

import asyncio
import logging
import time
import typing as t

from radishbridge.entry.attempt import Attempt
from radishbridge.entry.backends import BackendResponse
from radishbridge.entry.task import AttemptEnd, RequestTask
from radishbridge.records import Failure

# Shortest pause in seconds between two looks at whether a server is silent.
LOOK_MIN_S = 0.02

logger = logging.getLogger(__name__)

Result = BackendResponse | Failure
_Running = dict[asyncio.Task[Result], Attempt]


class Outcome(t.NamedTuple):
    """How an attempt ended."""

    attempt: Attempt
    result: Result


class Hedge:
    """Runs an attempt, and one more once its server has fallen silent.

    :param usual_s: time in seconds that the service usually takes; 0 if unknown.
    :param next_attempt: makes an attempt beside a first one; ``None`` without room or budget.
    """

    __slots__ = ("next_attempt", "task", "usual_s")

    def __init__(
        self, task: RequestTask, usual_s: float, next_attempt: t.Callable[[Attempt], Attempt | None]
    ) -> None:
        self.task = task
        self.usual_s = usual_s
        self.next_attempt = next_attempt

    async def run(self, first: Attempt) -> Outcome:
        """Return the first answer; without any, how the last attempt ended."""
        running: _Running = {asyncio.create_task(first.run()): first}
        try:
            await self._watch(first, running)
            return await self._first_answer(running)
        finally:
            for one in running:
                one.cancel()
            await asyncio.gather(*running, return_exceptions=True)

    async def _watch(self, first: Attempt, running: _Running) -> None:
        # Starts the second attempt if the first one's server falls silent before it answers.
        if self.usual_s <= 0.0:
            return
        while True:
            pause_s = first.state.seconds_until_silent(self.usual_s, time.monotonic())
            done, _ = await asyncio.wait(running, timeout=max(LOOK_MIN_S, pause_s))
            if done:
                return
            if not first.state.is_silent(self.usual_s, time.monotonic()):
                continue
            second = self.next_attempt(first)
            if second is None:
                return
            self._note_silence(first, second)
            running[asyncio.create_task(second.run())] = second
            return

    def _note_silence(self, first: Attempt, second: Attempt) -> None:
        first.note_silence()
        logger.info(
            "server silent, sent elsewhere too",
            extra={
                "id": self.task.facts.request_id,
                "server": first.state.server.name,
                "elsewhere": second.state.server.name,
                "usual_ms": round(self.usual_s * 1000.0),
            },
        )

    async def _first_answer(self, running: _Running) -> Outcome:
        while True:
            done, _ = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
            outcomes = [Outcome(running.pop(one), one.result()) for one in done]
            answered = [one for one in outcomes if one.attempt.end is AttemptEnd.ANSWERED]
            if answered:
                return answered[0]
            if not running:
                return outcomes[-1]
