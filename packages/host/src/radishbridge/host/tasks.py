"""Background tasks that an exit stack cancels when it closes."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import typing as t

logger = logging.getLogger(__name__)


def start_task(
    stack: contextlib.AsyncExitStack, coroutine: t.Coroutine[t.Any, t.Any, None]
) -> asyncio.Task[None]:
    """Start a task that is cancelled with the stack; an exception that ends it is logged.

    :param stack: cancels the task and waits for it when it closes.
    """
    task = asyncio.create_task(coroutine)
    task.add_done_callback(_log_failure)
    stack.push_async_callback(end_task, task)
    return task


async def end_task(task: asyncio.Task[None]) -> None:
    """Cancel a task and wait for its end."""
    task.cancel()
    await asyncio.wait([task])


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        logger.error("background task failed", exc_info=task.exception())
