"""The state of one host as operators see it."""

from __future__ import annotations

import typing as t

from radishbridge.host.forward import Forwarder
from radishbridge.peers import Heartbeat
from radishbridge.records import HostStatus, InForce, RejectedRecord, Settings
from radishbridge.store import Replica

NEVER = -1.0


class HostState:
    """Answers what the host is, holds and does.

    :param live_peers: returns the names of the hosts that were heard of late.
    :param may_admit: tells whether the host can admit requests within their rates.
    :param held_leases: returns the names of the leases that this host holds.
    """

    __slots__ = ("forwarder", "held_leases", "live_peers", "may_admit", "replica", "settings")

    def __init__(self, settings: Settings, replica: Replica, forwarder: Forwarder) -> None:
        self.settings = settings
        self.replica = replica
        self.forwarder = forwarder
        self.live_peers: t.Callable[[], list[str]] = list
        self.may_admit: t.Callable[[], bool] = lambda: True
        self.held_leases: t.Callable[[], list[str]] = list

    @property
    def ready(self) -> bool:
        """Whether callers should be sent here."""
        return self.replica.complete and self.may_admit() and not self.forwarder.leaving

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
