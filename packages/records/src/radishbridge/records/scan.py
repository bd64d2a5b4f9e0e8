"""Splits JSON from outside into its parts without decoding them.

``msgspec`` rejects a whole response for a single string that is not valid Unicode, or for deep
nesting. This scanner looks only at strings and brackets, at any depth, so that a response can be
decoded part by part and an undecodable part costs no other one.
"""

from __future__ import annotations

import re
import typing as t

import msgspec

from radishbridge.records.decoding import DECODE_ERRORS

_STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"', re.DOTALL)
# A run of brackets is one token, since deep nesting mostly consists of such runs.
_TOKEN = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|[\[{]+|[\]}]+|,', re.DOTALL)
_MEMBER = re.compile(rb'\s*("[^"\\]*+(?:\\.[^"\\]*+)*+")\s*:\s*(.*)', re.DOTALL)
_INNERMOST = re.compile(rb"\[\]|\{\}")
_NOT_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))
_BRACKET_PAIRS = {b"[": b"]", b"{": b"}"}


def split_array(text: bytes) -> list[bytes]:
    """Return the text of each element of a JSON array; raise ``ValueError`` if it is no array."""
    return _split(text, b"[")


def split_object(text: bytes) -> dict[str, bytes]:
    """Return the text of each member of a JSON object by name.

    Members whose name is not valid Unicode are left out.

    :raises ValueError: it is no object.
    """
    members: dict[str, bytes] = {}
    for part in _split(text, b"{"):
        match = _MEMBER.fullmatch(part)
        if match is None:
            raise ValueError("a member of an object has no name")
        name = decode_or_none(match.group(1), str)
        if name is not None:
            members[name] = match.group(2).strip()
    return members


def is_deeper_than(text: bytes, levels: int) -> bool:
    """Return whether arrays and objects are nested more than a number of levels deep.

    Text whose brackets do not match counts as too deep.
    """
    brackets = text.translate(None, _NOT_BRACKETS)
    if len(brackets) <= 2 * levels:
        return False
    brackets = _STRING.sub(b"", text).translate(None, _NOT_BRACKETS)
    for _ in range(levels):
        if not brackets:
            return False
        brackets = _INNERMOST.sub(b"", brackets)
    return bool(brackets)


_T = t.TypeVar("_T")


def decode_or_none(text: bytes, type_: type[_T]) -> _T | None:
    """Return a JSON value of a type; ``None`` if the text is no such value."""
    try:
        return msgspec.json.decode(text, type=type_)
    except DECODE_ERRORS:
        return None


def _split(text: bytes, opening: bytes) -> list[bytes]:
    text = text.strip()
    if not (text.startswith(opening) and text.endswith(_BRACKET_PAIRS[opening])):
        raise ValueError(f"the text does not begin and end with {opening.decode()} and its pair")
    parts: list[bytes] = []
    depth, start = 0, 1
    for token in _TOKEN.finditer(text):
        symbol = token.group()
        if symbol[0] in b"[{":
            depth += len(symbol)
        elif symbol[0] in b"]}":
            depth -= len(symbol)
            if depth < 0 or (depth == 0 and token.end() < len(text)):
                raise ValueError("text follows the closing bracket")
        elif symbol == b"," and depth == 1:
            parts.append(text[start : token.start()])
            start = token.end()
    if depth != 0:
        raise ValueError("a bracket is not closed")
    last = text[start:-1]
    return [*parts, last] if parts or last.strip() else []
