"""Exact split of a service's requests between two versions on each host."""

from __future__ import annotations


class VersionSplit:
    """Sends a share of the requests, and never more, to the new version.

    Each request adds ``share`` to a credit, and a request to the new version costs a credit of 1.
    The requests sent there therefore never exceed the sum of the shares that applied when each
    request arrived. This holds on each host, and thus for all hosts together, without any messages
    between them.
    """

    __slots__ = ("credit", "share", "stopped")

    def __init__(self) -> None:
        self.share = 0.0
        self.credit = 0.0
        self.stopped = False

    def set_share(self, share: float) -> None:
        """Set the share, 0 to 1; a decrease discards the credit earned under the larger share."""
        if share < self.share:
            self.credit = 0.0
        self.share = share

    def stop(self) -> None:
        """Send no requests to the new version until ``resume`` is called."""
        self.stopped = True
        self.credit = 0.0

    def resume(self) -> None:
        """Send requests to the new version again."""
        self.stopped = False

    def next_is_new(self) -> bool:
        """Return whether the next request goes to the new version, and charge the credit."""
        if self.stopped or self.share <= 0.0:
            return False
        self.credit += self.share
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True
