"""Fleet-wide rate limits without a remote call per request: each host uses a share of each rate.

Load pattern: callers of one workspace move between hosts within seconds, and one workspace sends
many times its rate. Shares follow the demand that hosts report. A registered host that is missing
from the summaries keeps an equal share, which the other hosts do not use. A host that is neither
registered nor in the summaries has none, since the others do not know of it. So the shares never
add up to more than the rate.
"""

from __future__ import annotations

import math

# Time constant in seconds of the moving average of demand.
DEMAND_AVERAGING_S = 0.8
# Age in seconds beyond which a report or summary does not reflect the current demand.
SUMMARY_FRESH_S = 1.2
# Age in seconds of the last summary beyond which a host admits no rate-limited requests. The other
# hosts take its share over a little later (see ``TAKEOVER_AFTER_S`` in share_expiry.py).
SUMMARY_AGE_MAX_S = 25.0
# Demand added to that of each host, so that a host without demand has a share for a first request.
BASE_DEMAND_PER_S = 0.5


# Minimum burst per host for a rate to be divided between all hosts. With less, the first requests
# at most hosts would find no token, so one host owns the whole rate, or a slice of it, instead.
BURST_PER_HOST_MIN = 2.0


def is_rate_divided(burst: float, hosts: int) -> bool:
    """Return whether each host uses a share of a rate; otherwise slice owners grant its tokens.

    :param burst: burst of all hosts together, in requests.
    :param hosts: number of hosts.
    """
    return burst >= BURST_PER_HOST_MIN * hosts


class DemandMeter:
    """Exponential moving average of arrivals per second.

    :param average_per_s: the average at ``updated_at``.
    """

    __slots__ = ("average_per_s", "updated_at")

    def __init__(self, now: float) -> None:
        self.average_per_s = 0.0
        self.updated_at = now

    def add(self, now: float) -> None:
        """Count one arrival."""
        self.average_per_s = self.rate(now) + 1.0 / DEMAND_AVERAGING_S
        self.updated_at = now

    def rate(self, now: float) -> float:
        """Return the arrivals per second."""
        return self.average_per_s * math.exp(-max(0.0, now - self.updated_at) / DEMAND_AVERAGING_S)


class FleetShare:
    """This host's share of fleet-wide rates.

    :param hosts: number of hosts that may be running, whether or not the last summary covers them.
    :param hosts_reporting: number of hosts that the last summary covers.
    :param is_expired: other hosts may use this host's share (see ``share_expiry.py``).
    :param is_registered: the other hosts know of this host, and leave a share to it.
    :param summary_at: monotonic time of the last summary in seconds.
    :param is_included: the last summary includes a report of this host whose demands it still
        keeps.
    """

    __slots__ = (
        "hosts",
        "hosts_reporting",
        "is_expired",
        "is_included",
        "is_registered",
        "summary_at",
    )

    def __init__(self, now: float) -> None:
        self.hosts = 1
        self.hosts_reporting = 1
        self.summary_at = now
        self.is_expired = False
        self.is_included = True
        self.is_registered = True

    def reachable_fraction(self, now: float) -> float:
        """Return the fraction of all hosts that the summaries cover, 0 to 1.

        Without a recent summary only this host counts, and after ``SUMMARY_AGE_MAX_S`` none.
        """
        summary_age_s = now - self.summary_at
        if self.is_expired or summary_age_s > SUMMARY_AGE_MAX_S:
            return 0.0
        if not self.is_registered and not (self.is_included and summary_age_s <= SUMMARY_FRESH_S):
            return 0.0
        reporting = self.hosts_reporting if summary_age_s <= SUMMARY_FRESH_S else 1
        return min(1.0, reporting / max(1, self.hosts))

    def fraction(self, own_demand: float, total_demand: float, now: float) -> float:
        """Return the fraction of a rate that this host may use, 0 to 1.

        :param own_demand: this host's demand in the last summary, in requests per second.
        :param total_demand: demand of all hosts in the last summary.
        """
        reachable = self.reachable_fraction(now)
        if self.is_expired or now - self.summary_at > SUMMARY_FRESH_S:
            return reachable
        if not self.is_included:
            # The other hosts leave an equal share to each registered host that the summary does not
            # cover.
            return 1.0 / max(1, self.hosts) if self.is_registered else 0.0
        own_demand += BASE_DEMAND_PER_S
        total_demand = max(
            total_demand + BASE_DEMAND_PER_S * min(self.hosts_reporting, self.hosts), own_demand
        )
        return reachable * own_demand / total_demand


