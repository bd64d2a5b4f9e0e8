"""A bound on the memory that responses of backend servers use while they are received.

A server may send endless bodies to all of its requests. Each response is limited in size, but many
of them together would exceed the memory of a host.
"""

from __future__ import annotations

import typing as t

# Memory of the smallest host, in bytes, for hosts that are not told theirs.
HOST_MEMORY_BYTES = 200 * 1_048_576
# Fraction of a host's memory for unfinished responses. A response takes twice its size while its
# parts are joined, and the process itself takes some 70 MB.
BUFFERED_FRACTION_MAX = 0.25
# Fraction of that limit above which responses over ``ALWAYS_ALLOWED_BYTES`` are aborted, so that
# those of the usual size are complete before it is reached.
LARGE_RESPONSES_FRACTION = 0.75
# Twice the size of the largest usual responses, which have some hundred KB.
ALWAYS_ALLOWED_BYTES = 1_048_576


class UnfinishedResponse(t.Protocol):
    """A response that is being received."""

    body_bytes: int

    def abort_response(self, reason: str) -> None:
        """Stop receiving the response and release its memory."""


class ResponseMemory:
    """Counts the buffered bytes of unfinished responses over all connections.

    :param limit_bytes: buffered bytes above which the largest responses are aborted, whatever
        their size.
    :param large_limit_bytes: buffered bytes above which responses over ``ALWAYS_ALLOWED_BYTES``
        are aborted.
    :param buffered_bytes: bytes that are buffered now.
    :param unfinished: responses with buffered bytes.
    :param aborted: number of responses that ``enforce_limit`` has aborted.
    """

    __slots__ = ("aborted", "buffered_bytes", "large_limit_bytes", "limit_bytes", "unfinished")

    def __init__(self, limit_bytes: int = int(BUFFERED_FRACTION_MAX * HOST_MEMORY_BYTES)) -> None:
        self.limit_bytes = limit_bytes
        self.large_limit_bytes = int(LARGE_RESPONSES_FRACTION * limit_bytes)
        self.buffered_bytes = 0
        self.unfinished: set[UnfinishedResponse] = set()
        self.aborted = 0

    @classmethod
    def of_host(cls, memory_bytes: int) -> ResponseMemory:
        """Return the memory for responses of a host.

        :param memory_bytes: memory of the host; 0 if unknown.
        """
        return cls(int(BUFFERED_FRACTION_MAX * (memory_bytes or HOST_MEMORY_BYTES)))

    def add(self, size: int) -> None:
        """Count received bytes."""
        self.buffered_bytes += size

    def release(self, size: int) -> None:
        """Stop counting the bytes of a response that was completed or aborted."""
        self.buffered_bytes -= size

    def allows(self, size: int) -> bool:
        """Return whether a response that has this many bytes so far may continue."""
        return self.buffered_bytes <= self.large_limit_bytes or size <= ALWAYS_ALLOWED_BYTES

    def enforce_limit(self) -> None:
        """Abort the largest responses until all together are within the limit."""
        while self.buffered_bytes > self.limit_bytes and self.unfinished:
            largest = max(self.unfinished, key=lambda response: response.body_bytes)
            self.aborted += 1
            largest.abort_response("all responses together use up the response memory")
