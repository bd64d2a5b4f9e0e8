"""Progress of a version move: the share of traffic of the new version, and how the move ends."""

from __future__ import annotations

import enum

import msgspec

from radishbridge.moves.fault_detection import VersionTest
from radishbridge.moves.observations import Fault, Observations
from radishbridge.records import Move

WARM_UP_S = 45.0
PROVING_HOLD_S = 90.0
STEP_HOLD_S = 3.0
STEP_REQUESTS_MIN = 100
OBSERVATION_AGE_MAX_S = 3.0
SLOW_STRIKES_MAX = 2
PROVING_REQUESTS_MIN = 50
# The last tested share leaves the old version enough requests to compare with.
RAMP_SHARE_MAX = 0.95


class Phase(enum.Enum):
    """Phase of a move; the last three are final."""

    PROVING = "proving"
    RAMPING = "ramping"
    DONE = "done"
    ROLLED_BACK = "taken back"
    DEADLINE_EXCEEDED = "late, taken back"


FINAL_PHASES = frozenset({Phase.DONE, Phase.ROLLED_BACK, Phase.DEADLINE_EXCEEDED})


class MoveStatus(msgspec.Struct, kw_only=True):
    """The recorded progress of a move, from which any host can continue it.

    Times are seconds since the Unix epoch.

    :param share: share of the service's requests that the new version gets, 0 to 1.
    :param held_since: when the status last changed.
    :param warm_until: slow responses of the new version are ignored before this time, because its
        caches are cold.
    :param slow_strikes: how often the new version was found to be slow.
    :param requests_seen: requests of the new version observed since the status last changed.
    :param reason: human-readable reason for the last change.
    """

    move: str
    phase: Phase
    share: float
    started_at: float
    deadline_at: float
    held_since: float
    warm_until: float
    slow_strikes: int = 0
    requests_seen: int = 0
    reason: str = ""


def start_move(name: str, move: Move, now: float) -> MoveStatus:
    """Return the initial status of a move."""
    return MoveStatus(
        move=name,
        phase=Phase.PROVING,
        share=move.exposure,
        started_at=now,
        deadline_at=now + move.deadline_s,
        held_since=now,
        warm_until=now + WARM_UP_S,
        reason="the new version gets its first requests",
    )


class Ramp:
    """Decides each change of a move's status from the observations of all hosts.

    The state of the tests is not recorded. A controller that takes over restarts them and holds the
    share for ``STEP_HOLD_S`` seconds.

    :param taken_over_at: when this controller took over the move.
    """

    __slots__ = ("last_observed_at", "move", "status", "taken_over_at", "test")

    def __init__(self, move: Move, status: MoveStatus, taken_over_at: float) -> None:
        self.move = move
        self.status = status
        self.taken_over_at = taken_over_at
        self.test = VersionTest()
        self.last_observed_at = float("-inf")

    def observe(self, observations: Observations, now: float) -> None:
        """Add what all hosts observed in one interval."""
        faults = list(Fault) if now >= self.status.warm_until else [Fault.ERROR]
        self.test.update(observations, faults)
        tallies = observations.tallies.items()
        by_route = [tally for key, tally in tallies if key.group.startswith("route")]
        request_count = sum(tally.new_total for tally in by_route)
        if request_count:
            self.last_observed_at = now
            self.status.requests_seen += request_count

    def step(self, now: float) -> MoveStatus:
        """Return the status that applies from now on."""
        if self.status.phase in FINAL_PHASES:
            return self.status
        if now >= self.status.deadline_at:
            return self._finish(
                Phase.DEADLINE_EXCEEDED, "the deadline passed before all traffic had moved", now
            )
        alarm = self.test.alarm()
        if alarm is None:
            return self._increase_share(now)
        if alarm.fault is Fault.SLOW and self.status.slow_strikes + 1 < SLOW_STRIKES_MAX:
            return self._back_off(alarm.group, now)
        return self._finish(Phase.ROLLED_BACK, f"{alarm.fault.value} on {alarm.group}", now)

    def _increase_share(self, now: float) -> MoveStatus:
        if self._must_hold(now):
            return self.status
        if self.status.share >= RAMP_SHARE_MAX:
            return self._finish(Phase.DONE, "all traffic has moved", now)
        share = min(RAMP_SHARE_MAX, self.status.share + self.move.step)
        return self._update_status(
            now, phase=Phase.RAMPING, share=share, reason="no fault found so far"
        )

    def _must_hold(self, now: float) -> bool:
        status = self.status
        proving = status.phase is Phase.PROVING
        hold_s = PROVING_HOLD_S if proving else STEP_HOLD_S
        requests_min = PROVING_REQUESTS_MIN if proving else STEP_REQUESTS_MIN
        return (
            now < status.held_since + hold_s
            or now < status.warm_until
            or now < self.taken_over_at + STEP_HOLD_S
            or now - self.last_observed_at > OBSERVATION_AGE_MAX_S
            or status.requests_seen < requests_min
            or self.test.is_suspicious()
        )

    def _back_off(self, group: str, now: float) -> MoveStatus:
        self.test.reset(Fault.SLOW)
        return self._update_status(
            now,
            share=min(self.status.share, self.move.exposure),
            warm_until=now + WARM_UP_S,
            slow_strikes=self.status.slow_strikes + 1,
            reason=f"slow on {group}: share taken down until caches are warm",
        )

    def _finish(self, phase: Phase, reason: str, now: float) -> MoveStatus:
        return self._update_status(
            now, phase=phase, share=float(phase is Phase.DONE), reason=reason
        )

    def _update_status(self, now: float, **changes: object) -> MoveStatus:
        self.status = msgspec.structs.replace(
            self.status, held_since=now, requests_seen=0, **changes
        )
        return self.status


def effective_share(status: MoveStatus, now: float, grace_s: float = 5.0) -> float:
    """Return the share that a host applies: 0 if the move is unfinished after its deadline.

    This ends the move in time even if no controller can record its end.

    :param grace_s: seconds after the deadline during which a status ``done`` may still arrive.
    """
    if status.phase not in FINAL_PHASES and now >= status.deadline_at + grace_s:
        return 0.0
    return status.share
