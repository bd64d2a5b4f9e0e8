"""Backend servers as the store lists them, and what this host knows of each from its requests."""

from __future__ import annotations

import math

import msgspec

# Failures in a row before a server is left out; single failures happen at healthy servers.
FAILURES_TO_EJECT = 3
# First and longest ejection in seconds: short, since a crashed server is back within seconds.
EJECTION_S = 1.0
EJECTION_MAX_S = 8.0
# Weight of the newest sample in moving averages.
NEW_SAMPLE = 0.2
# Age in seconds at which half of a load report no longer counts.
LOAD_HALF_LIFE_S = 0.3
# Part of the last answers that failed above which a server is left out, and the weight of the
# newest one: some half of the last six. Single lost answers stay far below.
FAILING = 0.5
NEW_FAILURE = 0.2
# A server this many times slower than the median of its service counts as fuller than it is, by
# the second figure for each further time, up to the third.
SLOW_FACTOR = 2.0
SLOW_WEIGHT = 0.5
SLOW_MOST = 2.0
# Age in seconds after which a slow answer is no longer held against a server, so that it is tried.
SLOW_S = 2.0
# Time in seconds for which a server counts as knowing an object that it has served for this host.
# Servers forget the least lately served objects first, at a pace that is not known.
KNOWN_S = 8.0
# Objects that are noted for each server; all are forgotten beyond, which costs a few cold runs.
KNOWN_MAX = 2_048
# A server with requests under way that has answered none for this many times the service's usual
# time counts as silent, but not before the second figure in seconds. The usual time is a mean over
# runs on known and unknown objects; a run on an unknown one takes up to about twice that.
SILENT_FACTOR = 3.0
SILENT_MIN_S = 0.2
# Answers after which a server's speed is known well enough to compare it.
SPEED_SAMPLES = 6


