"""The state of one host as operators see it."""

from __future__ import annotations

import asyncio
import time
import typing as t

from radishbridge.host.forward import Forwarder
from radishbridge.peers import Heartbeat
from radishbridge.records import HostStatus, InForce, RejectedRecord, Settings
from radishbridge.store import Replica

NEVER = -1.0
POLL_S = 0.05
SHARE_WAIT_S = 3.0
REFILL_S = 0.25


class HostState:
    """Answers what the host is, holds and does.

    :param has_share: returns whether the host may admit requests by rate.
    :param live_peers: returns the names of the hosts that were heard of late.
    :param held_leases: returns the names of the leases that this host holds.
    """

    __slots__ = (
        "complete_at",
        "forwarder",
        "has_share",
        "held_leases",
        "live_peers",
        "replica",
        "settings",
        "warm",
    )

    def __init__(self, settings: Settings, replica: Replica, forwarder: Forwarder) -> None:
        self.settings = settings
        self.replica = replica
        self.forwarder = forwarder
        self.complete_at = float("inf")
        self.warm = False
        self.has_share: t.Callable[[], bool] = lambda: True
        self.live_peers: t.Callable[[], list[str]] = list
        self.held_leases: t.Callable[[], list[str]] = list

    @property
    def ready(self) -> bool:
        """Whether callers should be sent here."""
        return self.replica.complete and self.warm and not self.forwarder.leaving

    async def follow_start(self) -> None:
        """Note when the host is able to admit requests; run until cancelled.

        A host that joins holds no units of the shares at first, and would refuse requests that
        are within their rate. One that is no holder borrows units for the first requests, so
        that the wait is bounded.
        """
        while not self.warm:
            now = time.monotonic()
            if self.replica.complete:
                self.complete_at = min(self.complete_at, now)
            shared = self.replica.complete and self.has_share()
            if shared or now - self.complete_at > SHARE_WAIT_S:
                await asyncio.sleep(REFILL_S)
                self.warm = True
            await asyncio.sleep(POLL_S)

    def fresh_age_s(self, now: float) -> float:
        """Return the age of the last proof of freshness in seconds, -1 for never.

        :param now: monotonic time in seconds.
        """
        age_s = now - self.replica.fresh_at
        return NEVER if age_s == float("inf") else age_s

    def heartbeat(self) -> Heartbeat:
        """Return the sign of life for other hosts."""
        return Heartbeat(revision=self.replica.revision, leaving=self.forwarder.leaving)

    def status(self, now: float) -> HostStatus:
        """Return the body of ``/v1/status``."""
        return HostStatus(
            host=self.settings.host,
            region=self.settings.region,
            data_center=self.settings.data_center,
            revision=self.replica.revision,
            ready=self.ready,
            leaving=self.forwarder.leaving,
            fresh_age_s=self.fresh_age_s(now),
            in_flight=self.forwarder.in_flight,
            live_peers=self.live_peers(),
            held_leases=self.held_leases(),
            rejected=[
                RejectedRecord(kind=kind, name=name, code=int(failure.code), reason=failure.reason)
                for (kind, name), failure in sorted(self.replica.rejected.items())
            ],
        )

    def in_force(self, kind: str, name: str) -> InForce:
        """Return the body of ``/v1/in-force/KIND/NAME``."""
        record = self.replica.records.get((kind, name))
        return InForce(
            host=self.settings.host,
            revision=self.replica.revision,
            version=0 if record is None else record.version,
        )
