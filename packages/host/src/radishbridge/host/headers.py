"""Which headers pass between callers and backend servers."""

from __future__ import annotations

import typing as t

from multidict import CIMultiDict

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
_REQUEST_DROPPED = HOP_BY_HOP | KEY_HEADERS | {"host", "expect"}


def request_headers(headers: t.Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers of a caller's request that go to the backend server."""
    return _without(headers, _REQUEST_DROPPED)


def answer_headers(headers: t.Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers of a backend server's answer that go to the caller."""
    return _without(headers, HOP_BY_HOP)


def _without(headers: t.Mapping[str, str], dropped: frozenset[str]) -> CIMultiDict[str]:
    named = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    all_dropped = dropped | named if named - {""} else dropped
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in all_dropped
    )
