"""One account of the bytes that a host holds for all of its clients, and what is over a limit."""

from __future__ import annotations

import collections
import logging
import typing as t

# Memory of the smallest host, in bytes, for hosts that are not told theirs.
HOST_MEMORY_BYTES = 200 * 1_048_576
# Fraction of a host's memory for what clients send before a request is accepted and for responses
# that they have not read. The smallest host has 32 MB left besides the process, the responses of
# servers and bodies; half of it is left to the allocator and to pieces that are being parsed.
CLIENT_FRACTION = 0.08
# Seconds between two log lines of one cause.
LOG_INTERVAL_S = 1.0

logger = logging.getLogger(__name__)


class Client(t.Protocol):
    """A connection whose bytes are counted."""

    @property
    def held_bytes(self) -> int:
        """Bytes that are held for the connection now."""

    @property
    def peer_text(self) -> str:
        """Address of the client."""

    def abort(self) -> None:
        """Reset the connection."""


class ExcessLog:
    """Counts what clients did beyond the limits, and logs each cause at most once a second.

    :param counts: by cause.
    """

    __slots__ = ("_logged_at", "_unlogged", "counts")

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._logged_at: dict[str, float] = {}
        self._unlogged: collections.Counter[str] = collections.Counter()

    def record(self, cause: str, peer: str, size: int, action: str, now: float) -> None:
        """Count an event, and log it unless the cause was logged just before.

        :param cause: which limit was exceeded; one of few.
        :param size: bytes held for the connection.
        :param action: what was done about it.
        :param now: monotonic time in seconds.
        """
        self.counts[cause] += 1
        if now - self._logged_at.get(cause, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            self._unlogged[cause] += 1
            return
        self._logged_at[cause] = now
        left_out = self._unlogged.pop(cause, 0)
        logger.warning(
            "client beyond limits",
            extra={
                "cause": cause,
                "peer": peer,
                "bytes": size,
                "action": action,
                "left_out": left_out,
            },
        )


class ClientMemory:
    """Counts the bytes held for each client, and resets the largest while all exceed the limit.

    :param limit_bytes: for all clients of all addresses together.
    :param held_bytes: bytes held now.
    """

    __slots__ = ("_by_client", "excess_log", "held_bytes", "limit_bytes")

    def __init__(
        self, excess_log: ExcessLog, limit_bytes: int = int(CLIENT_FRACTION * HOST_MEMORY_BYTES)
    ) -> None:
        self.limit_bytes = limit_bytes
        self.excess_log = excess_log
        self.held_bytes = 0
        self._by_client: dict[Client, int] = {}

    @classmethod
    def of_host(cls, memory_bytes: int, excess_log: ExcessLog) -> ClientMemory:
        """Return the memory for the clients of a host.

        :param memory_bytes: memory of the host; 0 if unknown.
        """
        return cls(excess_log, int(CLIENT_FRACTION * (memory_bytes or HOST_MEMORY_BYTES)))

    def update(self, client: Client, now: float) -> bool:
        """Count what is held for a client now, and enforce the limit.

        :param now: monotonic time in seconds.
        :return: whether something is counted for the client.
        """
        size = client.held_bytes
        self.held_bytes += size - self._by_client.get(client, 0)
        if size:
            self._by_client[client] = size
        else:
            self._by_client.pop(client, None)
        while self.held_bytes > self.limit_bytes and self._by_client:
            largest = max(self._by_client, key=self._by_client.__getitem__)
            size = self._by_client[largest]
            self.remove(largest)
            self.excess_log.record("client memory", largest.peer_text, size, "reset", now)
            largest.abort()
        return client in self._by_client

    def remove(self, client: Client) -> None:
        """Stop counting a client whose connection ended."""
        self.held_bytes -= self._by_client.pop(client, 0)
