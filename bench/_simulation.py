"""Simulation of entry hosts, backend servers, network links and callers in virtual time.

Backend servers work faster on objects that they have handled recently. An entry host knows only
what it learned from its own requests. A ``Policy`` makes the placement decisions.
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
    :param slots: requests that a server processes concurrently.
    :param queue: requests that a server queues beyond its slots before it rejects more.
    :param work_s: mean processing time for an object that isn't warm, in seconds.
    :param spread: standard deviation of the logarithm of that time.
    :param warm_gain: fraction of the processing time saved for a warm object.
    :param keeps: number of objects that a server keeps warm; the least recently used is evicted.
    :param reports_pace: servers report how long work takes on their machines now.
    :param slow_fraction: fraction of the time in which a server's machine is slow, in periods of
        ``slow_period_s`` seconds on the mean, by ``slow_factor``.
    :param long_fraction: fraction of the runs that take ``long_factor`` times as long.
    """

    servers: dict[str, int]
    slots: int
    queue: int
    work_s: float
    spread: float = 0.15
    warm_gain: float = 0.7
    keeps: int = 20
    reports_pace: bool = False
    slow_fraction: float = 0.0
    slow_factor: float = 2.5
    slow_period_s: float = 0.6
    long_fraction: float = 0.0
    long_factor: float = 7.0


