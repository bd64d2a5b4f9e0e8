"""Last step of commands that write: waits until records are in force, prints the outcome."""

from __future__ import annotations

import typing as t

import cappa
import msgspec

from radishbridge.client.console import flatten, pluralize
from radishbridge.client.context import Context
from radishbridge.client.wait import HostState, InForceWait, not_in_force
from radishbridge.client.write import WrittenRecord
from radishbridge.records import Failure, ResultCode

DEFAULT_WAIT_S = 10.0

Timeout = t.Annotated[
    float, cappa.Arg(long=True, help="Longest wait until in force, in seconds; 0 does not wait.")
]


class WriteResult(msgspec.Struct, kw_only=True):
    """The outcome of a command that writes.

    :param hosts: state of each host at the end of the wait, empty if the command did not wait.
    """

    records: list[WrittenRecord]
    hosts: list[HostState]
    in_force: bool


async def finish_write(
    context: Context,
    written: t.Sequence[WrittenRecord],
    timeout_s: float,
    note: str = "",
    summary: bool = True,
) -> int:
    """Wait until records are in force and print the outcome.

    :param timeout_s: maximum wait in seconds; 0 does not wait.
    :param note: human-readable line, printed after the outcome.
    :param summary: print the outcome; failures are always printed.
    :return: exit code of the command.
    """
    states: list[HostState] | Failure = []
    if timeout_s > 0 and written:
        states = await InForceWait(context.fleet, context.console, written, timeout_s).run()
    known_states = [] if isinstance(states, Failure) else states
    unconfirmed = not_in_force(known_states)
    in_force = timeout_s > 0 and not unconfirmed and not isinstance(states, Failure)
    if summary:
        result = WriteResult(records=list(written), hosts=known_states, in_force=in_force)
        lines = [
            [record.format_line() for record in written],
            _format_outcome(known_states, in_force),
            [note],
        ]
        context.console.print_result(result, filter(None, flatten(lines)))
    if isinstance(states, Failure):
        return context.console.fail([states])
    return (
        context.console.fail([_make_failure(state) for state in unconfirmed]) if unconfirmed else 0
    )


def _format_outcome(states: list[HostState], in_force: bool) -> list[str]:
    left_lines = [
        f"{state.host}: left during the wait" for state in states if state.state == "left"
    ]
    live_states = [state for state in states if state.state != "left"]
    confirmed = sum(state.state == "in force" for state in live_states)
    if not in_force and not live_states:
        return left_lines
    if in_force and not live_states:
        return [*left_lines, "no live host is listed; the records are stored"]
    return [*left_lines, f"in force on {confirmed} of {pluralize(len(live_states), 'live host')}"]


def _make_failure(state: HostState) -> Failure:
    if state.state == "lags":
        return Failure(ResultCode.NOT_IN_FORCE, f"{state.host} lags: {state.reason}")
    reason = f"{state.host} is on the platform's list but does not answer: {state.reason}"
    return Failure(ResultCode.NOT_IN_FORCE, reason)
