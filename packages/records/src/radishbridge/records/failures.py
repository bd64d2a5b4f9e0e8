"""Failure values that functions return in place of raising."""

from __future__ import annotations

import typing as t

from radishbridge.records.codes import CODE_INFO, CodeInfo, ResultCode


class Failure:
    """A sentinel that carries a result code and a reason, returned where a value is missing.

    :param code: the numbered result code.
    :param reason: what went wrong, for the person who reads it; never holds a key.
    :param field: dotted path of the field at fault, empty where none is.
    :param line: line in the file at fault, counted from 1; 0 where none is known.
    """

    __slots__ = ("code", "field", "line", "reason")

    def __init__(self, code: ResultCode, reason: str, field: str = "", line: int = 0) -> None:
        self.code = code
        self.reason = reason
        self.field = field
        self.line = line

    @property
    def info(self) -> CodeInfo:
        """The table entry of the code."""
        return CODE_INFO[self.code]

    def __bool__(self) -> t.Literal[False]:
        return False

    def __repr__(self) -> str:
        where = f" at {self.field}" if self.field else ""
        line = f" line {self.line}" if self.line else ""
        return f"<{self.code.name} {int(self.code)}{where}{line}: {self.reason}>"
