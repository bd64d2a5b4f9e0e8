"""Tasks that live as long as a composition root's exit stack."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import typing as t

logger = logging.getLogger(__name__)


def start_task(
    stack: contextlib.AsyncExitStack, coroutine: t.Coroutine[t.Any, t.Any, None]
) -> asyncio.Task[None]:
    """Start a task that the stack ends; the failure of one is logged.

    :param stack: cancels the task and waits for it when it closes.
    """
    task = asyncio.create_task(coroutine)
    task.add_done_callback(_report_end)
    stack.push_async_callback(end_task, task)
    return task


async def end_task(task: asyncio.Task[None]) -> None:
    """Cancel a task and wait for its end."""
    task.cancel()
    await asyncio.wait([task])


def _report_end(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        logger.error("a task of the host failed", exc_info=task.exception())
