"""A model of the served systems in virtual time: backend servers, links, entry hosts, callers.

Backend servers work faster on objects that they have handled lately, and each entry host knows
only what its own requests told it. The decisions are those of ``radishbridge.steering``.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import math
import random
import typing as t

import msgspec

from radishbridge.steering import LoadReport, Server


class ServiceShape(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A service and its backend servers.

    :param servers: number of backend servers by region.
    :param queue: requests that a server queues beyond its slots before it sheds.
    :param work_s: mean time of a run on an unknown object, in seconds.
    :param spread: standard deviation of the logarithm of that time.
    :param warm_gain: part of the time that a run on a known object saves.
    :param keeps: objects that a server remembers, the least lately handled forgotten first.
    """

    servers: dict[str, int]
    slots: int
    queue: int
    work_s: float
    spread: float = 0.15
    warm_gain: float = 0.7
    keeps: int = 20


class TrafficShape(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What callers send.

    :param per_s: requests a second by region.
    :param objects: number of objects that requests are about.
    :param skew: exponent of Zipf's law over the objects.
    :param aim_s: time within which an answer is of full use, in seconds.
    :param deadline_s: time after which it is of none, in seconds.
    :param burst: factor on the rate between ``burst_from_s`` and ``burst_to_s``.
    """

    per_s: dict[str, float]
    objects: int
    skew: float
    aim_s: float
    deadline_s: float
    burst: float = 1.0
    burst_from_s: float = 0.0
    burst_to_s: float = 0.0


class Shape(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A served system.

    :param hosts: entry hosts in each region.
    :param between_s: one way between two regions, in seconds.
    :param lost: servers that fall silent at ``lost_at_s``, as a part of all.
    """

    service: ServiceShape
    traffic: TrafficShape
    hosts: int
    between_s: float
    seconds: float
    lost: float = 0.0
    lost_at_s: float = 0.0


class Policy(t.Protocol):
    """The decisions of one entry host."""

    def choose(self, key: str, tried: list[str], now: float) -> str | None:
        """Return the server for an attempt; ``None`` refuses the request."""

    def sent(self, server: str, now: float) -> None:
        """Note that a request goes to a server."""

    def ended(self, server: str, key: str, latency_s: float | None, now: float) -> None:
        """Note an attempt's end; ``latency_s`` is ``None`` where it failed."""

    def reported(self, server: str, load: LoadReport, now: float) -> None:
        """Note a server's report of its load."""


class Ended(t.NamedTuple):
    """How a caller's request ended; ``latency_s`` is ``None`` where it was not served."""

    sent_at: float
    latency_s: float | None
    refused: bool


class _Request(t.NamedTuple):
    number: int
    host: int
    region: str
    key: str
    sent_at: float
    is_return: bool


class _Backend:
    """One backend server: slots, a queue, and the objects that it remembers."""

    __slots__ = ("known", "rng", "running", "server", "shape", "silent", "waiting")

    def __init__(self, server: Server, shape: ServiceShape, seed: str) -> None:
        self.server = server
        self.shape = shape
        self.rng = random.Random(f"{seed} {server.name}")
        self.running = 0
        self.waiting: collections.deque[t.Callable[[], None]] = collections.deque()
        self.known: collections.OrderedDict[str, None] = collections.OrderedDict()
        self.silent = False

    @property
    def is_full(self) -> bool:
        """Whether it sheds."""
        return self.running + len(self.waiting) >= self.shape.slots + self.shape.queue

    def work_s(self, key: str) -> float:
        """Return the time of a run, and remember its object."""
        shape = self.shape
        mean = shape.work_s * math.exp(-(shape.spread**2) / 2.0)
        work_s = mean * math.exp(self.rng.gauss(0.0, shape.spread))
        if key in self.known:
            work_s *= 1.0 - shape.warm_gain
        self.known[key] = None
        self.known.move_to_end(key)
        if len(self.known) > shape.keeps:
            self.known.popitem(last=False)
        return work_s

    def report(self) -> LoadReport:
        """Return its load."""
        return LoadReport(self.running, len(self.waiting), self.shape.slots)


class Play:
    """One run of a shape under a policy.

    :param make_policy: makes a host's decisions, given its name, its region, all servers and a
        source of chance.
    """

    # Retries of what a server shed or lost, and a refused caller's pause before its one return.
    ATTEMPTS = 2
    RETURN_S = (0.15, 0.4)

    def __init__(
        self,
        shape: Shape,
        make_policy: t.Callable[[str, str, list[Server], random.Random], Policy],
        seed: int,
    ) -> None:
        self.shape = shape
        # Sources of chance are kept apart, so that all policies see the same arrivals.
        self.arrivals = random.Random(f"{seed} arrivals")
        self.rng = random.Random(f"{seed} faults and returns")
        self.now = 0.0
        self.order = itertools.count()
        self.events: list[tuple[float, int, t.Callable[[], None]]] = []
        self.ended: list[Ended] = []
        self.regions = sorted(shape.traffic.per_s)
        servers = _servers(shape.service)
        self.backends = {
            server.name: _Backend(server, shape.service, str(seed)) for server in servers
        }
        places = itertools.product(self.regions, range(shape.hosts))
        self.hosts = [
            (region, make_policy(name, region, servers, random.Random(f"{seed} {name}")))
            for region, name in ((region, f"{region}-{number}") for region, number in places)
        ]
        weights = [1.0 / (rank + 1) ** shape.traffic.skew for rank in range(shape.traffic.objects)]
        self.weights = list(itertools.accumulate(weights))

    def run(self) -> list[Ended]:
        """Play the whole time and return how each request ended."""
        numbers = itertools.count()
        for region in self.regions:
            self._arrive(region, numbers)
        if self.shape.lost:
            self._at(self.shape.lost_at_s, self._lose)
        while self.events:
            self.now, _, act = heapq.heappop(self.events)
            act()
        return self.ended

    def _at(self, when: float, act: t.Callable[[], None]) -> None:
        heapq.heappush(self.events, (when, next(self.order), act))

    def _arrive(self, region: str, numbers: t.Iterator[int]) -> None:
        traffic = self.shape.traffic
        rate = traffic.per_s[region]
        if traffic.burst_from_s <= self.now < traffic.burst_to_s:
            rate *= traffic.burst
        pause_s = self.arrivals.expovariate(rate)

        def arrive() -> None:
            drawn = self.arrivals.choices(range(traffic.objects), cum_weights=self.weights)
            first = self.regions.index(region) * self.shape.hosts
            host = first + self.arrivals.randrange(self.shape.hosts)
            self._serve(_Request(next(numbers), host, region, str(drawn[0]), self.now, False))
            self._arrive(region, numbers)

        if self.now + pause_s < self.shape.seconds:
            self._at(self.now + pause_s, arrive)

    def _lose(self) -> None:
        names = sorted(self.backends)
        for name in self.rng.sample(names, round(self.shape.lost * len(names))):
            self.backends[name].silent = True

    def _serve(self, request: _Request) -> None:
        self._attempt(request, [])

    def _attempt(self, request: _Request, tried: list[str]) -> None:
        region, policy = self.hosts[request.host]
        name = policy.choose(request.key, tried, self.now)
        if name is None:
            self._refuse(request)
            return
        backend = self.backends[name]
        policy.sent(name, self.now)
        started_at = self.now
        way_s = 0.0 if backend.server.region == region else self.shape.between_s
        state = {"open": True}

        def close(latency_s: float | None) -> bool:
            if not state["open"]:
                return False
            state["open"] = False
            policy.ended(name, request.key, latency_s, self.now)
            return True

        def give_up() -> None:
            if close(None):
                self.ended.append(Ended(request.sent_at, None, False))

        def answered() -> None:
            if close(self.now - started_at):
                policy.reported(name, backend.report(), self.now)
                self.ended.append(Ended(request.sent_at, self.now - request.sent_at, False))

        def shed() -> None:
            if not close(None):
                return
            policy.reported(name, backend.report(), self.now)
            if len(tried) + 1 < self.ATTEMPTS:
                self._attempt(request, [*tried, name])
            else:
                self._refuse(request)

        def done() -> None:
            backend.running -= 1
            if backend.waiting:
                backend.waiting.popleft()()
            self._at(self.now + way_s, answered)

        def start() -> None:
            if not state["open"]:
                if backend.waiting:
                    backend.waiting.popleft()()
                return
            backend.running += 1
            self._at(self.now + backend.work_s(request.key), done)

        def reach() -> None:
            if backend.silent:
                return
            if backend.is_full:
                self._at(self.now + way_s, shed)
            elif backend.running < backend.shape.slots:
                start()
            else:
                backend.waiting.append(start)

        self._at(request.sent_at + self.shape.traffic.deadline_s, give_up)
        self._at(self.now + way_s, reach)

    def _refuse(self, request: _Request) -> None:
        back_at = self.now + self.rng.uniform(*self.RETURN_S)
        left_s = request.sent_at + self.shape.traffic.deadline_s - self.now
        if request.is_return or back_at - self.now > left_s / 3.0:
            self.ended.append(Ended(request.sent_at, None, True))
            return
        self._at(back_at, lambda: self._serve(request._replace(is_return=True)))


def _servers(shape: ServiceShape) -> list[Server]:
    return [
        Server(
            name=f"{region}-{number}",
            incarnation=1,
            service="service",
            address=f"{region}-{number}:80",
            region=region,
            data_center=region,
            version="v1",
            slots=shape.slots,
        )
        for region, count in sorted(shape.servers.items())
        for number in range(count)
    ]
