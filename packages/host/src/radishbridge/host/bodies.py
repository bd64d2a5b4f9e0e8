"""Request bodies: small ones are buffered for retries, large ones are streamed."""

from __future__ import annotations

import asyncio
import typing as t

from aiohttp import web

from radishbridge.records import Failure, LimitSettings, ResultCode

MAX_REPLAY_BYTES = 65_536
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestBody:
    """The body of one request.

    :param limits: the size limit in bytes and the longest wait for the next chunk in seconds.
    :param buffered: the whole body if it is small, otherwise ``None``.
    :param failure: why the body could not be read to its end, or ``None``.
    :param started: some of the body may have been streamed to a backend server.
    """

    __slots__ = ("buffered", "failure", "limits", "request", "started")

    def __init__(self, request: web.BaseRequest, limits: LimitSettings) -> None:
        self.request = request
        self.limits = limits
        self.buffered: bytes | None = None if request.body_exists else b""
        self.failure: Failure | None = None
        self.started = False

    async def prepare(self) -> Failure | None:
        """Check the announced length, answer ``Expect: 100-continue``, and read a small body.

        :return: why the request is refused, or ``None``.
        """
        if self.buffered is not None:
            return None
        length = self.request.content_length
        if length is not None and length > self.limits.body_bytes:
            return Failure(ResultCode.REQUEST_TOO_LARGE, "the body is over the size limit")
        if self.request.headers.get("Expect", "").lower() == "100-continue":
            await self.request.writer.write(_CONTINUE)
            self.request.writer.output_size = 0
        if length is not None and length <= MAX_REPLAY_BYTES:
            self.buffered = b"".join([chunk async for chunk in self.read_chunks()])
        return self.failure

    @property
    def replayable(self) -> bool:
        """Whether the body can still be sent from its start."""
        return self.buffered is not None or not self.started

    def data(self) -> bytes | t.AsyncIterator[bytes] | None:
        """Return the body as ``aiohttp`` takes it: bytes, a stream, or ``None`` if it is empty."""
        if self.buffered is None:
            return self._stream()
        return self.buffered or None

    async def _stream(self) -> t.AsyncIterator[bytes]:
        self.started = True
        sent_bytes = 0
        async for chunk in self.read_chunks():
            sent_bytes += len(chunk)
            if sent_bytes > self.limits.body_bytes:
                self.failure = Failure(
                    ResultCode.REQUEST_INCOMPLETE, "the body grew over the size limit"
                )
            yield self._check_failure(chunk)
        self._check_failure(b"")

    async def read_chunks(self) -> t.AsyncIterator[bytes]:
        """Yield the parts of the body as they arrive, up to its end or to ``failure``."""
        content = self.request.content
        while not content.at_eof():
            try:
                async with asyncio.timeout(self.limits.idle_s):
                    chunk = await content.readany()
            except web.RequestPayloadError:
                break
            except TimeoutError:
                self.failure = Failure(
                    ResultCode.REQUEST_INCOMPLETE, "the caller stopped sending the body"
                )
                return
            yield chunk
        if isinstance(content.exception(), web.RequestPayloadError):
            self.failure = Failure(ResultCode.REQUEST_MALFORMED, "the body cannot be parsed")

    def _check_failure(self, chunk: bytes) -> bytes:
        # An exception from the iterator makes aiohttp close the connection to the backend server
        # without ending the body, so that a truncated body never looks complete.
        if self.failure is not None:
            raise BodyError(self.failure.reason)
        return chunk


class BodyError(Exception):
    """The rest of a request body cannot be sent."""
