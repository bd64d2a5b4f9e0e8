"""Relays a backend server's response to the caller."""

from __future__ import annotations

import aiohttp
from aiohttp import web

from radishbridge.host.context import RequestContext
from radishbridge.host.headers import response_headers

MAX_BUFFERED_RESPONSE_BYTES = 65_536
SWITCHING_PROTOCOLS = 101


class CallerGoneError(Exception):
    """The caller disconnected before its response was complete."""


async def relay_response(
    context: RequestContext, backend_response: aiohttp.ClientResponse
) -> web.StreamResponse:
    """Relay a response: buffer a small one, stream a large one.

    If a small response breaks off, nothing was sent to the caller yet, so that the request can
    still be retried or refused with a result code.

    :raise CallerGoneError: if the caller disconnected.
    """
    if backend_response.status == SWITCHING_PROTOCOLS:
        raise aiohttp.ClientPayloadError(
            "the backend server switched protocols without a request to do so"
        )
    headers = response_headers(backend_response.headers)
    length = backend_response.content_length
    if backend_response.content.is_eof():
        body = backend_response.content.read_nowait()
    elif length is not None and length <= MAX_BUFFERED_RESPONSE_BYTES:
        body = await backend_response.read()
    else:
        body = None
    if body is not None:
        return web.Response(
            status=backend_response.status,
            reason=backend_response.reason,
            headers=headers,
            body=body or None,
        )
    context.response = web.StreamResponse(
        status=backend_response.status, reason=backend_response.reason, headers=headers
    )
    return await _stream(context.request, context.response, backend_response.content)


async def _stream(
    request: web.BaseRequest, response: web.StreamResponse, content: aiohttp.StreamReader
) -> web.StreamResponse:
    await start_response(request, response)
    while chunk := await content.readany():
        try:
            # Backpressure: the write waits while the caller's connection is full, and the backend
            # server's connection is not read meanwhile, so that memory stays bounded.
            await response.write(chunk)
        except ConnectionError:
            raise CallerGoneError from None
    return response


async def start_response(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Send the status line and headers of a response to the caller."""
    try:
        await response.prepare(request)
    except ConnectionError:
        raise CallerGoneError from None


async def finish_response(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Send the rest of a response to the caller."""
    await start_response(request, response)
    try:
        await response.write_eof()
    except ConnectionError:
        raise CallerGoneError from None
