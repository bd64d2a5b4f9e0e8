"""Responses of the host to its callers."""

from __future__ import annotations

from aiohttp import web
from multidict import CIMultiDict

from radishbridge.entry.backends import BackendResponse
from radishbridge.host.headers import HOP_BY_HOP
from radishbridge.records import Failure

SERVER_ERROR = 500
OMITTED_HEADERS = HOP_BY_HOP | {"content-length", "date", "server"}


def response_from_backend(response: BackendResponse) -> web.Response:
    """Return a server's response for the caller."""
    headers: CIMultiDict[str] = CIMultiDict()
    for name, value in response.headers:
        decoded_name = name.decode("latin-1")
        if decoded_name.lower() not in OMITTED_HEADERS:
            headers.add(decoded_name, value.decode("utf-8", "surrogateescape"))
    return web.Response(status=response.status, headers=headers, body=response.body or None)


def response_from_failure(
    failure: Failure, retry_after_s: float, headers: dict[str, str]
) -> web.Response:
    """Return the response for a request that failed in the host.

    :param retry_after_s: delay after which a refused request may come again; 0 for none.
    :param headers: headers that name the request.
    """
    info = failure.info
    status = info.http_status or SERVER_ERROR
    headers["Content-Type"] = "text/plain"
    if retry_after_s > 0.0 and status in (429, 503):
        headers["Retry-After"] = f"{retry_after_s:.2f}"
    text = f"{int(failure.code)} {failure.reason}\n"
    return web.Response(status=status, text=text, headers=headers)
