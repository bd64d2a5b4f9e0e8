"""Selects the headers that are forwarded between callers and backend servers."""

from __future__ import annotations

import itertools
import typing as t

from aiohttp import web
from multidict import CIMultiDict

from radishbridge.host.deadline import DEADLINE_HEADER, Deadline

# Proxy-Connection is not a standard header, but old clients send it.
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
_REPLACED_HEADERS = frozenset({"expect", "host", "x-forwarded-host", "x-forwarded-proto"})
_DROPPED_REQUEST_HEADERS = HOP_BY_HOP | KEY_HEADERS | _REPLACED_HEADERS
# Options in Connection that name no header to drop. Content-Length and Host give a message its
# length and target, so they are not hop-by-hop headers even if Connection names them.
_IGNORED_CONNECTION_OPTIONS = frozenset({"content-length", "host", "close", "keep-alive", ""})


def request_headers(
    request: web.BaseRequest, address: str, deadline: Deadline, now: float
) -> CIMultiDict[str]:
    """Return the headers of a caller's request as the backend server receives them.

    The caller's address is appended to ``X-Forwarded-For``, the caller's ``Host`` goes to
    ``X-Forwarded-Host``, and the deadline header carries the remaining time.

    :param address: ``IP:port`` of the backend server.
    :param now: monotonic time in seconds.
    """
    headers = _end_to_end(request.headers, _DROPPED_REQUEST_HEADERS)
    forwarded_for = headers.popall(FORWARDED_FOR, [])
    headers["Host"] = address
    headers[FORWARDED_FOR] = ", ".join([*forwarded_for, request.remote or "unknown"])
    headers[FORWARDED_HOST] = request.headers.get("Host", "")
    headers[FORWARDED_PROTO] = "http"
    headers[DEADLINE_HEADER] = deadline.header(now)
    return headers


def response_headers(headers: t.Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers of a backend server's response that are forwarded to the caller."""
    return _end_to_end(headers, HOP_BY_HOP)


def _end_to_end(headers: t.Mapping[str, str], dropped: frozenset[str]) -> CIMultiDict[str]:
    forwarded = CIMultiDict(headers)
    if "Connection" in forwarded:
        values = (value.lower().split(",") for value in forwarded.getall("Connection"))
        named = {name.strip() for name in itertools.chain.from_iterable(values)}
        dropped = dropped | (named - _IGNORED_CONNECTION_OPTIONS)
    for name in [name for name in headers if name.lower() in dropped]:
        forwarded.popall(name, None)
    return forwarded
