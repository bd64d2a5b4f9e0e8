"""A bound on the memory that responses of backend servers use while they are received.

A server may send endless bodies to all of its requests. Each response is limited in size, but many
of them together would exceed the memory of a host.
"""

from __future__ import annotations

# Buffered bytes of unfinished responses above which a host aborts large ones: a third of the
# memory of the smallest host, 200 MB.
BUFFERED_BYTES_MAX = 64 * 1_048_576
# Responses up to this size are never aborted for lack of memory. It is twice the size of the
# largest usual responses, which have some hundred KB.
ALWAYS_ALLOWED_BYTES = 1_048_576


class ResponseMemory:
    """Counts the buffered bytes of unfinished responses over all connections.

    :param buffered_bytes: bytes that are buffered now.
    :param limit_bytes: buffered bytes above which large responses are aborted.
    """

    __slots__ = ("buffered_bytes", "limit_bytes")

    def __init__(self, limit_bytes: int = BUFFERED_BYTES_MAX) -> None:
        self.buffered_bytes = 0
        self.limit_bytes = limit_bytes

    def add(self, size: int) -> None:
        """Count received bytes."""
        self.buffered_bytes += size

    def release(self, size: int) -> None:
        """Stop counting the bytes of a response that was completed or aborted."""
        self.buffered_bytes -= size

    def allows(self, size: int) -> bool:
        """Return whether a response that has this many bytes so far may continue."""
        return self.buffered_bytes <= self.limit_bytes or size <= ALWAYS_ALLOWED_BYTES
