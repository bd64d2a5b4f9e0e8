"""Prints the results, failures and progress of a command."""

from __future__ import annotations

import itertools
import sys
import typing as t

import msgspec

from radishbridge.client.exit_codes import ExitCode, exit_code, hint
from radishbridge.client.manifest import FileFailure
from radishbridge.records import Failure, ResultCode


class FailureReport(msgspec.Struct, kw_only=True):
    """A failure in the form that ``--json`` prints to stderr."""

    code: int
    name: str
    reason: str
    file: str = ""
    line: int = 0
    field: str = ""


class Console:
    """Prints to stdout and stderr of the process.

    :param as_json: print results and failures as JSON.
    :param progress: print progress even if stderr is not a terminal.
    """

    __slots__ = ("as_json", "progress")

    def __init__(self, as_json: bool = False, progress: bool = False) -> None:
        self.as_json = as_json
        self.progress = progress

    def print_result(self, value: object, lines: t.Iterable[str]) -> None:
        """Print a result to stdout.

        :param value: printed as one JSON document if ``as_json`` is set.
        :param lines: human-readable form, printed otherwise.
        """
        if self.as_json:
            print(msgspec.json.encode(value).decode())
        else:
            print("\n".join(lines))

    def fail(self, failures: t.Sequence[Failure]) -> ExitCode:
        """Print failures to stderr, with one hint for each distinct result code.

        :return: exit code of the first failure.
        """
        for failure in failures:
            print(self._format_failure(failure), file=sys.stderr)
        if not self.as_json:
            self._print_hints(dict.fromkeys(failure.code for failure in failures))
        return exit_code(failures[0].code)

    def warn(self, text: str) -> None:
        """Print a line that explains a failure to stderr, unless output is JSON."""
        if not self.as_json:
            print(text, file=sys.stderr)

    def print_progress(self, text: str) -> None:
        """Print progress to stderr if it is a terminal or ``progress`` is set."""
        if self.progress or sys.stderr.isatty():
            print(text, file=sys.stderr, flush=True)

    def _format_failure(self, failure: Failure) -> str:
        if self.as_json:
            return msgspec.json.encode(make_failure_report(failure)).decode()
        return f"error {int(failure.code)} ({failure.code.name}): {format_reason(failure)}"

    def _print_hints(self, codes: t.Iterable[ResultCode]) -> None:
        for text in filter(None, map(hint, codes)):
            print(f"hint: {text}", file=sys.stderr)


def format_reason(failure: Failure) -> str:
    """Return the reason of a failure, prefixed with its file, line and field."""
    file = failure.file if isinstance(failure, FileFailure) else ""
    line = str(failure.line) if failure.line else ""
    location = ":".join(filter(None, [file, line]))
    return ": ".join(filter(None, [location, failure.field, failure.reason]))


def make_failure_report(failure: Failure) -> FailureReport:
    """Convert a failure to the form that ``--json`` prints."""
    return FailureReport(
        code=int(failure.code),
        name=failure.code.name,
        reason=failure.reason,
        file=failure.file if isinstance(failure, FileFailure) else "",
        line=failure.line,
        field=failure.field,
    )


def format_table(headers: t.Sequence[str], rows: t.Iterable[t.Sequence[object]]) -> list[str]:
    """Format a header and rows as lines, each column as wide as its widest cell."""
    cells = [list(headers), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    padded = (map(str.ljust, row, widths) for row in cells)
    return ["  ".join(row).rstrip() for row in padded]


def pluralize(count: int, noun: str) -> str:
    """Return a count with its noun in singular or plural, as in ``3 hosts``."""
    return f"{count} {noun}" if count == 1 else f"{count} {noun}s"


def flatten(groups: t.Iterable[t.Iterable[str]]) -> list[str]:
    """Concatenate groups of lines."""
    return list(itertools.chain.from_iterable(groups))
