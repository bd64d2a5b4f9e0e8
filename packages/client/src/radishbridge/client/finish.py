"""The common end of commands that write: wait until in force and print the outcome."""

from __future__ import annotations

import typing as t

import cappa
import msgspec

from radishbridge.client.console import flatten, plural
from radishbridge.client.context import Context
from radishbridge.client.wait import HostState, InForceWait, not_in_force
from radishbridge.client.write import Written
from radishbridge.records import Failure, ResultCode

DEFAULT_WAIT_S = 10.0

Timeout = t.Annotated[
    float, cappa.Arg(long=True, help="Longest wait until in force, in seconds; 0 does not wait.")
]


class WriteResult(msgspec.Struct, kw_only=True):
    """The outcome of a command that writes.

    :param hosts: the hosts that were asked, empty where the command did not wait.
    """

    records: list[Written]
    hosts: list[HostState]
    in_force: bool


async def finish(
    context: Context,
    written: t.Sequence[Written],
    timeout_s: float,
    note: str = "",
    summary: bool = True,
) -> int:
    """Wait until records are in force and print the outcome.

    :param timeout_s: longest wait in seconds; 0 does not wait.
    :param note: a line for people, printed after the outcome.
    :param summary: print the outcome; failures are printed in any case.
    :return: the exit code of the command.
    """
    states: list[HostState] | Failure = []
    if timeout_s > 0 and written:
        states = await InForceWait(context.fleet, context.console, written, timeout_s).run()
    known = [] if isinstance(states, Failure) else states
    behind = not_in_force(known)
    in_force = timeout_s > 0 and not behind and not isinstance(states, Failure)
    if summary:
        result = WriteResult(records=list(written), hosts=known, in_force=in_force)
        lines = [[record.line() for record in written], _outcome(known, in_force), [note]]
        context.console.result(result, filter(None, flatten(lines)))
    if isinstance(states, Failure):
        return context.console.fail([states])
    return context.console.fail([_host_failure(state) for state in behind]) if behind else 0


def _outcome(states: list[HostState], in_force: bool) -> list[str]:
    left = [f"{state.host}: left during the wait" for state in states if state.state == "left"]
    live = [state for state in states if state.state != "left"]
    done = sum(state.state == "in force" for state in live)
    if not in_force and not live:
        return left
    if in_force and not live:
        return [*left, "no live host is listed; the records are stored"]
    return [*left, f"in force on {done} of {plural(len(live), 'live host')}"]


def _host_failure(state: HostState) -> Failure:
    if state.state == "lags":
        return Failure(ResultCode.NOT_IN_FORCE, f"{state.host} lags: {state.reason}")
    reason = f"{state.host} is on the platform's list but does not answer: {state.reason}"
    return Failure(ResultCode.NOT_IN_FORCE, reason)
