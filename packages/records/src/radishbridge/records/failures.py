"""Failure values, which functions return instead of raising exceptions."""

from __future__ import annotations

import typing as t

from radishbridge.records.codes import CODE_INFO, CodeInfo, ResultCode


class Failure:
    """A failed operation; false in boolean context.

    :param code: the numbered result code.
    :param reason: what went wrong, in words for users; must not contain secrets.
    :param field: dotted path of the invalid field; empty if the failure is not about a field.
    :param line: line number in the invalid file, from 1; 0 if unknown.
    """

    __slots__ = ("code", "field", "line", "reason")

    def __init__(self, code: ResultCode, reason: str, field: str = "", line: int = 0) -> None:
        self.code = code
        self.reason = reason
        self.field = field
        self.line = line

    @property
    def info(self) -> CodeInfo:
        """Description of the result code."""
        return CODE_INFO[self.code]

    def __bool__(self) -> t.Literal[False]:
        return False

    def __repr__(self) -> str:
        where = f" at {self.field}" if self.field else ""
        line = f" line {self.line}" if self.line else ""
        return f"<{self.code.name} {int(self.code)}{where}{line}: {self.reason}>"
