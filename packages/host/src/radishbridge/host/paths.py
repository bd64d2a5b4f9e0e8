"""Checks request targets before they are matched against routes."""

from __future__ import annotations

import re
import urllib.parse

from radishbridge.records import Failure, ResultCode

# Fast path: unreserved characters and the sub-delimiters to which no known server gives a meaning
# in a path. Dot segments, empty segments, escapes and path parameters do not match.
_PLAIN_PATH = re.compile(r"(?:/(?!\.)[A-Za-z0-9._~!$&'()*+,=:@-]+)+/?|/")
_ALLOWED_PATH = re.compile(r"/(?:[A-Za-z0-9._~!$&'()*+,=:@;/-]|%[0-9A-Fa-f]{2})*")
_ALLOWED_QUERY = re.compile(r"[\x21\x22\x24-\x7e]*")
_NESTED_ESCAPE = re.compile(r"%[0-9A-Fa-f]{2}")
_FORBIDDEN_DECODED = frozenset("\\\x7f") | {chr(code) for code in range(0x20)}


def check_target(target: str) -> str | Failure:
    """Return the decoded path of a request target, or why it is refused.

    A backend server may resolve dot segments, merge slashes or decode twice, and then serve
    another path than the one whose route was matched. Such targets are refused instead of
    rewritten, because every way to rewrite them differs from that of some server.

    :param target: the request target as the caller sent it.
    :return: the decoded path, or ``REQUEST_MALFORMED``.
    """
    path, _, query = target.partition("?")
    if not _ALLOWED_QUERY.fullmatch(query):
        return _malformed("the query contains characters that must be escaped")
    if _PLAIN_PATH.fullmatch(path):
        return path
    if not _ALLOWED_PATH.fullmatch(path):
        return _malformed(
            "the target is not an absolute path or contains characters that are not allowed"
        )
    return _check_decoded(path)


def _check_decoded(path: str) -> str | Failure:
    try:
        segments = [
            urllib.parse.unquote(escaped, errors="strict") for escaped in path[1:].split("/")
        ]
    except UnicodeDecodeError:
        return _malformed("the path is not valid UTF-8")
    if "" in segments[:-1]:
        return _malformed("the path contains an empty segment")
    if any(segment.partition(";")[0] in (".", "..") for segment in segments):
        return _malformed("the path contains a dot segment")
    joined = "".join(segments)
    if "/" in joined or not _FORBIDDEN_DECODED.isdisjoint(joined):
        return _malformed("the path contains an escaped slash, a backslash or a control character")
    if _NESTED_ESCAPE.search(joined):
        return _malformed("the path contains a nested escape")
    return "/" + "/".join(segments)


def _malformed(reason: str) -> Failure:
    return Failure(ResultCode.REQUEST_MALFORMED, reason)
