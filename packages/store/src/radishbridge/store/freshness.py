"""Whether a host can prove that its copy of the configuration, keys above all, is fresh."""

from __future__ import annotations

import enum

import msgspec

from radishbridge.records import Failure, ResultCode
from radishbridge.store.protocol import HostList
from radishbridge.store.replica import Replica

FRESHNESS_BOUND_S = 5.0
WITNESSES = 2


class Proof(enum.Enum):
    """What proves a copy fresh."""

    STORE_READ = "the store or a host that reads it showed the same state"
    STORE_OUTAGE = "hosts in the store's region say that the store does not answer"
    REGION_GONE = "the platform's list shows no host in the store's region"


class Evidence(msgspec.Struct, kw_only=True, frozen=True):
    """A proof and its age in seconds."""

    proof: Proof
    age_s: float


class Witness(msgspec.Struct, kw_only=True, frozen=True):
    """What a host in the store's region said last.

    :param store_answers: whether the store answered its last call.
    :param same_copy: it held the same copy as this host.
    :param at: monotonic time that the statement is no older than, in seconds.
    """

    store_answers: bool
    same_copy: bool
    at: float


class Freshness:
    """Decides from proofs whether keyed requests may be served.

    While the store answers, only a read of it counts, an own one or another host's. In an
    outage it counts as well that nobody could have changed a key: at least two hosts in the
    store's region, whose copies equal this one, say that the store does not answer them and
    none says that it does; or the platform's list shows that region without hosts.

    :param store_region: region in which the store runs.
    :param bound_s: longest age of a proof, in seconds.
    """

    __slots__ = (
        "bound_s",
        "gone_at",
        "needed",
        "outage_at",
        "replica",
        "store_region",
        "witnesses",
    )

    def __init__(
        self, replica: Replica, store_region: str, bound_s: float = FRESHNESS_BOUND_S
    ) -> None:
        self.replica = replica
        self.store_region = store_region
        self.bound_s = bound_s
        self.needed = WITNESSES
        self.witnesses: dict[str, Witness] = {}
        self.outage_at = float("-inf")
        self.gone_at = float("-inf")

    def is_fresh(self, now: float) -> bool:
        """Return whether the copy is proved fresh."""
        return isinstance(self.evidence(now), Evidence)

    def evidence(self, now: float) -> Evidence | Failure:
        """Return the best proof within the bound, ``HOST_STARTING`` or ``KEYS_STALE``."""
        if not self.replica.complete:
            return Failure(ResultCode.HOST_STARTING, "the host holds no full copy yet")
        times = {
            Proof.STORE_READ: self.replica.fresh_at,
            Proof.REGION_GONE: self.gone_at,
            Proof.STORE_OUTAGE: self.outage_proved_at(now),
        }
        for proof, proved_at in times.items():
            if now - proved_at <= self.bound_s:
                return Evidence(proof=proof, age_s=now - proved_at)
        age_s = now - max(times.values())
        return Failure(ResultCode.KEYS_STALE, f"the last proof is {age_s:.1f} s old")

    def note_witness(self, host: str, region: str, witness: Witness) -> None:
        """Note what a host said about the store; only hosts in the store's region count."""
        if region != self.store_region:
            return
        held = self.witnesses.get(host)
        if held is None or held.at <= witness.at:
            self.witnesses[host] = witness

    def note_outage(self, proved_at: float) -> None:
        """Take over another host's evidence of an outage; both must hold the same copy."""
        self.outage_at = max(self.outage_at, proved_at)

    def note_hosts(self, hosts: HostList, read_at: float) -> None:
        """Take in the platform's list of hosts.

        :param read_at: monotonic time before the list was asked for, in seconds.
        """
        names = [host.name for host in hosts.hosts if host.region == self.store_region]
        # An empty list says nothing about the region: the platform has lost its hosts.
        if hosts.hosts and not names:
            self.gone_at = max(self.gone_at, read_at)
        self.needed = min(WITNESSES, max(1, len(names)))
        self.witnesses = {host: one for host, one in self.witnesses.items() if host in names}

    def outage_proved_at(self, now: float) -> float:
        """Return the time of the newest evidence of an outage; minus infinity without any."""
        # While reads of the store still reach this host, it is not down for everybody.
        if now - self.replica.fresh_at <= self.bound_s / 2:
            return float("-inf")
        recent = [one for one in self.witnesses.values() if now - one.at <= self.bound_s]
        if any(one.store_answers for one in recent):
            return float("-inf")
        agreeing = sorted((one.at for one in recent if one.same_copy), reverse=True)
        own = agreeing[self.needed - 1] if len(agreeing) >= self.needed else float("-inf")
        return max(own, self.outage_at)

    def read_age_s(self, now: float) -> float | None:
        """Return the age of the newest read; ``None`` where it is out of bound."""
        return self._within_bound(now - self.replica.fresh_at)

    def outage_age_s(self, now: float) -> float | None:
        """Return the age of the evidence of an outage; ``None`` where it is out of bound."""
        return self._within_bound(now - max(self.outage_proved_at(now), self.gone_at))

    def _within_bound(self, age_s: float) -> float | None:
        return age_s if age_s <= self.bound_s else None
