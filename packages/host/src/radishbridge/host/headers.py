"""Which headers pass between callers and backend servers."""

from __future__ import annotations

import itertools
import typing as t

from aiohttp import web
from multidict import CIMultiDict

from radishbridge.host.deadline import DEADLINE_HEADER, Deadline

# Proxy-Connection is no standard header, but old clients send it.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
KEY_HEADERS = frozenset({"authorization", "x-api-key"})
FORWARDED_FOR = "X-Forwarded-For"
FORWARDED_HOST = "X-Forwarded-Host"
FORWARDED_PROTO = "X-Forwarded-Proto"
NOT_RUN_HEADER = "X-Not-Run"
_REPLACED = frozenset({"expect", "host", "x-forwarded-host", "x-forwarded-proto"})
_REQUEST_DROPPED = HOP_BY_HOP | KEY_HEADERS | _REPLACED
# Headers that give the message its length and target stay, even if Connection names them.
_NEVER_NAMED = frozenset({"content-length", "host", "close", "keep-alive", ""})


def request_headers(
    request: web.BaseRequest, address: str, deadline: Deadline, now: float
) -> CIMultiDict[str]:
    """Return the headers of a caller's request for the backend server.

    The caller's address is appended to ``X-Forwarded-For``, the caller's ``Host`` goes to
    ``X-Forwarded-Host``, and the deadline header carries the time that remains.

    :param address: ``IP:port`` of the backend server.
    """
    headers = _end_to_end(request.headers, _REQUEST_DROPPED)
    forwarded = headers.popall(FORWARDED_FOR, [])
    headers["Host"] = address
    headers[FORWARDED_FOR] = ", ".join([*forwarded, request.remote or "unknown"])
    headers[FORWARDED_HOST] = request.headers.get("Host", "")
    headers[FORWARDED_PROTO] = "http"
    headers[DEADLINE_HEADER] = deadline.header(now)
    return headers


def answer_headers(headers: t.Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers of a backend server's answer that go to the caller."""
    return _end_to_end(headers, HOP_BY_HOP)


def _end_to_end(headers: t.Mapping[str, str], dropped: frozenset[str]) -> CIMultiDict[str]:
    passed = CIMultiDict(headers)
    if "Connection" in passed:
        lists = (value.lower().split(",") for value in passed.getall("Connection"))
        named = {name.strip() for name in itertools.chain.from_iterable(lists)}
        dropped = dropped | (named - _NEVER_NAMED)
    for name in [name for name in headers if name.lower() in dropped]:
        passed.popall(name, None)
    return passed
