"""The interface of admission by rate, as the request path sees it."""

from __future__ import annotations

import typing as t

from radishbridge.records import Failure


class Admission(t.Protocol):
    """Decides whether a request is within its workspace's rate over all hosts."""

    def admit(self, workspace: str, now: float) -> Failure | None:
        """Spend one request of the workspace's share.

        :param now: monotonic time in seconds.
        :return: ``None`` where admitted, ``RATE_EXCEEDED`` or ``SHARE_UNAVAILABLE`` otherwise.
        """

    async def acquire(self, workspace: str) -> Failure | None:
        """Spend one request, waiting shortly for a share that is under way."""

    def retry_after_s(self, workspace: str) -> float:
        """Return the seconds after which a refused request may be admitted."""
