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


def is_divided(burst: float, hosts: int) -> bool:
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


class FleetPart:
    """The part of every rate that this host may use.

    :param hosts: hosts that may be running, heard or not.
    :param heard: hosts that the last summary covers.
    :param heard_at: monotonic time of the last summary.
    :param is_counted: the last summary covers this host, by a report that it knows.
    """

    __slots__ = ("heard", "heard_at", "hosts", "is_counted")

    def __init__(self, now: float) -> None:
        self.hosts = 1
        self.heard = 1
        self.heard_at = now
        self.is_counted = True

    def reach(self, now: float) -> float:
        """Return the part of all hosts, 0 to 1, that this one hears, itself included."""
        silent_s = now - self.heard_at
        if silent_s > CUT_OFF_S:
            return 0.0
        heard = self.heard if silent_s <= SUMMARY_FRESH_S else 1
        return min(1.0, heard / max(1, self.hosts))

    def share(self, own: float, total: float, now: float) -> float:
        """Return the part of a rate, 0 to 1.

        :param own: this host's demand as the last summary counts it.
        :param total: demand of all hosts in the last summary.
        """
        reach = self.reach(now)
        if now - self.heard_at > SUMMARY_FRESH_S:
            return reach
        if not self.is_counted:
            # The others leave an even part to hosts that they do not hear.
            return 1.0 / max(1, self.hosts)
        own += BASE_DEMAND_PER_S
        total = max(total + BASE_DEMAND_PER_S * min(self.heard, self.hosts), own)
        return reach * own / total


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

    def take(self, part: FleetPart, now: float) -> bool:
        """Hand out one token if there is one."""
        reach = part.reach(now)
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
        "share",
        "stated",
        "tokens",
        "total",
        "updated_at",
    )

    def __init__(self, rate_per_s: float, burst: float, share: float, since: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.demand = DemandMeter(since)
        self.hosts = 1
        self.stated = 0.0
        self.total = 0.0
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

    def admit(self, part: FleetPart, now: float) -> bool:
        """Spend one token if there is one."""
        self.demand.add(now)
        if not self.rate_per_s:
            return True
        self.refill(part, now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def refill(self, part: FleetPart, now: float) -> None:
        """Add the tokens of the time since the last refill."""
        earned = self.rate_per_s * self.share * max(0.0, now - self.updated_at)
        self.share = part.share(self.stated, self.total, now)
        self.hosts = part.hosts
        self.updated_at = max(self.updated_at, now)
        self.tokens = min(self.most_tokens, self.tokens + earned)

    def take_sum(self, part: FleetPart, stated: float, total: float, now: float) -> None:
        """Take over a new sum; what was earned before it counts at the part before it.

        :param stated: this host's demand as the sum counts it.
        :param total: demand of all hosts.
        """
        self.stated, self.total = stated, total
        self.refill(part, now)

    def empty(self, now: float) -> None:
        """Begin anew without tokens: until now others handed out this rate."""
        self.tokens = 0.0
        self.updated_at = max(self.updated_at, now)

    def wait_s(self) -> float:
        """Return the seconds until a token will be there at the present share."""
        earning = self.rate_per_s * self.share
        return max(0.0, 1.0 - self.tokens) / earning if earning > 0.0 else math.inf
