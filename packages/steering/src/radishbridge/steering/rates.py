"""Fleet-wide rates without a call for each request: every host uses a part of each rate.

Load pattern: callers of one workspace move between hosts within seconds, and one workspace sends
many times its rate. Parts follow the demand that hosts report; hosts that cannot be heard keep an
even part, which the others leave to them, so that the parts never add up to more than the rate.
"""

from __future__ import annotations

import math

# Time constant of the moving average of demand in seconds.
DEMAND_S = 0.8
# A report or summary older than this no longer tells where demand is, in seconds.
SUMMARY_FRESH_S = 1.2
# A host that has heard no summary for this long admits nothing that is metered, in seconds:
# the others give its part away a little later (see ``FORGET_SILENT_S`` in fleet.py).
CUT_OFF_S = 25.0
# Demand added to each host's own, so that a first request finds a part to use.
BASE_DEMAND_PER_S = 0.5


# Requests at once that a host's even part has to allow for the rate to be divided: below, first
# requests at most hosts would find no token, and one host keeps the whole rate instead.
DIVISIBLE = 2.0


def is_rate_divided(burst: float, hosts: int) -> bool:
    """Whether hosts use parts of a rate; otherwise one of them hands out its tokens.

    :param burst: requests of all hosts together at once.
    """
    return burst >= DIVISIBLE * hosts


class DemandMeter:
    """A moving average of arrivals a second."""

    __slots__ = ("updated_at", "value")

    def __init__(self, now: float) -> None:
        self.value = 0.0
        self.updated_at = now

    def add(self, now: float) -> None:
        """Count one arrival."""
        self.value = self.rate(now) + 1.0 / DEMAND_S
        self.updated_at = now

    def rate(self, now: float) -> float:
        """Return arrivals a second."""
        return self.value * math.exp(-max(0.0, now - self.updated_at) / DEMAND_S)


class FleetShare:
    """The part of every rate that this host may use.

    :param hosts: hosts that may be running, heard or not.
    :param hosts_reporting: hosts that the last summary covers.
    :param summary_at: monotonic time of the last summary.
    :param is_included: the last summary covers this host, by a report that it knows.
    """

    __slots__ = ("hosts", "hosts_reporting", "is_included", "summary_at")

    def __init__(self, now: float) -> None:
        self.hosts = 1
        self.hosts_reporting = 1
        self.summary_at = now
        self.is_included = True

    def reachable_fraction(self, now: float) -> float:
        """Return the part of all hosts, 0 to 1, that this one hears, itself included."""
        silent_s = now - self.summary_at
        if silent_s > CUT_OFF_S:
            return 0.0
        heard = self.hosts_reporting if silent_s <= SUMMARY_FRESH_S else 1
        return min(1.0, heard / max(1, self.hosts))

    def fraction(self, own_demand: float, total_demand: float, now: float) -> float:
        """Return the part of a rate, 0 to 1.

        :param own_demand: this host's demand as the last summary counts it.
        :param total_demand: demand of all hosts in the last summary.
        """
        reach = self.reachable_fraction(now)
        if now - self.summary_at > SUMMARY_FRESH_S:
            return reach
        if not self.is_included:
            # The others leave an even part to hosts that they do not hear.
            return 1.0 / max(1, self.hosts)
        own_demand += BASE_DEMAND_PER_S
        total_demand = max(
            total_demand + BASE_DEMAND_PER_S * min(self.hosts_reporting, self.hosts), own_demand
        )
        return reach * own_demand / total_demand


class RateSlice:
    """The tokens of a part of a rate that this host alone hands out, for all hosts.

    A host that hears only some of the others hands out their part of it, so that two hosts that
    do not hear each other never hand out more than the slice together.

    :param since: monotonic time from which tokens are earned; before it another host may still
        hand them out.
    """

    __slots__ = ("burst", "rate_per_s", "tokens", "updated_at")

    def __init__(self, rate_per_s: float, burst: float, since: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = 0.0
        self.updated_at = since

    def set_rate(self, rate_per_s: float, burst: float) -> None:
        """Put a changed rate in force."""
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def take_token(self, fleet_share: FleetShare, now: float) -> bool:
        """Hand out one token if there is one."""
        reach = fleet_share.reachable_fraction(now)
        earned = self.rate_per_s * reach * max(0.0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        self.tokens = min(max(1.0, self.burst * reach), self.tokens + earned)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def wait_s(self) -> float:
        """Return the seconds until the next token."""
        return max(0.0, 1.0 - self.tokens) / self.rate_per_s if self.rate_per_s else math.inf


class RateLimiter:
    """One workspace's requests at this host.

    :param rate_per_s: requests a second of all hosts together.
    :param burst: requests of all hosts together at once.
    :param since: monotonic time from which this host has had its part, and earns tokens.
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
        """Put a changed rate in force."""
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = min(self.tokens, self.most_tokens)

    @property
    def most_tokens(self) -> float:
        """Tokens that may gather at this host: one for its next request, and a part of the rest.

        Over all hosts that is the burst, unless hosts outnumber it.
        """
        return 1.0 + max(0.0, self.burst - self.hosts) * self.share

    def admit(self, fleet_share: FleetShare, now: float) -> bool:
        """Spend one token if there is one."""
        self.demand.add(now)
        if not self.rate_per_s:
            return True
        self.refill(fleet_share, now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def refill(self, fleet_share: FleetShare, now: float) -> None:
        """Add the tokens of the time since the last refill."""
        earned = self.rate_per_s * self.share * max(0.0, now - self.updated_at)
        self.share = fleet_share.fraction(self.reported_demand, self.total_demand, now)
        self.hosts = fleet_share.hosts
        self.updated_at = max(self.updated_at, now)
        self.tokens = min(self.most_tokens, self.tokens + earned)

    def update_demand(
        self, fleet_share: FleetShare, reported_demand: float, total_demand: float, now: float
    ) -> None:
        """Take over a new sum; what was earned before it counts at the part before it.

        :param reported_demand: this host's demand as the sum counts it.
        :param total_demand: demand of all hosts.
        """
        self.reported_demand, self.total_demand = reported_demand, total_demand
        self.refill(fleet_share, now)

    def reset(self, now: float) -> None:
        """Begin anew without tokens: until now others handed out this rate."""
        self.tokens = 0.0
        self.updated_at = max(self.updated_at, now)

    def wait_s(self) -> float:
        """Return the seconds until a token will be there at the present share."""
        earning = self.rate_per_s * self.share
        return max(0.0, 1.0 - self.tokens) / earning if earning > 0.0 else math.inf
