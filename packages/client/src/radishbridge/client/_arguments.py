"""Command-line arguments that name records."""

from __future__ import annotations

import typing as t

import cappa

from radishbridge.records import KINDS

Kind = t.Annotated[str, cappa.Arg(choices=list(KINDS), help="Kind of the record.")]
OptionalKind = t.Annotated[
    str | None, cappa.Arg(choices=list(KINDS), help="Kind of the records; all kinds if omitted.")
]
Name = t.Annotated[str, cappa.Arg(help="Name of the record.")]
