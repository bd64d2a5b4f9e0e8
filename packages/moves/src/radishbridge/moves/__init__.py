"""Version moves: traffic split, sequential fault detection and progress."""

from __future__ import annotations

from radishbridge.moves.fault_detection import StreamTest, VersionTest, wilson_upper_bound
from radishbridge.moves.observations import (
    Fault,
    LatencyBaseline,
    Observations,
    RequestOutcome,
    StreamKey,
    Tally,
    merge_observations,
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
    "LatencyBaseline",
    "MoveStatus",
    "Observations",
    "Phase",
    "Ramp",
    "RequestOutcome",
    "StreamKey",
    "StreamTest",
    "Tally",
    "VersionSplit",
    "VersionTest",
    "effective_share",
    "merge_observations",
    "start_move",
    "wilson_upper_bound",
]
