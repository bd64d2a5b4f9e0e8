"""Division of a service's requests between two versions, exact on every host."""

from __future__ import annotations


class VersionSplit:
    """Sends a share of requests to the new version, and never more than that share.

    Each request earns ``share`` of a credit, and one at the new version costs a whole one. So the
    requests sent there never exceed the sum of the shares that were in force when requests came,
    on each host and therefore over all hosts together, without any message between them.
    """

    __slots__ = ("credit", "share", "stopped")

    def __init__(self) -> None:
        self.share = 0.0
        self.credit = 0.0
        self.stopped = False

    def set_share(self, share: float) -> None:
        """Change the share, 0 to 1; credit earned under a larger one is dropped."""
        if share < self.share:
            self.credit = 0.0
        self.share = share

    def stop(self) -> None:
        """Send nothing more to the new version until ``resume``."""
        self.stopped = True
        self.credit = 0.0

    def resume(self) -> None:
        """Send to the new version again."""
        self.stopped = False

    def next_is_new(self) -> bool:
        """Decide one request: whether it goes to the new version."""
        if self.stopped or self.share <= 0.0:
            return False
        self.credit += self.share
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True
