"""Errors of decoding input from outside."""

from __future__ import annotations

import reprlib

import msgspec

# Errors that ``msgspec`` raises for input from outside. Deep nesting raises ``RecursionError`` and
# numbers beyond 64 bits ``OverflowError``, neither of which is a ``MsgspecError``.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)

_VALUE_CHARACTERS = 40
_shortener = reprlib.Repr()
_shortener.maxstring = _shortener.maxother = _shortener.maxlong = _VALUE_CHARACTERS
_shortener.maxlevel = 2


def shorten(value: object) -> str:
    """Return the representation of a value from outside, cut to the length of a log field."""
    return _shortener.repr(value)
