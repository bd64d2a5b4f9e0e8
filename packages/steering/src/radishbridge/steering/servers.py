"""Backend servers as listed in the store, and their load and health as this host observes them."""

from __future__ import annotations

import math

import msgspec

from radishbridge.steering.notices import Notice

# Consecutive failures that eject a server; healthy servers have single failures.
FAILURES_TO_EJECT = 3
# First and longest ejection in seconds: short, because a crashed server restarts within seconds.
EJECTION_BASE_S = 1.0
EJECTION_MAX_S = 8.0
# Weight of the newest sample in the moving average of a server's latency.
LATENCY_SAMPLE_WEIGHT = 0.2
# Half-life in seconds of the load that a server reported for other hosts.
LOAD_HALF_LIFE_S = 0.3
# Half-life in seconds with which the load that a server reported for other hosts approaches the
# mean of its service, where servers report pace. Queues there last for several runs of a second.
LOAD_MEAN_HALF_LIFE_S = 1.5
# Half-life in seconds of a server's mean pace, and the maximum weight of one report. Machines are
# slower for periods of about 0.6 s, which mostly end before the next request is sent; only what
# remains over many of them is a property of the server.
PACE_HALF_LIFE_S = 5.0
PACE_SAMPLE_WEIGHT_MAX = 0.1
# Half-life in seconds of the mean of the occupancy that a server reports: several runs, so that
# objects are not moved for a single burst. The model shows no difference to 6 s.
MEAN_OCCUPANCY_HALF_LIFE_S = 3.0
# Range of the pace that is believed.
PACE_MIN = 0.1
PACE_MAX = 20.0
# Moving average of failed responses at which a server is ejected, and the weight of the newest
# response: about half of the last six. Single lost responses stay far below it.
FAILURE_RATE_TO_EJECT = 0.5
FAILURE_RATE_WEIGHT = 0.2
# A server slower than SLOWNESS_THRESHOLD times the median of its service gets a penalty on its
# occupancy, in requests per slot: SLOWNESS_WEIGHT for each further multiple of the median, up to
# SLOWNESS_MAX.
SLOWNESS_THRESHOLD = 2.0
SLOWNESS_WEIGHT = 0.5
SLOWNESS_MAX = 2.0
# Age in seconds after which the measured latency is ignored, so that a slow server is tried again.
LATENCY_FRESH_S = 2.0
# Time in seconds for which an object counts as warm on a server after a request of this host.
# Servers evict the least recently used objects first, at a rate that hosts do not know.
WARM_OBJECT_S = 8.0
# Warm objects remembered for each server. When the limit is reached all are forgotten, which costs
# a few runs on cold objects.
WARM_OBJECTS_MAX = 2_048
# A server with requests in flight counts as silent when it has not responded for SILENCE_FACTOR
# times the typical latency of its service, and for at least SILENCE_MIN_S seconds. The typical
# latency averages runs on warm and cold objects; a run on a cold object takes up to about twice it.
SILENCE_FACTOR = 3.0
SILENCE_MIN_S = 0.2
# Responses needed before a server's latency is compared with the median of its service.
LATENCY_SAMPLES_MIN = 6


class Server(msgspec.Struct, frozen=True, kw_only=True):
    """One backend server as its entry in the store describes it.

    :param name: usually unique for each start of the server.
    :param incarnation: start of the process in milliseconds since the Unix epoch; 0 if unknown.
    :param address: ``IP:port``; may be reused by another server later.
    :param slots: requests that it runs concurrently.
    :param draining: it is shutting down and accepts no new requests.
    :param cold_for_s: rest of its slow start in seconds, counted from the arrival of the entry.
    """

    name: str
    incarnation: int
    service: str
    address: str
    region: str
    data_center: str
    version: str
    slots: int
    draining: bool = False
    cold_for_s: float = 0.0


