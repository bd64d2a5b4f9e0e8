"""Background tasks, which an exit stack cancels when it closes and which begin again after errors.

An error in one task must not end the host, or leave it running without that task.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import logging
import time
import typing as t

# First and longest pause in seconds before a task begins again; it doubles with each error.
RESTART_PAUSE_S = 0.1
RESTART_PAUSE_MAX_S = 5.0
# A task that has run for this long since its last error, in seconds, counts as healthy.
HEALTHY_AFTER_S = 10.0
# Errors of one task without a healthy time between them after which the host counts as failing.
ERRORS_TO_FAIL = 5

logger = logging.getLogger(__name__)

Run = t.Callable[[], t.Coroutine[t.Any, t.Any, None]]


class Supervisor:
    """Runs the background tasks of a host.

    :param stack: cancels each task and waits for it when it closes.
    :param clock: monotonic clock in seconds.
    :param sleep: waits before a task begins again.
    :param restarts: errors by task since the start, each of which was followed by a restart.
    :param errors_in_a_row: errors by task since it was last healthy.
    :param begun_at: monotonic time by task at which it last began.
    """

    __slots__ = ("begun_at", "clock", "errors_in_a_row", "restarts", "sleep", "stack")

    def __init__(
        self,
        stack: contextlib.AsyncExitStack,
        clock: t.Callable[[], float] = time.monotonic,
        sleep: t.Callable[[float], t.Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self.stack = stack
        self.clock = clock
        self.sleep = sleep
        self.restarts: collections.Counter[str] = collections.Counter()
        self.errors_in_a_row: collections.Counter[str] = collections.Counter()
        self.begun_at: dict[str, float] = {}

    def start(self, name: str, run: Run) -> asyncio.Task[None]:
        """Start a task, which begins again after each error until it returns or is cancelled.

        :param name: for the log and the metrics.
        """
        task = asyncio.create_task(self._run(name, run), name=name)
        self.stack.push_async_callback(end_task, task)
        return task

    @property
    def is_failing(self) -> bool:
        """Return whether a task fails again and again, so that the host lacks what it does."""
        now = self.clock()
        return any(
            count >= ERRORS_TO_FAIL and now - self.begun_at[name] < HEALTHY_AFTER_S
            for name, count in self.errors_in_a_row.items()
        )

    async def _run(self, name: str, run: Run) -> None:
        while True:
            self.begun_at[name] = self.clock()
            try:
                await run()
                return
            except Exception as error:
                await self.sleep(self._record_error(name, error))

    def _record_error(self, name: str, error: Exception) -> float:
        if self.clock() - self.begun_at[name] >= HEALTHY_AFTER_S:
            self.errors_in_a_row[name] = 0
        pause_s = min(RESTART_PAUSE_MAX_S, RESTART_PAUSE_S * 2.0 ** self.errors_in_a_row[name])
        self.errors_in_a_row[name] += 1
        self.restarts[name] += 1
        logger.error(
            "background task failed",
            exc_info=error,
            extra={
                "task": name,
                "errors_in_a_row": self.errors_in_a_row[name],
                "again_in_s": pause_s,
            },
        )
        return pause_s


async def end_task(task: asyncio.Task[None]) -> None:
    """Cancel a task and wait for its end."""
    task.cancel()
    await asyncio.wait([task])
