"""Remembers which request ids this host has sent to servers lately.

Ids should be unique, but callers are free to use one again. A refusal with such an id may be a late
copy of the refusal of an earlier request, while the current one runs.
"""

from __future__ import annotations

from radishbridge.entry.idle import LONG_IDLE_MAX_S

# Time in seconds for which an id is remembered, and up to twice that: three times the longest
# idle time of a connection, since the next request on it reads a late copy.
KEPT_S = 3.0 * LONG_IDLE_MAX_S
# Ids of one generation. Busy hosts send some hundred requests per second, so that the time ends a
# generation first; under a flood two of them take 4 MB.
GENERATION_IDS_MAX = 20_000

_SEVERAL_SENDERS = 0


class SentIds:
    """The ids of two generations, by hash because callers choose their length.

    :param current: number of the caller's request that sent an id, by the id's hash.
    :param previous: the generation before; its ids are forgotten when the current one ends.
    :param current_since: monotonic time in seconds.
    """

    __slots__ = ("current", "current_since", "previous")

    def __init__(self) -> None:
        self.current: dict[int, int] = {}
        self.previous: dict[int, int] = {}
        self.current_since = 0.0

    def record(self, request_id: str, sender: int, now: float) -> None:
        """Remember that a request is sent; one without an id is not remembered.

        :param sender: number of the caller's request, the same for all of its attempts.
        :param now: monotonic time in seconds.
        """
        if not request_id:
            return
        if now - self.current_since >= KEPT_S or len(self.current) >= GENERATION_IDS_MAX:
            self.previous, self.current, self.current_since = self.current, {}, now
        known = self._sender(request_id)
        self.current[hash(request_id)] = sender if known in (None, sender) else _SEVERAL_SENDERS

    def has_another_sender(self, request_id: str, sender: int) -> bool:
        """Return whether another request was sent with the id."""
        return self._sender(request_id) not in (None, sender)

    def _sender(self, request_id: str) -> int | None:
        key = hash(request_id)
        return self.current.get(key, self.previous.get(key))
