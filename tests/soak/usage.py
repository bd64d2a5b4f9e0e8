"""A stand-in for the platform's endpoint for usage reports, and the checks of its rules."""

from __future__ import annotations

import asyncio
import collections
import math
import random
import time
import typing as t

from aiohttp import web

LEASE_TIME_S = 3.0
WINDOW_S = 5.0
DELAY_S = 10.0
ERROR_MAX = 0.05
Fault = t.Literal["", "busy", "limited", "reset", "lost", "silent"]
Counts = dict[str, int]


class Call(t.NamedTuple):
    """One call that reached the endpoint; times are monotonic and of the day, in seconds."""

    holder: str
    peer: str
    token: int
    window: int
    counts: Counts
    at: float
    time_s: float
    accepted: bool


class UsageEndpoint:
    """Accepts usage reports and keeps all calls.

    :param fault: how calls fail: with status 503 or 429, with a reset connection, with a response
        that is lost after the report was accepted, or with none for 30 s; empty for none.
    :param fault_rate: fraction of the calls that fail so.
    :param delay_s: delay of each response, in seconds.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self.rng = rng or random.Random(1)
        self.calls: list[Call] = []
        self.fault: Fault = ""
        self.fault_rate = 1.0
        self.delay_s = 0.0
        application = web.Application()
        application.router.add_post("/usage", self.handle)
        self.runner = web.AppRunner(application, shutdown_timeout=0.1)

    async def start(self) -> str:
        """Start the endpoint and return its address."""
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        host, port = self.runner.addresses[0][:2]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Stop the endpoint."""
        await self.runner.cleanup()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Accept one report, or fail as ``fault`` says."""
        body = await request.json()
        fault = self.fault if self.rng.random() < self.fault_rate else ""
        self.calls.append(
            Call(
                holder=request.headers["Duty-Holder"],
                peer=request.remote or "",
                token=int(request.headers["Fencing-Token"]),
                window=body["windowIndex"],
                counts=body["counts"],
                at=time.monotonic(),
                time_s=time.time(),
                accepted=fault in ("", "lost"),
            )
        )
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if fault == "silent":
            await asyncio.sleep(30.0)
        if fault in ("reset", "lost") and request.transport is not None:
            request.transport.abort()
        status = {"busy": 503, "limited": 429}.get(fault, 200)
        return web.json_response({}, status=status)

    def violations(self) -> list[str]:
        """Return the rules of the duty that the calls have broken."""
        return find_violations(self.calls)

    def accuracy(self, executions: t.Iterable[tuple[str, float]]) -> dict[int, str]:
        """Return by window what is wrong with its report; empty text if nothing is.

        :param executions: workspace and time of day in seconds of each run that began.
        """
        truth: dict[int, Counts] = {}
        for workspace, time_s in executions:
            counts = truth.setdefault(math.floor(time_s / WINDOW_S), collections.Counter())
            counts[workspace] += 1
        accepted = {call.window: call for call in reversed(self.calls) if call.accepted}
        return {
            window: _judge(window, counts, accepted.get(window))
            for window, counts in sorted(truth.items())
        }


def find_violations(calls: t.Sequence[Call]) -> list[str]:
    """Return the rules of the duty that calls have broken, in the order of their arrival."""
    return [*_repeated_windows(calls), *_tokens(calls), *_returns(calls)]


def _judge(window: int, truth: Counts, call: Call | None) -> str:
    if call is None:
        return f"missing, {dict(truth)}"
    late_s = call.time_s - (window + 1) * WINDOW_S
    if late_s > DELAY_S:
        return f"late by {late_s - DELAY_S:.1f} s"
    wrong = {
        name: (call.counts.get(name, 0), truth.get(name, 0))
        for name in sorted({*truth, *call.counts})
        if abs(call.counts.get(name, 0) - truth.get(name, 0)) > ERROR_MAX * truth.get(name, 0)
    }
    return f"reported and true {wrong}" if wrong else ""


def _repeated_windows(calls: t.Iterable[Call]) -> t.Iterator[str]:
    first: dict[int, t.Any] = {}
    for call in calls:
        if first.setdefault(call.window, call.counts) != call.counts:
            yield f"VIOLATION window {call.window} has two counts"


def _tokens(calls: t.Iterable[Call]) -> t.Iterator[str]:
    holders: dict[int, tuple[str, str]] = {}
    highest = 0
    for call in calls:
        if holders.setdefault(call.token, (call.holder, call.peer)) != (call.holder, call.peer):
            yield f"VIOLATION token {call.token} was sent by two holders"
        if call.token < highest:
            yield f"VIOLATION token {call.token} after {highest}"
        highest = max(highest, call.token)


def _returns(calls: t.Iterable[Call]) -> t.Iterator[str]:
    last: dict[str, float] = {}
    previous = ""
    for call in calls:
        pause_s = call.at - last.get(call.holder, float("-inf"))
        if previous not in ("", call.holder) and pause_s < LEASE_TIME_S:
            yield f"VIOLATION the duty returned to {call.holder} in {pause_s:.2f} s"
        last[call.holder] = call.at
        previous = call.holder
