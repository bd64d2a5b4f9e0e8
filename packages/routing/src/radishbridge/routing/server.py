"""What this host knows of one backend server from its own requests."""

from __future__ import annotations

from radishbridge.records import Backend
from radishbridge.routing.protocol import AttemptOutcome

FAILURES_TO_EJECT = 5
PROBATION_ANSWERS = 3
EJECTION_S = 5.0
EJECTION_MAX_S = 60.0
COLD_LIMIT = 1.0
SHED_FACTOR = 0.5
GROWTH_PER_ANSWER = 0.25
COLD_GROWTH_PER_ANSWER = 0.05


class ServerState:
    """Requests in flight at a backend server, the limit on them, and its health.

    The limit starts at one request for a cold server. It grows with each answer up to the
    server's slots, and is halved when the server sheds a request.

    :param cold: the server joined after the host had started, or returns from an ejection.
    """

    __slots__ = (
        "backend",
        "ejected_until",
        "ejections",
        "failures",
        "growth",
        "in_flight",
        "limit",
        "position",
        "probation",
    )

    def __init__(self, backend: Backend, cold: bool) -> None:
        self.backend = backend
        self.in_flight = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.probation = 0
        self.position = -1
        self.limit = float(backend.slots)
        self.growth = GROWTH_PER_ANSWER
        if cold:
            self.start_cold()

    @property
    def load(self) -> float:
        """Share of the limit in use once one more request is sent."""
        return (self.in_flight + 1) / self.limit

    @property
    def has_room(self) -> bool:
        """Whether one more request fits."""
        allowed = 1 if self.probation else int(self.limit)
        return self.in_flight < allowed and not self.ejected_until

    def start_cold(self) -> None:
        """Restart the limit from one request."""
        self.limit = min(COLD_LIMIT, float(self.backend.slots))
        self.growth = COLD_GROWTH_PER_ANSWER

    def replace(self, backend: Backend) -> None:
        """Take over changed fields of the record."""
        grown = self.limit >= self.backend.slots
        self.backend = backend
        self.limit = float(backend.slots) if grown else min(self.limit, float(backend.slots))

    def note(self, outcome: AttemptOutcome) -> None:
        """Take in how an attempt ended."""
        if outcome.abandoned:
            return
        if outcome.shed:
            self.limit = max(1.0, self.limit * SHED_FACTOR)
        elif outcome.failed:
            self.failures += 1
        else:
            self._note_answer()

    @property
    def should_eject(self) -> bool:
        """Whether the errors in a row are enough for an ejection."""
        return self.failures >= (1 if self.probation else FAILURES_TO_EJECT)

    def eject(self, now: float, jitter: float) -> None:
        """Send no requests for a time that doubles with each ejection.

        :param jitter: random number from 0 to 1, so that hosts do not return all at once.
        """
        pause = min(EJECTION_MAX_S, EJECTION_S * 2.0**self.ejections)
        self.ejected_until = now + pause * (0.75 + 0.5 * jitter)
        self.ejections += 1
        self.failures = 0

    def readmit(self) -> None:
        """Return by probation: one request at a time until some were answered."""
        self.ejected_until = 0.0
        self.probation = PROBATION_ANSWERS
        self.start_cold()

    def _note_answer(self) -> None:
        self.failures = 0
        if self.probation:
            self.probation -= 1
            return
        slots = float(self.backend.slots)
        self.limit = min(slots, self.limit + self.growth)
        if self.limit >= slots:
            self.growth = GROWTH_PER_ANSWER
            self.ejections = 0
