"""Admission of requests that only one region may run, by the demand of all hosts together.

Load pattern: a workspace whose home region has few servers of a service sends several times what
they can run. Each of many hosts sends little there and learns of the servers' queues late, so that
together they fill the queues until most requests exceed their deadline there. All hosts know the
demand and the region's slots from the same summaries, and each admits the same fraction of it.
"""

from __future__ import annotations

import math
import typing as t

import msgspec

from radishbridge.steering.rates import DemandMeter

# Requests admitted beyond a region's slots, in multiples of the square root of the number of slots:
# two standard deviations of the requests in flight under random arrivals. With fewer, some slots
# are idle while requests queue at others.
QUEUE_ALLOWANCE = 2.0
# Weight of the newest summary in the mean duration of a request. With few requests, the number in
# flight varies by as much as itself between two summaries.
DURATION_SAMPLE_WEIGHT = 0.5
# Minimum admitted requests per second of all hosts to measure the mean duration: one request in the
# longest time that callers wait, about 10 s. With a higher minimum, the duration would never be
# measured again in a region with one slot whose requests have been lost for that long.
ADMITTED_PER_S_MIN = 0.1


# Ranges of the demand that other hosts report.
RATE_MAX_PER_S = 1e12
REQUESTS_MAX = 2**53

Rate = t.Annotated[float, msgspec.Meta(ge=0.0, le=RATE_MAX_PER_S)]


class HomeRegion(t.NamedTuple):
    """A service and a region that is the only one allowed to run some of its requests."""

    service: str
    region: str


class HomeDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand for a service in a home region, of one host or of all hosts together.

    :param requests_per_s: requests that arrive per second, including refused ones.
    :param admitted_per_s: requests admitted per second.
    :param in_flight: admitted requests that have not ended.
    """

    requests_per_s: Rate = 0.0
    admitted_per_s: Rate = 0.0
    in_flight: t.Annotated[int, msgspec.Meta(ge=0, le=REQUESTS_MAX)] = 0

    def __add__(self, other: HomeDemand) -> HomeDemand:
        return HomeDemand(
            self.requests_per_s + other.requests_per_s,
            self.admitted_per_s + other.admitted_per_s,
            self.in_flight + other.in_flight,
        )


class HomeMeter:
    """Measures this host's demand for a service in a home region."""

    __slots__ = ("admitted", "in_flight", "requests")

    def __init__(self, now: float) -> None:
        self.requests = DemandMeter(now)
        self.admitted = DemandMeter(now)
        self.in_flight = 0

    def record_request(self, now: float) -> None:
        """Count a request, whether admitted or not."""
        self.requests.add(now)

    def start(self, now: float) -> None:
        """Count an admitted request."""
        self.admitted.add(now)
        self.in_flight += 1

    def finish(self) -> None:
        """Record that an admitted request has ended."""
        self.in_flight -= 1

    def demand(self, now: float) -> HomeDemand:
        """Return the current demand."""
        return HomeDemand(
            requests_per_s=round(self.requests.rate(now), 3),
            admitted_per_s=round(self.admitted.rate(now), 3),
            in_flight=self.in_flight,
        )


class HomeAdmission:
    """Admits requests with one home region up to the capacity of the region's servers.

    :param initial_credit: credit of a host towards its first admitted request, 0 to 1. It is spread
        evenly over the hosts, because each of many hosts may have only a single request.
    :param mean_duration_s: moving average in seconds of the time that a request is in flight.
    :param admitted_fractions: fraction of the requests that is admitted, for regions that cannot
        run all.
    :param credits: sum of the fractions since the last admitted request, below 1.
    """

    __slots__ = ("admitted_fractions", "credits", "initial_credit", "mean_duration_s")

    def __init__(self, initial_credit: float) -> None:
        self.initial_credit = initial_credit
        self.mean_duration_s: dict[HomeRegion, float] = {}
        self.admitted_fractions: dict[HomeRegion, float] = {}
        self.credits: dict[HomeRegion, float] = {}

    def update(self, home: HomeRegion, demand: HomeDemand, slots: int) -> float:
        """Update the admitted fraction of a home region.

        :param demand: demand of all hosts.
        :param slots: slots of the region's servers that accept requests.
        :return: requests that would be in flight if all were admitted.
        """
        if demand.admitted_per_s >= ADMITTED_PER_S_MIN:
            duration_s = demand.in_flight / demand.admitted_per_s
            previous_s = self.mean_duration_s.get(home, duration_s)
            self.mean_duration_s[home] = previous_s + DURATION_SAMPLE_WEIGHT * (
                duration_s - previous_s
            )
        needed = demand.requests_per_s * self.mean_duration_s.get(home, 0.0)
        capacity = slots + QUEUE_ALLOWANCE * math.sqrt(slots)
        if 0.0 < capacity < needed:
            self.admitted_fractions[home] = capacity / needed
        else:
            self.admitted_fractions.pop(home, None)
            self.credits.pop(home, None)
        return needed

    def admits(self, home: HomeRegion) -> bool:
        """Return whether the next request may be sent to its home region, and count it."""
        fraction = self.admitted_fractions.get(home)
        if fraction is None:
            return True
        credit = self.credits.get(home, self.initial_credit) + fraction
        is_admitted = credit >= 1.0
        self.credits[home] = credit - is_admitted
        return is_admitted
