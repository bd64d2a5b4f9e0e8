"""Load and health of one backend server, as seen in this host's own requests."""

from __future__ import annotations

from radishbridge.records import Backend
from radishbridge.routing.protocol import AttemptOutcome

FAILURES_TO_EJECT = 5
PROBATION_SUCCESSES = 3
EJECTION_BASE_S = 5.0
EJECTION_MAX_S = 60.0
SLOW_START_LIMIT = 1.0
SHED_LIMIT_FACTOR = 0.5
LIMIT_GROWTH_PER_RESPONSE = 0.25
SLOW_START_GROWTH_PER_RESPONSE = 0.05


class ServerState:
    """Requests in flight at a backend server, its concurrency limit and its health.

    A server is cold when it was added after the host had started or returns from an ejection.
    Its concurrency limit then starts at one request. The limit grows with each successful response
    up to the server's slots, and is halved when the server sheds a request.

    :param cold: start with a limit of one request.
    :ivar limit: maximum number of requests in flight; rounded down where it is applied.
    :ivar ejected_until: monotonic time in seconds; 0 where the server isn't ejected.
    :ivar probation_remaining: successes still needed to end the probation; 0 outside of one.
    :ivar available_index: position in ``DistanceTier.available``; -1 where it isn't listed there.
    """

    __slots__ = (
        "available_index",
        "backend",
        "consecutive_ejections",
        "consecutive_failures",
        "ejected_until",
        "in_flight",
        "limit",
        "limit_growth",
        "probation_remaining",
    )

    def __init__(self, backend: Backend, cold: bool) -> None:
        self.backend = backend
        self.in_flight = 0
        self.consecutive_failures = 0
        self.consecutive_ejections = 0
        self.ejected_until = 0.0
        self.probation_remaining = 0
        self.available_index = -1
        self.limit = float(backend.slots)
        self.limit_growth = LIMIT_GROWTH_PER_RESPONSE
        if cold:
            self.start_cold()

    @property
    def load(self) -> float:
        """Share of the limit that is in use once one more request is sent."""
        return (self.in_flight + 1) / self.limit

    @property
    def has_capacity(self) -> bool:
        """Whether the server can take one more request."""
        allowed = 1 if self.probation_remaining else int(self.limit)
        return self.in_flight < allowed and not self.ejected_until

    def start_cold(self) -> None:
        """Reset the limit to one request and let it grow slowly."""
        self.limit = min(SLOW_START_LIMIT, float(self.backend.slots))
        self.limit_growth = SLOW_START_GROWTH_PER_RESPONSE

    def update_backend(self, backend: Backend) -> None:
        """Apply a changed record; a limit at its maximum follows the number of slots."""
        at_maximum = self.limit >= self.backend.slots
        self.backend = backend
        self.limit = float(backend.slots) if at_maximum else min(self.limit, float(backend.slots))

    def record(self, outcome: AttemptOutcome) -> None:
        """Update limit and health from the outcome of an attempt."""
        if outcome.abandoned:
            return
        if outcome.shed:
            self.limit = max(1.0, self.limit * SHED_LIMIT_FACTOR)
        elif outcome.failed:
            self.consecutive_failures += 1
        else:
            self._record_success()

    @property
    def should_eject(self) -> bool:
        """Whether there were enough consecutive failures for an ejection."""
        return self.consecutive_failures >= (1 if self.probation_remaining else FAILURES_TO_EJECT)

    def eject(self, now: float, jitter: float) -> None:
        """Take the server out of use for a period that doubles with each ejection in a row.

        :param jitter: random number from 0 to 1; it keeps hosts from readmitting the server all
            at the same time.
        """
        period_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2.0**self.consecutive_ejections)
        self.ejected_until = now + period_s * (0.75 + 0.5 * jitter)
        self.consecutive_ejections += 1
        self.consecutive_failures = 0

    def readmit(self) -> None:
        """Start probation: one request at a time until ``PROBATION_SUCCESSES`` succeeded."""
        self.ejected_until = 0.0
        self.probation_remaining = PROBATION_SUCCESSES
        self.start_cold()

    def _record_success(self) -> None:
        self.consecutive_failures = 0
        if self.probation_remaining:
            self.probation_remaining -= 1
            return
        slots = float(self.backend.slots)
        self.limit = min(slots, self.limit + self.limit_growth)
        if self.limit >= slots:
            self.limit_growth = LIMIT_GROWTH_PER_RESPONSE
            self.consecutive_ejections = 0
