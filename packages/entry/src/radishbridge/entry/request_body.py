"""Reads request bodies into memory, and bounds the memory of all of them together."""

from __future__ import annotations

from radishbridge.entry.context import RequestContext
from radishbridge.host.bodies import MAX_REPLAY_BYTES, RequestBody
from radishbridge.records import Failure, LimitSettings, ResultCode

# Bytes of request bodies above which a host refuses further large ones: a third of the memory of
# the smallest host, 200 MB.
BODY_MEMORY_BYTES = 64 * 1_048_576
# Bodies up to this size are never refused for lack of memory.
SMALL_BODY_BYTES = MAX_REPLAY_BYTES

_TOO_LARGE = Failure(ResultCode.REQUEST_TOO_LARGE, "the body is over the size limit")
_NO_MEMORY = Failure(
    ResultCode.HOST_OVERLOADED, "the bodies of other requests use up the host's memory"
)


def is_large(context: RequestContext) -> bool:
    """Return whether a request's body is large, or may be because its length is not announced."""
    length = context.request.content_length
    return context.request.body_exists and (length is None or length > SMALL_BODY_BYTES)


class BodyReader:
    """Reads the bodies of requests.

    :param limits: the longest wait for the next part of a body.
    :param limit_bytes: memory for bodies.
    :param buffered_bytes: memory that is reserved now.
    """

    __slots__ = ("buffered_bytes", "limit_bytes", "limits")

    def __init__(self, limits: LimitSettings, limit_bytes: int = BODY_MEMORY_BYTES) -> None:
        self.limits = limits
        self.limit_bytes = limit_bytes
        self.buffered_bytes = 0

    async def read(self, context: RequestContext, max_bytes: int) -> bytes | Failure:
        """Return a request's body, or why the request is refused.

        The memory stays reserved until ``release``. An announced length is reserved, or refused,
        before the body is read and before ``Expect: 100-continue`` is answered.

        :param max_bytes: the operators' limit on the size of a body.
        """
        max_bytes = min(max_bytes, self.limit_bytes)
        body = RequestBody(context.request, self.limits)
        length = context.request.content_length
        if length is not None and length > max_bytes:
            return _TOO_LARGE
        if length is not None and not self._reserve(context, length):
            return _NO_MEMORY
        failure = await body.prepare()
        if failure is not None:
            return failure
        if body.buffered is not None:
            return body.buffered
        chunks: list[bytes] = []
        async for chunk in body.read_chunks():
            chunks.append(chunk)
            if length is None and not self._reserve(context, len(chunk)):
                return _NO_MEMORY
            if context.body_memory_bytes > max_bytes:
                return _TOO_LARGE
        return b"".join(chunks) if body.failure is None else body.failure

    def release(self, context: RequestContext) -> None:
        """Release the memory of a request that has ended."""
        self.buffered_bytes -= context.body_memory_bytes
        context.body_memory_bytes = 0

    def _reserve(self, context: RequestContext, size: int) -> bool:
        is_small = context.body_memory_bytes + size <= SMALL_BODY_BYTES
        if not is_small and self.buffered_bytes + size > self.limit_bytes:
            return False
        context.body_memory_bytes += size
        self.buffered_bytes += size
        return True
