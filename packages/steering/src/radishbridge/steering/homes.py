"""Admission of requests that only one region may run, by what all hosts together send there.

Load pattern: a workspace whose home region has few servers of a service sends several times what
they can run. Each of many hosts sends little there and learns of the servers' queues late, so that
together they fill the queues until most requests pass their deadline in them. All hosts know the
demand and the region's slots from the same sums, and each lets the same part of it through.
"""

from __future__ import annotations

import math
import typing as t

import msgspec

from radishbridge.steering.rates import DemandMeter

# Requests under way beyond a region's slots, for the square root of their number. That is two
# standard deviations of what random arrivals keep under way; with fewer, slots idle beside queues.
QUEUED = 2.0
# Weight of the newest sum in the mean time for which a request is under way: of few requests, the
# number under way swings by as much as itself from one sum to the next.
NEW_STAY = 0.5
# Requests a second of all hosts from which the time that one is under way is known: one in the
# longest time that callers wait, some 10 s. Above that, the bound on a region of one slot that has
# lost its requests for so long would never be measured again.
SENT_KNOWN = 0.1


class HomeRegion(t.NamedTuple):
    """A service in a region that is the only home of some of its requests."""

    service: str
    region: str


class HomeDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand of requests with one home region for a service, of one host or of all together.

    :param requests_per_s: requests that arrive, refused ones among them.
    :param admitted_per_s: those of them that are let through.
    :param in_flight: requests let through that have not ended.
    """

    requests_per_s: float = 0.0
    admitted_per_s: float = 0.0
    in_flight: int = 0

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
        """Count a request, let through or not."""
        self.requests.add(now)

    def start(self, now: float) -> None:
        """Count a request that is let through."""
        self.admitted.add(now)
        self.in_flight += 1

    def finish(self) -> None:
        """Note that a request which was let through has ended."""
        self.in_flight -= 1

    def demand(self, now: float) -> HomeDemand:
        """Return the demand at present."""
        return HomeDemand(
            requests_per_s=round(self.requests.rate(now), 3),
            admitted_per_s=round(self.admitted.rate(now), 3),
            in_flight=self.in_flight,
        )


class HomeAdmission:
    """Lets requests with one home region through as far as its servers have room for them.

    :param first_credit: what the host begins with of the request that it lets through next, 0 to 1,
        evenly spread over hosts: most of them may have a single request.
    :param stay_s: seconds for which a request is under way, as last known.
    :param admitted_fractions: part of the requests that is let through, where that is not all.
    :param credits: sum of the parts since the last request that was let through.
    """

    __slots__ = ("admitted_fractions", "credits", "first_credit", "stay_s")

    def __init__(self, first_credit: float) -> None:
        self.first_credit = first_credit
        self.stay_s: dict[HomeRegion, float] = {}
        self.admitted_fractions: dict[HomeRegion, float] = {}
        self.credits: dict[HomeRegion, float] = {}

    def update(self, home: HomeRegion, demand: HomeDemand, slots: int) -> float:
        """Take over all hosts' demand.

        :param slots: slots of the region's servers that take requests.
        :return: requests that would be under way if all were let through.
        """
        if demand.admitted_per_s >= SENT_KNOWN:
            stay_s = demand.in_flight / demand.admitted_per_s
            held_s = self.stay_s.get(home, stay_s)
            self.stay_s[home] = held_s + NEW_STAY * (stay_s - held_s)
        needed = demand.requests_per_s * self.stay_s.get(home, 0.0)
        room = slots + QUEUED * math.sqrt(slots)
        if 0.0 < room < needed:
            self.admitted_fractions[home] = room / needed
        else:
            self.admitted_fractions.pop(home, None)
            self.credits.pop(home, None)
        return needed

    def admits(self, home: HomeRegion) -> bool:
        """Whether the next request may be sent to its home region."""
        part = self.admitted_fractions.get(home)
        if part is None:
            return True
        credit = self.credits.get(home, self.first_credit) + part
        is_admitted = credit >= 1.0
        self.credits[home] = credit - is_admitted
        return is_admitted
