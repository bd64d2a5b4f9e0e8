"""Whether a host can prove that its copy of the configuration, and so its keys, is fresh."""

from __future__ import annotations

import enum

import msgspec

from radishbridge.records import Failure, ResultCode
from radishbridge.store.protocol import HostList
from radishbridge.store.replica import Replica

FRESHNESS_BOUND_S = 5.0
REQUIRED_REPORTS = 2


class Proof(enum.Enum):
    """What proves that a copy is fresh."""

    STORE_READ = "the store or a host that reads it showed the same state"
    STORE_OUTAGE = "hosts in the store's region say that the store does not answer"
    REGION_GONE = "the platform's list shows no host in the store's region"


class Evidence(msgspec.Struct, kw_only=True, frozen=True):
    """A proof and its age in seconds."""

    proof: Proof
    age_s: float


class StoreReport(msgspec.Struct, kw_only=True, frozen=True):
    """The last report of a host in the store's region on whether the store answers.

    :param store_answers: whether the store answered that host's last call.
    :param same_copy: whether that host held the same copy as this one.
    :param observed_at: lower bound of the time of the report, in monotonic seconds of this host.
    """

    store_answers: bool
    same_copy: bool
    observed_at: float


class Freshness:
    """Decides from proofs of freshness whether requests that need a key may be served.

    While the store answers, only a read of it is a proof, by this host or by another one. In an
    outage, proof that no client could have changed a key counts too: at least two hosts in the
    store's region (one if the platform's list shows only one) with the same copy as this host
    report that the store does not answer, and none reports that it does; or the list shows no host
    in that region.

    :param store_region: region in which the store runs.
    :param bound_s: maximum age of a proof, in seconds.
    """

    __slots__ = (
        "bound_s",
        "peer_outage_proved_at",
        "region_gone_at",
        "replica",
        "reports",
        "required_reports",
        "store_region",
    )

    def __init__(
        self, replica: Replica, store_region: str, bound_s: float = FRESHNESS_BOUND_S
    ) -> None:
        self.replica = replica
        self.store_region = store_region
        self.bound_s = bound_s
        self.required_reports = REQUIRED_REPORTS
        self.reports: dict[str, StoreReport] = {}
        self.peer_outage_proved_at = float("-inf")
        self.region_gone_at = float("-inf")

    def is_fresh(self, now: float) -> bool:
        """Return whether the copy is proved fresh.

        :param now: monotonic time in seconds.
        """
        return isinstance(self.evidence(now), Evidence)

    def evidence(self, now: float) -> Evidence | Failure:
        """Return the best proof within the bound, or ``HOST_STARTING`` or ``KEYS_STALE``.

        :param now: monotonic time in seconds.
        """
        if not self.replica.complete:
            return Failure(ResultCode.HOST_STARTING, "the host has no full copy yet")
        times = {
            Proof.STORE_READ: self.replica.fresh_at,
            Proof.REGION_GONE: self.region_gone_at,
            Proof.STORE_OUTAGE: self.outage_proved_at(now),
        }
        for proof, proved_at in times.items():
            if now - proved_at <= self.bound_s:
                return Evidence(proof=proof, age_s=now - proved_at)
        age_s = now - max(times.values())
        return Failure(ResultCode.KEYS_STALE, f"the last proof of freshness is {age_s:.1f} s old")

    def record_report(self, host: str, region: str, report: StoreReport) -> None:
        """Record a host's report on the store; only hosts in the store's region count."""
        if region != self.store_region:
            return
        previous = self.reports.get(host)
        if previous is None or previous.observed_at <= report.observed_at:
            self.reports[host] = report

    def accept_outage_proof(self, proved_at: float) -> None:
        """Accept another host's proof of an outage.

        The caller has checked that both hosts hold the same copy.
        """
        self.peer_outage_proved_at = max(self.peer_outage_proved_at, proved_at)

    def update_hosts(self, hosts: HostList, read_at: float) -> None:
        """Apply the platform's list of hosts.

        :param read_at: monotonic time before the list was requested, in seconds.
        """
        names_in_region = [host.name for host in hosts.hosts if host.region == self.store_region]
        # An empty list means that the platform has lost its hosts, not that the region is empty.
        if hosts.hosts and not names_in_region:
            self.region_gone_at = max(self.region_gone_at, read_at)
        self.required_reports = min(REQUIRED_REPORTS, max(1, len(names_in_region)))
        self.reports = {
            host: report for host, report in self.reports.items() if host in names_in_region
        }

    def outage_proved_at(self, now: float) -> float:
        """Return the time of the newest proof of an outage; minus infinity if there is none."""
        # While reads by this host or others still prove the copy fresh, the store is not down for
        # all hosts.
        if now - self.replica.fresh_at <= self.bound_s / 2:
            return float("-inf")
        recent = [
            report for report in self.reports.values() if now - report.observed_at <= self.bound_s
        ]
        if any(report.store_answers for report in recent):
            return float("-inf")
        same_copy_times = sorted(
            (report.observed_at for report in recent if report.same_copy), reverse=True
        )
        own_proved_at = (
            same_copy_times[self.required_reports - 1]
            if len(same_copy_times) >= self.required_reports
            else float("-inf")
        )
        return max(own_proved_at, self.peer_outage_proved_at)

    def read_age_s(self, now: float) -> float | None:
        """Return the age of the newest proof by a read; ``None`` if it exceeds the bound."""
        return self._within_bound(now - self.replica.fresh_at)

    def outage_age_s(self, now: float) -> float | None:
        """Return the age of the newest proof of an outage; ``None`` if it exceeds the bound."""
        return self._within_bound(now - max(self.outage_proved_at(now), self.region_gone_at))

    def _within_bound(self, age_s: float) -> float | None:
        return age_s if age_s <= self.bound_s else None
