"""Version moves: division of traffic, sequential test, progress."""

from __future__ import annotations

from radishbridge.moves.fault_detection import StreamTest, VersionTest, upper_bound
from radishbridge.moves.observations import (
    Fault,
    LatencyReference,
    Observations,
    Outcome,
    StreamKey,
    Tally,
    merged,
)
from radishbridge.moves.ramp import (
    FINAL_PHASES,
    MoveStatus,
    Phase,
    Ramp,
    effective_share,
    start_move,
)
from radishbridge.moves.split import VersionSplit

__all__ = [
    "FINAL_PHASES",
    "Fault",
    "LatencyReference",
    "MoveStatus",
    "Observations",
    "Outcome",
    "Phase",
    "Ramp",
    "StreamKey",
    "StreamTest",
    "Tally",
    "VersionSplit",
    "VersionTest",
    "effective_share",
    "merged",
    "start_move",
    "upper_bound",
]
