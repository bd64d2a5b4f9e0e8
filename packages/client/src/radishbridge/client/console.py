"""What a command prints: results, failures and progress."""

from __future__ import annotations

import itertools
import sys
import typing as t

import msgspec

from radishbridge.client.exit_codes import ExitCode, exit_code, hint
from radishbridge.client.manifest import FileFailure
from radishbridge.records import Failure, ResultCode


class FailureReport(msgspec.Struct, kw_only=True):
    """A failure as ``--json`` prints it to the standard error."""

    code: int
    name: str
    reason: str
    file: str = ""
    line: int = 0
    field: str = ""


class Console:
    """Prints to the process's standard streams.

    :param as_json: results and failures are printed as JSON.
    :param progress: progress is printed even where the standard error is no terminal.
    """

    __slots__ = ("as_json", "progress")

    def __init__(self, as_json: bool = False, progress: bool = False) -> None:
        self.as_json = as_json
        self.progress = progress

    def result(self, value: object, lines: t.Iterable[str]) -> None:
        """Print a result: ``value`` as one JSON document, or ``lines`` for people."""
        if self.as_json:
            print(msgspec.json.encode(value).decode())
        else:
            print("\n".join(lines))

    def fail(self, failures: t.Sequence[Failure]) -> ExitCode:
        """Print failures to the standard error, one hint for each result code.

        :return: the exit code of the first.
        """
        for failure in failures:
            print(self._failure_text(failure), file=sys.stderr)
        if not self.as_json:
            self._print_hints(dict.fromkeys(failure.code for failure in failures))
        return exit_code(failures[0].code)

    def warn(self, text: str) -> None:
        """Print what explains a failure to people."""
        if not self.as_json:
            print(text, file=sys.stderr)

    def tell(self, text: str) -> None:
        """Print progress where somebody reads it."""
        if self.progress or sys.stderr.isatty():
            print(text, file=sys.stderr, flush=True)

    def _failure_text(self, failure: Failure) -> str:
        if self.as_json:
            return msgspec.json.encode(report_failure(failure)).decode()
        return f"error {int(failure.code)} ({failure.code.name}): {describe(failure)}"

    def _print_hints(self, codes: t.Iterable[ResultCode]) -> None:
        for text in filter(None, map(hint, codes)):
            print(f"hint: {text}", file=sys.stderr)


def describe(failure: Failure) -> str:
    """Return the reason with the file, the line and the field at fault."""
    file = failure.file if isinstance(failure, FileFailure) else ""
    line = str(failure.line) if failure.line else ""
    place = ":".join(filter(None, [file, line]))
    return ": ".join(filter(None, [place, failure.field, failure.reason]))


def report_failure(failure: Failure) -> FailureReport:
    """Return the failure in the form that ``--json`` prints."""
    return FailureReport(
        code=int(failure.code),
        name=failure.code.name,
        reason=failure.reason,
        file=failure.file if isinstance(failure, FileFailure) else "",
        line=failure.line,
        field=failure.field,
    )


def table(head: t.Sequence[str], rows: t.Iterable[t.Sequence[object]]) -> list[str]:
    """Lay out rows below their head in columns as wide as their widest cell."""
    cells = [list(head), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    padded = (map(str.ljust, row, widths) for row in cells)
    return ["  ".join(row).rstrip() for row in padded]


def plural(count: int, noun: str) -> str:
    """Return a count with its noun, as in ``3 hosts``."""
    return f"{count} {noun}" if count == 1 else f"{count} {noun}s"


def flatten(groups: t.Iterable[t.Iterable[str]]) -> list[str]:
    """Return the lines of all groups in their order."""
    return list(itertools.chain.from_iterable(groups))
