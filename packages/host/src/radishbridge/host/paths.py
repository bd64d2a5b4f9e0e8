"""Checks of request targets before they are matched against routes."""

from __future__ import annotations

import re
import urllib.parse

from radishbridge.records import Failure, ResultCode

# Unreserved characters and the sub-delimiters that no known server gives a meaning in a path.
# Dot segments, empty segments, escapes and path parameters leave this quick path.
_PLAIN = re.compile(r"(?:/(?!\.)[A-Za-z0-9._~!$&'()*+,=:@-]+)+/?|/")
_ALLOWED = re.compile(r"/(?:[A-Za-z0-9._~!$&'()*+,=:@;/-]|%[0-9A-Fa-f]{2})*")
_ALLOWED_QUERY = re.compile(r"[\x21\x22\x24-\x7e]*")
_NESTED_ESCAPE = re.compile(r"%[0-9A-Fa-f]{2}")
_FORBIDDEN_DECODED = frozenset("\\\x7f") | {chr(code) for code in range(0x20)}


def check_target(target: str) -> str | Failure:
    """Return the decoded path of a request target, or why it is refused.

    A backend server may resolve dot segments, merge slashes or decode twice, and so serve
    another path than the one whose route was matched. Such targets are refused, not rewritten,
    since each way to rewrite them differs from some server's.

    :param target: the target as the caller sent it.
    :return: the decoded path, or ``REQUEST_MALFORMED``.
    """
    path, _, query = target.partition("?")
    if not _ALLOWED_QUERY.fullmatch(query):
        return _malformed("the query has characters that must be escaped")
    if _PLAIN.fullmatch(path):
        return path
    if not _ALLOWED.fullmatch(path):
        return _malformed("the target is not an absolute path of allowed characters")
    return _check_decoded(path)


def _check_decoded(path: str) -> str | Failure:
    try:
        decoded = [urllib.parse.unquote(part, errors="strict") for part in path[1:].split("/")]
    except UnicodeDecodeError:
        return _malformed("the path is not UTF-8")
    if "" in decoded[:-1]:
        return _malformed("the path has an empty segment")
    if any(segment.partition(";")[0] in (".", "..") for segment in decoded):
        return _malformed("the path has a dot segment")
    joined = "".join(decoded)
    if "/" in joined or not _FORBIDDEN_DECODED.isdisjoint(joined):
        return _malformed("the path has an escaped slash, backslash or control character")
    if _NESTED_ESCAPE.search(joined):
        return _malformed("the path has an escape within an escape")
    return "/" + "/".join(decoded)


def _malformed(reason: str) -> Failure:
    return Failure(ResultCode.REQUEST_MALFORMED, reason)
