"""The crashes of backend servers that this host detects, tells the others, and hears from them."""

from __future__ import annotations

import logging
import typing as t

import msgspec

from radishbridge.entry.messages import Crash, FleetSummary, Rejected
from radishbridge.routing import Crash as ServerCrash
from radishbridge.routing import PoisonList, Rejection
from radishbridge.steering import Server

# Time in seconds for which a crash is reported to the other hosts, since some reports may be lost.
CRASH_REPORT_S = 3.0
# Maximum number of crashes in a report. A lost data centre has several hundred requests in flight.
CRASHES_REPORTED_MAX = 256
# Crashes at which a request has to be in flight before it is refused.
POISON_CRASHES = 3

logger = logging.getLogger(__name__)


class DetectedCrash(t.NamedTuple):
    """A crash that this host detected, and a request that was in flight at it."""

    fingerprint: bytes
    crash: ServerCrash


class CrashReports:
    """Keeps the list of requests that crash servers in step with the other hosts.

    :param poison: the requests that were in flight at crashes.
    :param detected: crashes that this host has detected, with each request that was in flight.
    :param cleared: monotonic time by fingerprint at which a suspect was run to its end.
    """

    __slots__ = ("cleared", "detected", "poison")

    def __init__(self) -> None:
        self.poison = PoisonList(crashes_max=POISON_CRASHES)
        self.detected: list[DetectedCrash] = []
        self.cleared: dict[bytes, float] = {}

    def record_crash(self, suspects: t.Iterable[bytes], server: Server, now: float) -> None:
        """Record that a server crashed while it had requests.

        :param suspects: fingerprints of the requests.
        """
        crash = ServerCrash(server.name, server.incarnation, now)
        new = [one for one in suspects if self.poison.record_crash(one, crash, now)]
        self.detected.extend(DetectedCrash(fingerprint, crash) for fingerprint in new)
        logger.info(
            "server crashed",
            extra={
                "server": server.name,
                "incarnation": server.incarnation,
                "service": server.service,
                "suspects": len(new),
                "most_crashes": max(map(self.poison.crash_count, new), default=0),
            },
        )

    def record_completed_run(self, fingerprint: bytes, now: float) -> None:
        """Record that a server has run a request to its end."""
        if self.poison.clear(fingerprint, now):
            self.cleared[fingerprint] = now

    def apply_summary(self, summary: FleetSummary, now: float) -> None:
        """Apply what the other hosts have detected."""
        for fingerprint in summary.cleared:
            self.poison.clear(fingerprint, now)
        for crash in summary.crashes:
            known = ServerCrash(crash.server, crash.incarnation, now - crash.age_s)
            self.poison.record_crash(crash.fingerprint, known, now)
        for rejected in summary.rejected:
            self.poison.learn(Rejection(*msgspec.structs.astuple(rejected)), now)

    def crashes_to_report(self, now: float) -> list[Crash]:
        """Return the crashes of the last seconds, those of the most suspected requests first."""
        self.detected = [
            one for one in self.detected if now - one.crash.crashed_at < CRASH_REPORT_S
        ]
        # The request that causes crashes is among those that were in flight at most of them.
        most_suspected = sorted(
            self.detected, key=lambda one: self.poison.crash_count(one.fingerprint), reverse=True
        )
        return [
            Crash(fingerprint, crash.backend, crash.incarnation, round(now - crash.crashed_at, 2))
            for fingerprint, crash in most_suspected[:CRASHES_REPORTED_MAX]
        ]

    def cleared_to_report(self, now: float) -> list[bytes]:
        """Return the suspects that were run to their end in the last seconds."""
        self.cleared = {one: at for one, at in self.cleared.items() if now - at < CRASH_REPORT_S}
        return list(self.cleared)

    def rejected_to_report(self, now: float) -> list[Rejected]:
        """Return the rejected requests, for hosts that have not seen the crashes."""
        return [
            Rejected(fingerprint, crashes, round(age_s, 2))
            for fingerprint, crashes, age_s in self.poison.rejections(now)
        ]
