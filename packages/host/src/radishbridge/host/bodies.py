"""Bodies of requests: small ones are kept for a retry, large ones are streamed."""

from __future__ import annotations

import asyncio
import typing as t

from aiohttp import web

from radishbridge.records import Failure, LimitSettings, ResultCode

REPLAY_BYTES = 65_536
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestBody:
    """The body of one request.

    :param limits: bounds on its size in bytes and on the wait for its next part in seconds.
    """

    __slots__ = ("buffered", "failure", "limits", "request", "started")

    def __init__(self, request: web.BaseRequest, limits: LimitSettings) -> None:
        self.request = request
        self.limits = limits
        self.buffered: bytes | None = None if request.body_exists else b""
        self.failure: Failure | None = None
        self.started = False

    async def prepare(self) -> Failure | None:
        """Check the announced length, ask the caller to send, and read a small body."""
        if self.buffered is not None:
            return None
        length = self.request.content_length
        if length is not None and length > self.limits.body_bytes:
            return Failure(ResultCode.REQUEST_TOO_LARGE, "the body is over the limit")
        if self.request.headers.get("Expect", "").lower() == "100-continue":
            await self.request.writer.write(_CONTINUE)
            self.request.writer.output_size = 0
        if length is not None and length <= REPLAY_BYTES:
            self.buffered = b"".join([part async for part in self._parts()])
        return self.failure

    @property
    def replayable(self) -> bool:
        """Whether the whole body can still be sent from its start."""
        return self.buffered is not None or not self.started

    def data(self) -> bytes | t.AsyncIterator[bytes] | None:
        """Return what the client session sends as the body."""
        if self.buffered is None:
            return self._stream()
        return self.buffered or None

    async def _stream(self) -> t.AsyncIterator[bytes]:
        self.started = True
        sent_bytes = 0
        async for part in self._parts():
            sent_bytes += len(part)
            if sent_bytes > self.limits.body_bytes:
                self.failure = Failure(
                    ResultCode.REQUEST_INCOMPLETE, "the body grew over the limit"
                )
            yield self._checked(part)
        self._checked(b"")

    async def _parts(self) -> t.AsyncIterator[bytes]:
        content = self.request.content
        while not content.at_eof():
            try:
                async with asyncio.timeout(self.limits.idle_s):
                    part = await content.readany()
            except TimeoutError:
                self.failure = Failure(
                    ResultCode.REQUEST_INCOMPLETE, "the caller stopped sending the body"
                )
                return
            yield part

    def _checked(self, part: bytes) -> bytes:
        # An exception out of the iterator makes the session close the connection to the
        # backend server without the end of the body.
        if self.failure is not None:
            raise BodyError(self.failure.reason)
        return part


class BodyError(Exception):
    """The rest of a body cannot be sent."""
