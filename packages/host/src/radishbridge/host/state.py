"""The state of one host: readiness, heartbeats and status."""

from __future__ import annotations

import asyncio
import time
import typing as t

from radishbridge.host.forward import Forwarder
from radishbridge.peers import Heartbeat
from radishbridge.records import HostStatus, InForce, RejectedRecord, Settings
from radishbridge.store import Replica

UNKNOWN_AGE_S = -1.0
STARTUP_POLL_S = 0.05
MAX_SHARE_WAIT_S = 3.0
SHARE_REFILL_DELAY_S = 0.25


class HostState:
    """Reports the host's readiness, heartbeat, status and records in force.

    :param complete_at: monotonic time in seconds at which the configuration became complete.
    :param is_warm: the host has units of the shares, or has stopped waiting for them after its
        start.
    :param has_share: returns whether the host has units of the shares to admit requests with.
    :param live_peers: returns the names of the hosts that sent a heartbeat recently.
    :param held_leases: returns the names of the leases that this host holds.
    """

    __slots__ = (
        "complete_at",
        "forwarder",
        "has_share",
        "held_leases",
        "is_warm",
        "live_peers",
        "replica",
        "settings",
    )

    def __init__(self, settings: Settings, replica: Replica, forwarder: Forwarder) -> None:
        self.settings = settings
        self.replica = replica
        self.forwarder = forwarder
        self.complete_at = float("inf")
        self.is_warm = False
        self.has_share: t.Callable[[], bool] = lambda: True
        self.live_peers: t.Callable[[], list[str]] = list
        self.held_leases: t.Callable[[], list[str]] = list

    @property
    def ready(self) -> bool:
        """Whether callers should be directed to this host."""
        return self.replica.complete and self.is_warm and not self.forwarder.leaving

    async def watch_startup(self) -> None:
        """Wait until the host can admit requests, then mark it as warm.

        A host that joins has no units of the shares at first, and would refuse requests that are
        within their rate. A host that holds no share borrows units for its first requests, so
        the wait is limited.
        """
        while not self.is_warm:
            now = time.monotonic()
            if self.replica.complete:
                self.complete_at = min(self.complete_at, now)
            has_share = self.replica.complete and self.has_share()
            if has_share or now - self.complete_at > MAX_SHARE_WAIT_S:
                await asyncio.sleep(SHARE_REFILL_DELAY_S)
                self.is_warm = True
            await asyncio.sleep(STARTUP_POLL_S)

    def fresh_age_s(self, now: float) -> float:
        """Return the seconds since the configuration was last proven fresh, -1 if it never was.

        :param now: monotonic time in seconds.
        """
        age_s = now - self.replica.fresh_at
        return UNKNOWN_AGE_S if age_s == float("inf") else age_s

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat to send to other hosts."""
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
