"""An event loop whose clock jumps to the next timer, so that waiting takes no real time."""

from __future__ import annotations

import asyncio
import time
import typing as t

from radishbridge.entry import uptime


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks that do no I/O at a virtual clock.

    :param now: virtual time in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000.0

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self.now = max(self.now, self._scheduled[0].when())
        super()._run_once()


def run(coroutine: t.Coroutine, monkeypatch) -> t.Any:
    """Run a coroutine while ``time.monotonic`` returns the virtual time."""
    loop = VirtualLoop()
    monkeypatch.setattr(time, "monotonic", loop.time)
    monkeypatch.setattr(uptime, "now", loop.time)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        monkeypatch.undo()
        loop.close()
