"""The interface through which the request path enforces rate limits."""

from __future__ import annotations

import typing as t

from radishbridge.records import Failure


class Admission(t.Protocol):
    """Decides whether a request is within its workspace's rate over all hosts."""

    def admit(self, workspace: str, now: float) -> Failure | None:
        """Admit a request if this host has a token for its workspace.

        :param now: monotonic time in seconds.
        :return: ``None`` if admitted, ``RATE_EXCEEDED`` or ``SHARE_UNAVAILABLE`` otherwise.
        """

    async def acquire(self, workspace: str) -> Failure | None:
        """Admit a request, waiting briefly for tokens that refill or arrive from another host."""

    def retry_after_s(self, workspace: str) -> float:
        """Return the seconds after which a refused request may succeed."""