class LoadReport(msgspec.Struct, frozen=True):
    """Load that a backend server reports with a response.

    :param pace: how long work takes on the server's machine now, relative to the usual time.
    :param has_pace: the server reported its pace.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 1.0
    has_pace: bool = False


class ServerState:
    """In-flight requests, load, latency and health of one backend server, as seen by this host.

    Times are monotonic, in seconds.

    :param cold_until: time at which the slow start ends.
    :param silent_since: time of the last response, or of the first request in flight if later.
    :param other_hosts_load: requests of other hosts that the server ran or queued at the last load
        report.
    :param pace: mean time that work takes on the server's machine, relative to the usual time.
    :param mean_occupancy: mean of the requests per slot that the server reported.
    :param failure_rate: moving average of failed responses, 0 to 1.
    :param is_probing: a request is testing the server after an ejection.
    :param notice: what the server has said in its responses; ``None`` for nothing.
    :param warm_objects: time at which this host was last served each object, by key.
    """

    __slots__ = (
        "cold_until",
        "consecutive_failures",
        "ejected_until",
        "ejections",
        "failure_rate",
        "in_flight",
        "is_probing",
        "last_success_at",
        "latency_samples",
        "load_reported_at",
        "mean_latency_s",
        "mean_occupancy",
        "notice",
        "other_hosts_load",
        "pace",
        "server",
        "silent_since",
        "warm_objects",
    )

    def __init__(self, server: Server, now: float) -> None:
        self.server = server
        self.cold_until = now + server.cold_for_s
        self.in_flight = 0
        self.silent_since = now
        self.other_hosts_load = 0.0
        self.load_reported_at = float("-inf")
        self.pace = 1.0
        self.mean_occupancy = 0.0
        self.consecutive_failures = 0
        self.failure_rate = 0.0
        self.ejections = 0
        self.ejected_until = 0.0
        self.is_probing = False
        self.latency_samples = 0
        self.mean_latency_s = 0.0
        self.last_success_at = now
        self.warm_objects: dict[str, float] = {}
        self.notice: Notice | None = None

    def replace(self, server: Server, now: float) -> None:
        """Replace the entry with a newer one of the same incarnation."""
        if server.cold_for_s != self.server.cold_for_s:
            self.cold_until = now + server.cold_for_s
        self.server = server

    def is_cold(self, now: float) -> bool:
        """Return whether the server is in its slow start."""
        return now < self.cold_until

    def is_ejected(self, now: float) -> bool:
        """Return whether the server is ejected after recent failures.

        When an ejection has expired, one request at a time tests the server.
        """
        if not self.ejected_until:
            return False
        return now < self.ejected_until or self.is_probing

    @property
    def is_heard(self) -> bool:
        """Return whether a load report of the server is known."""
        return self.load_reported_at > float("-inf")

    @property
    def is_leaving(self) -> bool:
        """Return whether the server has said in a response that it is leaving."""
        return self.notice is not None and self.notice.is_leaving

    def is_paused(self, now: float) -> bool:
        """Return whether the server has asked for a pause that lasts, or its load is returning.

        After a pause the limit of this host's requests in flight rises by steps.
        """
        if self.notice is None:
            return False
        return self.in_flight >= self.notice.in_flight_limit(self.server.slots, now)

    def occupancy(self, now: float) -> float:
        """Return the requests that the server runs or queues, per slot.

        The load of other hosts comes from the last load report and decays as the report ages.
        """
        age_s = max(0.0, now - self.load_reported_at)
        other_hosts_load = self.other_hosts_load * math.exp2(-age_s / LOAD_HALF_LIFE_S)
        return (self.in_flight + other_hosts_load) / max(1, self.server.slots)

    def expected_load(self, mean_load: float, now: float) -> float:
        """Return the requests that the server is expected to run or queue.

        The load of other hosts approaches the mean of the service as the last load report ages.

        :param mean_load: mean load of other hosts on the service's servers, in requests per slot.
        """
        mean = mean_load * self.server.slots
        age_s = max(0.0, now - self.load_reported_at)
        deviation = (self.other_hosts_load - mean) * math.exp2(-age_s / LOAD_MEAN_HALF_LIFE_S)
        return self.in_flight + max(0.0, mean + deviation)

    def start(self, now: float) -> None:
        """Record that a request is sent to the server."""
        if not self.in_flight:
            self.silent_since = now
        self.in_flight += 1
        if self.ejected_until and now >= self.ejected_until:
            self.is_probing = True

    def finish(self) -> None:
        """Record that a request at the server has ended, whatever its outcome."""
        self.in_flight = max(0, self.in_flight - 1)
        self.is_probing = False

    def record_response(self, now: float) -> None:
        """Record that the server responded, whatever the response is."""
        self.silent_since = now

    def seconds_until_silent(self, typical_latency_s: float, now: float) -> float:
        """Return the seconds until the server counts as silent if it sends no response.

        :param typical_latency_s: median latency of the service in seconds.
        """
        return self.silent_since + max(SILENCE_MIN_S, SILENCE_FACTOR * typical_latency_s) - now

    def is_silent(self, typical_latency_s: float, now: float) -> bool:
        """Return whether the server has requests in flight and has not responded for too long.

        :param typical_latency_s: median latency of the service in seconds; 0 if unknown.
        """
        return (
            typical_latency_s > 0.0
            and self.in_flight > 0
            and self.seconds_until_silent(typical_latency_s, now) <= 0.0
        )

    def record_load(self, report: LoadReport, now: float) -> None:
        """Update the load of other hosts from a load report.

        The report may or may not count the request whose response carried it.
        """
        self.other_hosts_load = max(0.0, float(report.running + report.waiting - self.in_flight))
        if report.has_pace:
            age_s = max(0.0, now - self.load_reported_at)
            occupancy = (report.running + report.waiting) / max(1, self.server.slots)
            gain = 1.0 - math.exp2(-age_s / MEAN_OCCUPANCY_HALF_LIFE_S)
            self.mean_occupancy += gain * (occupancy - self.mean_occupancy)
            gain = min(PACE_SAMPLE_WEIGHT_MAX, 1.0 - math.exp2(-age_s / PACE_HALF_LIFE_S))
            self.pace += gain * (min(PACE_MAX, max(PACE_MIN, report.pace)) - self.pace)
        self.load_reported_at = now

    def has_warm_object(self, key: str, now: float) -> bool:
        """Return whether the server has recently served an object for this host."""
        return now - self.warm_objects.get(key, float("-inf")) < WARM_OBJECT_S

    def mark_object_warm(self, key: str, now: float) -> None:
        """Record that the server has served an object."""
        if len(self.warm_objects) >= WARM_OBJECTS_MAX:
            self.warm_objects.clear()
        self.warm_objects[key] = now

    def record_success(self, latency_s: float, now: float) -> None:
        """Record a response that was no failure of the server.

        :param latency_s: its latency in seconds.
        """
        self.consecutive_failures = 0
        self.failure_rate -= FAILURE_RATE_WEIGHT * self.failure_rate
        self.last_success_at = now
        self.ejected_until = 0.0
        self.ejections = max(0, self.ejections - 1)
        self.latency_samples += 1
        gain = max(LATENCY_SAMPLE_WEIGHT, 1.0 / self.latency_samples)
        self.mean_latency_s += gain * (latency_s - self.mean_latency_s)

    def record_failure(self, now: float, weight: int = 1) -> bool:
        """Record a failure of the server.

        :param weight: consecutive failures it counts as; evidence that the server is gone counts as
            ``FAILURES_TO_EJECT``.
        :return: whether the server was ejected for it.
        """
        self.consecutive_failures += weight
        self.failure_rate += FAILURE_RATE_WEIGHT * (1.0 - self.failure_rate)
        healthy = (
            self.consecutive_failures < FAILURES_TO_EJECT
            and self.failure_rate < FAILURE_RATE_TO_EJECT
        )
        if healthy and not self.ejected_until:
            return False
        self.eject(now)
        return True

    def eject(self, now: float) -> None:
        """Eject the server for a time that doubles with each ejection."""
        pause_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2.0**self.ejections)
        self.ejections += 1
        self.ejected_until = now + pause_s
        self.consecutive_failures = 0
        self.failure_rate = 0.0
        self.latency_samples = 0

    def slowness(self, median_s: float, now: float) -> float:
        """Return the penalty on the occupancy of a slow server, in requests per slot.

        :param median_s: median latency of the service's servers in seconds.
        """
        if (
            self.latency_samples < LATENCY_SAMPLES_MIN
            or median_s <= 0.0
            or now - self.last_success_at > LATENCY_FRESH_S
        ):
            return 0.0
        excess = self.mean_latency_s / median_s - SLOWNESS_THRESHOLD
        return min(SLOWNESS_MAX, max(0.0, SLOWNESS_WEIGHT * excess))