class TrafficShape(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The requests that callers send.

    :param per_s: requests per second by region.
    :param objects: number of distinct objects that are requested.
    :param skew: exponent of the Zipf distribution of requests over the objects.
    :param aim_s: latency target in seconds; a response within it has full worth.
    :param deadline_s: time after which a response is worth nothing, in seconds.
    :param wave: amplitude of the demand's waves relative to its mean, with a period of
        ``wave_period_s``, shifted by an equal part of the period from region to region.
    :param burst: factor on the rate between ``burst_from_s`` and ``burst_to_s``.
    """

    per_s: dict[str, float]
    objects: int
    skew: float
    aim_s: float
    deadline_s: float
    wave: float = 0.0
    wave_period_s: float = 36.0
    burst: float = 1.0
    burst_from_s: float = 0.0
    burst_to_s: float = 0.0


class Shape(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of one experiment.

    :param hosts: number of entry hosts in each region.
    :param between_s: one-way network delay between two regions, in seconds.
    :param seconds: time during which callers send new requests.
    :param lost: fraction of the servers that stop responding at ``lost_at_s``.
    :param share_interval_s: interval at which hosts share what servers reported; 0 for never. What
        arrives is older by one more interval.
    :param hold_s: longest time for which a host holds a request that no server can take, instead of
        refusing it at once, in seconds.
    """

    service: ServiceShape
    traffic: TrafficShape
    hosts: int
    between_s: float
    seconds: float
    lost: float = 0.0
    lost_at_s: float = 0.0
    share_interval_s: float = 0.0
    hold_s: float = 0.0


class TimeLimits(t.NamedTuple):
    """Target latency of a request and the time until its deadline, in seconds."""

    target_s: float
    remaining_s: float


class Policy(t.Protocol):
    """The placement decisions of one entry host."""

    def choose(self, key: str, tried: list[str], now: float, limits: TimeLimits) -> str | None:
        """Return the server for an attempt; ``None`` refuses the request."""

    def retry_after_s(self) -> float | None:
        """Return the delay in seconds to state with the last refusal; ``None`` for the usual."""

    def record_sent(self, server: str, now: float) -> None:
        """Record that a request is sent to a server."""

    def record_attempt_end(
        self, server: str, key: str, latency_s: float | None, now: float
    ) -> None:
        """Record the end of an attempt; ``latency_s`` is ``None`` if it failed."""

    def record_load(self, server: str, load: LoadReport, now: float) -> None:
        """Record the load that a server reported."""

    def record_shared(self, loads: dict[str, LoadReport], age_s: float, now: float) -> None:
        """Record the loads that servers reported to other hosts.

        :param age_s: mean age of the reports in seconds.
        """


class RequestResult(t.NamedTuple):
    """Result of a caller's request; ``latency_s`` is ``None`` if it wasn't served."""

    sent_at: float
    latency_s: float | None
    refused: bool


class _Request(t.NamedTuple):
    number: int
    host: int
    region: str
    key: str
    sent_at: float
    is_retry: bool  # A refused request that its caller sends again.


class _BackendServer:
    """A backend server with its slots, its queue and its warm objects."""

    __slots__ = (
        "is_slow",
        "is_unresponsive",
        "pace_rng",
        "pace_until",
        "queue",
        "rng",
        "running",
        "server",
        "shape",
        "warm_objects",
    )

    def __init__(self, server: Server, shape: ServiceShape, seed: str) -> None:
        self.server = server
        self.shape = shape
        self.rng = random.Random(f"{seed} {server.name}")
        self.running = 0
        self.queue: collections.deque[t.Callable[[], None]] = collections.deque()
        self.warm_objects: collections.OrderedDict[str, None] = collections.OrderedDict()
        self.is_unresponsive = False
        self.pace_rng = random.Random(f"{seed} {server.name} pace")
        self.is_slow = False
        self.pace_until = 0.0

    @property
    def is_full(self) -> bool:
        """Whether slots and queue are full, so that the server rejects requests."""
        return self.running + len(self.queue) >= self.shape.slots + self.shape.queue

    def pace(self, now: float) -> float:
        """Return how long work takes on the server's machine now, relative to the usual time."""
        shape = self.shape
        if not shape.slow_fraction:
            return 1.0
        while self.pace_until <= now:
            self.is_slow = not self.is_slow and self.pace_until > 0.0
            usual_s = shape.slow_period_s * (1.0 / shape.slow_fraction - 1.0)
            mean_s = shape.slow_period_s if self.is_slow else usual_s
            self.pace_until += self.pace_rng.expovariate(1.0 / mean_s)
        return shape.slow_factor if self.is_slow else 1.0

    def draw_run_time_s(self, key: str, now: float) -> float:
        """Draw the processing time of a request in seconds, and mark its object as warm."""
        shape = self.shape
        mean = shape.work_s * math.exp(-(shape.spread**2) / 2.0)
        run_time_s = mean * math.exp(self.rng.gauss(0.0, shape.spread)) * self.pace(now)
        if shape.long_fraction and self.rng.random() < shape.long_fraction:
            run_time_s *= shape.long_factor
        if key in self.warm_objects:
            run_time_s *= 1.0 - shape.warm_gain
        self.warm_objects[key] = None
        self.warm_objects.move_to_end(key)
        if len(self.warm_objects) > shape.keeps:
            self.warm_objects.popitem(last=False)
        return run_time_s

    def build_load_report(self, now: float) -> LoadReport:
        """Return the server's current load."""
        report = LoadReport(self.running, len(self.queue), self.shape.slots)
        if not self.shape.reports_pace:
            return report
        pace = self.pace(now) * self.pace_rng.uniform(0.8, 1.2)
        return msgspec.structs.replace(report, pace=round(pace, 2), has_pace=True)


class Simulation:
    """Simulation of one experiment under one policy.

    :param make_policy: creates the policy of a host from its name, its region, all servers and a
        random number generator.
    """

    # Attempts for a request that servers reject.
    ATTEMPTS_MAX = 2
    # Interval at which a host tries again to find a server for a request that it holds.
    HOLD_CHECK_INTERVAL_S = 0.05
    # Range of the delay after which a refused caller retries once.
    CALLER_RETRY_DELAY_S = (0.15, 0.4)

    def __init__(
        self,
        shape: Shape,
        make_policy: t.Callable[[str, str, list[Server], random.Random], Policy],
        seed: int,
    ) -> None:
        self.shape = shape
        # Arrivals have their own generator, so that every policy sees the same arrivals.
        self.arrival_rng = random.Random(f"{seed} arrivals")
        self.rng = random.Random(f"{seed} faults and returns")
        self.now = 0.0
        self.event_sequence = itertools.count()
        self.events: list[tuple[float, int, t.Callable[[], None]]] = []
        self.results: list[RequestResult] = []
        self.heard: dict[str, LoadReport] = {}
        self.regions = sorted(shape.traffic.per_s)
        servers = _make_servers(shape.service)
        self.backends = {
            server.name: _BackendServer(server, shape.service, str(seed)) for server in servers
        }
        host_numbers = itertools.product(self.regions, range(shape.hosts))
        self.hosts = [
            (region, make_policy(name, region, servers, random.Random(f"{seed} {name}")))
            for region, name in ((region, f"{region}-{number}") for region, number in host_numbers)
        ]
        weights = [1.0 / (rank + 1) ** shape.traffic.skew for rank in range(shape.traffic.objects)]
        self.cumulative_weights = list(itertools.accumulate(weights))

    def run(self) -> list[RequestResult]:
        """Run all events and return the result of each request."""
        numbers = itertools.count()
        for region in self.regions:
            self._schedule_arrival(region, numbers)
        if self.shape.share_interval_s:
            self._schedule(self.shape.share_interval_s, self._share_loads)
        if self.shape.lost:
            self._schedule(self.shape.lost_at_s, self._stop_some_servers)
        while self.events:
            self.now, _, run_event = heapq.heappop(self.events)
            run_event()
        return self.results

    def _schedule(self, when: float, run_event: t.Callable[[], None]) -> None:
        heapq.heappush(self.events, (when, next(self.event_sequence), run_event))

    def _schedule_arrival(self, region: str, numbers: t.Iterator[int]) -> None:
        traffic = self.shape.traffic
        rate = traffic.per_s[region]
        if traffic.burst_from_s <= self.now < traffic.burst_to_s:
            rate *= traffic.burst
        if traffic.wave:
            shift = self.regions.index(region) / len(self.regions)
            phase = 2.0 * math.pi * (self.now / traffic.wave_period_s + shift)
            rate *= 1.0 + traffic.wave * math.sin(phase)
        pause_s = self.arrival_rng.expovariate(rate)

        def arrive() -> None:
            object_numbers = self.arrival_rng.choices(
                range(traffic.objects), cum_weights=self.cumulative_weights
            )
            first_host = self.regions.index(region) * self.shape.hosts
            host = first_host + self.arrival_rng.randrange(self.shape.hosts)
            self._start_request(
                _Request(next(numbers), host, region, str(object_numbers[0]), self.now, False)
            )
            self._schedule_arrival(region, numbers)

        if self.now + pause_s < self.shape.seconds:
            self._schedule(self.now + pause_s, arrive)

    def _stop_some_servers(self) -> None:
        names = sorted(self.backends)
        for name in self.rng.sample(names, round(self.shape.lost * len(names))):
            self.backends[name].is_unresponsive = True

    def _start_request(self, request: _Request) -> None:
        self._attempt(request, [])

    def _attempt(self, request: _Request, tried: list[str]) -> None:
        region, policy = self.hosts[request.host]
        traffic = self.shape.traffic
        remaining_s = request.sent_at + traffic.deadline_s - self.now
        limits = TimeLimits(traffic.aim_s, remaining_s)
        name = policy.choose(request.key, tried, self.now, limits)
        held_s = self.now - request.sent_at
        if name is None and not request.is_retry and held_s < self.shape.hold_s:
            check_at = self.now + self.HOLD_CHECK_INTERVAL_S
            self._schedule(check_at, lambda: self._attempt(request, tried))
            return
        if name is None:
            self._refuse(request, policy.retry_after_s())
            return
        backend = self.backends[name]
        policy.record_sent(name, self.now)
        started_at = self.now
        one_way_s = 0.0 if backend.server.region == region else self.shape.between_s
        state = {"open": True}

        def end_attempt(latency_s: float | None) -> bool:
            if not state["open"]:
                return False
            state["open"] = False
            policy.record_attempt_end(name, request.key, latency_s, self.now)
            return True

        def reach_deadline() -> None:
            if end_attempt(None):
                self.results.append(RequestResult(request.sent_at, None, False))

        def receive_response() -> None:
            if end_attempt(self.now - started_at):
                self._record_load(policy, backend)
                self.results.append(
                    RequestResult(request.sent_at, self.now - request.sent_at, False)
                )

        def receive_rejection() -> None:
            if not end_attempt(None):
                return
            self._record_load(policy, backend)
            if len(tried) + 1 < self.ATTEMPTS_MAX:
                self._attempt(request, [*tried, name])
            else:
                self._refuse(request)

        def complete_run() -> None:
            backend.running -= 1
            if backend.queue:
                backend.queue.popleft()()
            self._schedule(self.now + one_way_s, receive_response)

        def start_run() -> None:
            if not state["open"]:
                if backend.queue:
                    backend.queue.popleft()()
                return
            backend.running += 1
            self._schedule(self.now + backend.draw_run_time_s(request.key, self.now), complete_run)

        def arrive_at_server() -> None:
            if backend.is_unresponsive:
                return
            if backend.is_full:
                self._schedule(self.now + one_way_s, receive_rejection)
            elif backend.running < backend.shape.slots:
                start_run()
            else:
                backend.queue.append(start_run)

        self._schedule(request.sent_at + self.shape.traffic.deadline_s, reach_deadline)
        self._schedule(self.now + one_way_s, arrive_at_server)

    def _record_load(self, policy: Policy, backend: _BackendServer) -> None:
        report = backend.build_load_report(self.now)
        policy.record_load(backend.server.name, report, self.now)
        if self.shape.share_interval_s:
            self.heard[backend.server.name] = report

    def _share_loads(self) -> None:
        interval_s = self.shape.share_interval_s
        loads, self.heard = self.heard, {}

        def deliver() -> None:
            for _, policy in self.hosts:
                policy.record_shared(loads, 1.5 * interval_s, self.now)

        self._schedule(self.now + interval_s, deliver)
        if self.now < self.shape.seconds:
            self._schedule(self.now + interval_s, self._share_loads)

    def _refuse(self, request: _Request, retry_after_s: float | None = None) -> None:
        delay_s = self.rng.uniform(*self.CALLER_RETRY_DELAY_S)
        retry_at = self.now + (delay_s if retry_after_s is None else retry_after_s)
        remaining_s = request.sent_at + self.shape.traffic.deadline_s - self.now
        if request.is_retry or retry_at - self.now > remaining_s / 3.0:
            self.results.append(RequestResult(request.sent_at, None, True))
            return
        self._schedule(retry_at, lambda: self._start_request(request._replace(is_retry=True)))


def _make_servers(shape: ServiceShape) -> list[Server]:
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
