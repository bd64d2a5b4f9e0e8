"""Passes a backend server's answer on to the caller."""

from __future__ import annotations

import aiohttp
from aiohttp import web

from radishbridge.host.exchange import Exchange
from radishbridge.host.headers import answer_headers

SMALL_ANSWER_BYTES = 65_536
SWITCHING_PROTOCOLS = 101


class CallerGoneError(Exception):
    """The caller's connection broke while it was being answered."""


async def relay_answer(exchange: Exchange, answer: aiohttp.ClientResponse) -> web.StreamResponse:
    """Pass an answer on: a small one in one piece, a large one as it comes.

    A small answer that breaks off has not been started towards the caller, so that the request
    can still be repeated or refused with a code.
    """
    if answer.status == SWITCHING_PROTOCOLS:
        raise aiohttp.ClientPayloadError("the backend server changed the protocol unasked")
    headers = answer_headers(answer.headers)
    length = answer.content_length
    if answer.content.is_eof():
        body = answer.content.read_nowait()
    elif length is not None and length <= SMALL_ANSWER_BYTES:
        body = await answer.read()
    else:
        body = None
    if body is not None:
        return web.Response(
            status=answer.status, reason=answer.reason, headers=headers, body=body or None
        )
    exchange.response = web.StreamResponse(
        status=answer.status, reason=answer.reason, headers=headers
    )
    return await _stream(exchange.request, exchange.response, answer.content)


async def _stream(
    request: web.BaseRequest, response: web.StreamResponse, content: aiohttp.StreamReader
) -> web.StreamResponse:
    await start_answer(request, response)
    while part := await content.readany():
        try:
            # The write waits while the caller's connection is full, and the connection to the
            # backend server is not read meanwhile: memory stays bounded both ways.
            await response.write(part)
        except ConnectionError:
            raise CallerGoneError from None
    return response


async def start_answer(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Send the head of an answer to the caller."""
    try:
        await response.prepare(request)
    except ConnectionError:
        raise CallerGoneError from None


async def finish_answer(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Send what is left of an answer to the caller."""
    await start_answer(request, response)
    try:
        await response.write_eof()
    except ConnectionError:
        raise CallerGoneError from None