class RateSlice:
    """Token bucket of a slice of a rate, whose tokens this host alone grants to all hosts.

    The bucket refills in proportion to the reachable hosts. So two hosts that cannot reach each
    other, and both act as the owner, never grant more than the slice together.

    :param rate_per_s: tokens per second of the slice.
    :param burst: tokens that the slice holds.
    :param since: monotonic time in seconds at which the bucket starts to refill; before it another
        host may still grant tokens.
    """

    __slots__ = ("burst", "rate_per_s", "tokens", "updated_at")

    def __init__(self, rate_per_s: float, burst: float, since: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = 0.0
        self.updated_at = since

    def set_rate(self, rate_per_s: float, burst: float) -> None:
        """Apply a changed rate and burst."""
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def take_token(self, fleet_share: FleetShare, now: float) -> bool:
        """Take one token.

        :return: whether a token was available.
        """
        reachable = fleet_share.reachable_fraction(now)
        earned = self.rate_per_s * reachable * max(0.0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        self.tokens = min(max(1.0, self.burst * reachable), self.tokens + earned)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def wait_s(self) -> float:
        """Return the seconds until the next token."""
        return max(0.0, 1.0 - self.tokens) / self.rate_per_s if self.rate_per_s else math.inf


class RateLimiter:
    """Token bucket of this host's share of a workspace's rate.

    :param rate_per_s: requests per second of all hosts together; 0 for no limit.
    :param burst: burst of all hosts together, in requests.
    :param share: fraction of the rate that this host may use, 0 to 1.
    :param since: monotonic time in seconds at which the bucket starts to refill.
    """

    __slots__ = (
        "burst",
        "demand",
        "hosts",
        "rate_per_s",
        "reported_demand",
        "share",
        "tokens",
        "total_demand",
        "updated_at",
    )

    def __init__(self, rate_per_s: float, burst: float, share: float, since: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.demand = DemandMeter(since)
        self.hosts = 1
        self.reported_demand = 0.0
        self.total_demand = 0.0
        self.share = share
        self.tokens = 0.0
        self.updated_at = since

    def set_rate(self, rate_per_s: float, burst: float) -> None:
        """Apply a changed rate and burst."""
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = min(self.tokens, self.max_tokens)

    @property
    def max_tokens(self) -> float:
        """Return the capacity of the bucket: one token, and this host's share of the other tokens.

        For all hosts together that is the burst, unless there are more hosts than tokens.
        """
        return 1.0 + max(0.0, self.burst - self.hosts) * self.share

    def admit(self, fleet_share: FleetShare, now: float) -> bool:
        """Count a request and take a token for it.

        :return: whether the request is within the rate.
        """
        self.demand.add(now)
        if not self.rate_per_s:
            return True
        self.refill(fleet_share, now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def refill(self, fleet_share: FleetShare, now: float) -> None:
        """Add the tokens accrued since the last refill, then update the share."""
        earned = self.rate_per_s * self.share * max(0.0, now - self.updated_at)
        self.share = fleet_share.fraction(self.reported_demand, self.total_demand, now)
        self.hosts = fleet_share.hosts
        self.updated_at = max(self.updated_at, now)
        self.tokens = min(self.max_tokens, self.tokens + earned)

    def tokens_at(self, now: float) -> float:
        """Return the tokens that the bucket has at a time, at the current share."""
        earned = self.rate_per_s * self.share * max(0.0, now - self.updated_at)
        return min(self.max_tokens, self.tokens + earned)

    def update_demand(
        self, fleet_share: FleetShare, reported_demand: float, total_demand: float, now: float
    ) -> None:
        """Apply the demand of a new summary; tokens up to now accrue at the previous share.

        :param reported_demand: this host's demand in the summary, in requests per second.
        :param total_demand: demand of all hosts in the summary.
        """
        self.reported_demand, self.total_demand = reported_demand, total_demand
        self.refill(fleet_share, now)

    def reset(self, now: float) -> None:
        """Empty the bucket, because other hosts may have granted the tokens of this rate until now.

        :param now: monotonic time in seconds at which the bucket starts to refill.
        """
        self.tokens = 0.0
        self.updated_at = max(self.updated_at, now)

    def wait_s(self) -> float:
        """Return the seconds until the next token at the current share."""
        earned_per_s = self.rate_per_s * self.share
        return max(0.0, 1.0 - self.tokens) / earned_per_s if earned_per_s > 0.0 else math.inf