class Server(msgspec.Struct, frozen=True, kw_only=True):
    """One backend server as its entry in the store describes it.

    :param name: unique id of this start of the server, mostly.
    :param incarnation: start of the process, milliseconds since the Unix epoch; 0 if unknown.
    :param address: ``IP:port``; may belong to another server later.
    :param slots: requests it runs at once.
    :param draining: it is leaving and takes no new requests.
    :param cold_for_s: how long it stays cold, counted from the arrival of the entry.
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
    """What a backend server said of its own load in an answer."""

    running: int
    waiting: int
    slots: int


class ServerState:
    """Requests in flight, load, speed and health of one backend server, as seen from here.

    :param cold_until: monotonic time in seconds at which its slow start ends.
    """

    __slots__ = (
        "cold_until",
        "consecutive_failures",
        "ejected_until",
        "ejections",
        "failing",
        "in_flight",
        "known",
        "others",
        "probing",
        "quiet_since",
        "reported_at",
        "samples",
        "server",
        "speed_at",
        "speed_s",
    )

    def __init__(self, server: Server, now: float) -> None:
        self.server = server
        self.cold_until = now + server.cold_for_s
        self.in_flight = 0
        self.quiet_since = now
        self.others = 0.0
        self.reported_at = now
        self.consecutive_failures = 0
        self.failing = 0.0
        self.ejections = 0
        self.ejected_until = 0.0
        self.probing = False
        self.samples = 0
        self.speed_s = 0.0
        self.speed_at = now
        self.known: dict[str, float] = {}

    def replace(self, server: Server, now: float) -> None:
        """Take over a changed entry of the same incarnation."""
        if server.cold_for_s != self.server.cold_for_s:
            self.cold_until = now + server.cold_for_s
        self.server = server

    def is_cold(self, now: float) -> bool:
        """Whether the server is in its slow start."""
        return now < self.cold_until

    def is_out(self, now: float) -> bool:
        """Whether requests should go elsewhere because the server failed lately.

        One request at a time tries a server whose ejection has run out.
        """
        if not self.ejected_until:
            return False
        return now < self.ejected_until or self.probing

    def occupancy(self, now: float) -> float:
        """Return the requests that the server runs or queues, for each of its slots.

        What other hosts keep there is known from its last answer, and counts less as that ages.
        """
        age_s = max(0.0, now - self.reported_at)
        others = self.others * math.exp2(-age_s / LOAD_HALF_LIFE_S)
        return (self.in_flight + others) / max(1, self.server.slots)

    def start(self, now: float) -> None:
        """Note that a request goes to the server."""
        if not self.in_flight:
            self.quiet_since = now
        self.in_flight += 1
        if self.ejected_until and now >= self.ejected_until:
            self.probing = True

    def finish(self) -> None:
        """Note that a request at the server has ended, however it did."""
        self.in_flight = max(0, self.in_flight - 1)
        self.probing = False

    def record_response(self, now: float) -> None:
        """Note that an answer came from the server, whatever it says."""
        self.quiet_since = now

    def seconds_until_silent(self, typical_latency_s: float, now: float) -> float:
        """Return the seconds after which the server counts as silent if no answer comes.

        :param typical_latency_s: time that the service usually takes, in seconds.
        """
        return self.quiet_since + max(SILENT_MIN_S, SILENT_FACTOR * typical_latency_s) - now

    def is_silent(self, typical_latency_s: float, now: float) -> bool:
        """Whether the server has requests under way and has answered none for long."""
        return (
            typical_latency_s > 0.0
            and self.in_flight > 0
            and self.seconds_until_silent(typical_latency_s, now) <= 0.0
        )

    def record_load(self, report: LoadReport, now: float) -> None:
        """Take in a load report; it counts the request whose answer carried it or not."""
        self.others = max(0.0, float(report.running + report.waiting - self.in_flight))
        self.reported_at = now

    def knows(self, key: str, now: float) -> bool:
        """Whether the server has served an object for this host lately."""
        return now - self.known.get(key, float("-inf")) < KNOWN_S

    def mark_object_warm(self, key: str, now: float) -> None:
        """Note that the server has served an object."""
        if len(self.known) >= KNOWN_MAX:
            self.known.clear()
        self.known[key] = now

    def record_success(self, latency_s: float, now: float) -> None:
        """Take in an answer that was no failure of the server."""
        self.consecutive_failures = 0
        self.failing -= NEW_FAILURE * self.failing
        self.speed_at = now
        self.ejected_until = 0.0
        self.ejections = max(0, self.ejections - 1)
        self.samples += 1
        gain = max(NEW_SAMPLE, 1.0 / self.samples)
        self.speed_s += gain * (latency_s - self.speed_s)

    def record_failure(self, now: float, weight: int = 1) -> bool:
        """Take in a failure of the server.

        :param weight: failures it counts as; one that shows the server to be gone counts as all.
        :return: whether the server was ejected for it.
        """
        self.consecutive_failures += weight
        self.failing += NEW_FAILURE * (1.0 - self.failing)
        healthy = self.consecutive_failures < FAILURES_TO_EJECT and self.failing < FAILING
        if healthy and not self.ejected_until:
            return False
        self.eject(now)
        return True

    def eject(self, now: float) -> None:
        """Leave the server out for a while that doubles each time."""
        pause_s = min(EJECTION_MAX_S, EJECTION_S * 2.0**self.ejections)
        self.ejections += 1
        self.ejected_until = now + pause_s
        self.consecutive_failures = 0
        self.failing = 0.0
        self.samples = 0

    def slowness(self, median_s: float, now: float) -> float:
        """Return by how much the server counts as fuller, in requests for each slot.

        :param median_s: median time that the service's servers take.
        """
        if self.samples < SPEED_SAMPLES or median_s <= 0.0 or now - self.speed_at > SLOW_S:
            return 0.0
        excess = self.speed_s / median_s - SLOW_FACTOR
        return min(SLOW_MOST, max(0.0, SLOW_WEIGHT * excess))
