"""Exit codes of ``radishbridge`` and hints for result codes."""

from __future__ import annotations

import enum

from radishbridge.records import ResultCode


class ExitCode(enum.IntEnum):
    """Exit codes of commands; ``docs/operators/client.md`` documents the same table."""

    OK = 0
    FAILED = 1
    USAGE = 2
    NOT_IN_FORCE = 3
    CONFLICT = 4
    NOT_FOUND = 5
    UNAVAILABLE = 6
    UNCLEAR = 7
    DIFFERENT = 8
    DEGRADED = 9


_EXIT_CODES = {
    ResultCode.USAGE: ExitCode.USAGE,
    ResultCode.RECORD_INVALID: ExitCode.USAGE,
    ResultCode.SCHEMA_TOO_NEW: ExitCode.USAGE,
    ResultCode.FILE_UNREADABLE: ExitCode.USAGE,
    ResultCode.NOT_IN_FORCE: ExitCode.NOT_IN_FORCE,
    ResultCode.VERSION_CONFLICT: ExitCode.CONFLICT,
    ResultCode.ALREADY_EXISTS: ExitCode.CONFLICT,
    ResultCode.NOT_FOUND: ExitCode.NOT_FOUND,
    ResultCode.STORE_UNAVAILABLE: ExitCode.UNAVAILABLE,
    ResultCode.PEER_UNREACHABLE: ExitCode.UNAVAILABLE,
    ResultCode.WRITE_UNCLEAR: ExitCode.UNCLEAR,
}

_HINTS = {
    ResultCode.USAGE: "`radishbridge COMMAND --help` lists what the command takes",
    ResultCode.RECORD_INVALID: "fix the fields named above; nothing was written",
    ResultCode.SCHEMA_TOO_NEW: "use a newer client; this one would lose fields it does not know",
    ResultCode.NOT_IN_FORCE: "the change is stored; run the same command again to continue waiting",
    ResultCode.VERSION_CONFLICT: "look at `radishbridge get KIND NAME`, then try again",
    ResultCode.ALREADY_EXISTS: "choose another name",
    ResultCode.NOT_FOUND: "`radishbridge list` shows what there is",
    ResultCode.STORE_UNAVAILABLE: "hosts go on with the last configuration; try again later",
    ResultCode.PEER_UNREACHABLE: "`radishbridge hosts` shows where hosts listen",
    ResultCode.WRITE_UNCLEAR: "look at `radishbridge get KIND NAME` before you try again",
}


def exit_code(code: ResultCode) -> ExitCode:
    """Return the exit code of a command that failed with a result code."""
    return _EXIT_CODES.get(code, ExitCode.FAILED)


def hint(code: ResultCode) -> str:
    """Return advice for a result code, empty if there is none."""
    return _HINTS.get(code, "")
