"""Steering decisions of an entry host, free of I/O: the time and state are passed as arguments."""

from __future__ import annotations

from radishbridge.steering.configuration import (
    CallerLimits,
    Configuration,
    RouteRule,
    ServiceRule,
    WeightedService,
    WorkspaceRule,
)
from radishbridge.steering.explain import Candidate, ChoiceExplanation, explain_choice
from radishbridge.steering.hashing import unit_hash
from radishbridge.steering.homes import HomeAdmission, HomeDemand, HomeMeter, HomeRegion
from radishbridge.steering.load import Choice, Refusal, ServiceLoad, retry_delay_s
from radishbridge.steering.moves import (
    Evidence,
    Move,
    MoveOrder,
    MovePhase,
    decide_phase,
    stable_versions,
)
from radishbridge.steering.notices import Notice, ServerNotices
from radishbridge.steering.object_moves import ObjectMoveCause, ObjectMoveMeter, ObjectMoveReport
from radishbridge.steering.places import PlaceBook
from radishbridge.steering.rates import (
    DemandMeter,
    FleetShare,
    RateLimiter,
    RateSlice,
    is_rate_divided,
)
from radishbridge.steering.retries import RetryBudget
from radishbridge.steering.selector import Selector, ServerCriteria
from radishbridge.steering.servers import LoadReport, Server, ServerState
from radishbridge.steering.slowstart import SlowStart

__all__ = [
    "CallerLimits",
    "Candidate",
    "Choice",
    "ChoiceExplanation",
    "Configuration",
    "DemandMeter",
    "Evidence",
    "FleetShare",
    "HomeAdmission",
    "HomeDemand",
    "HomeMeter",
    "HomeRegion",
    "LoadReport",
    "Move",
    "MoveOrder",
    "MovePhase",
    "Notice",
    "ObjectMoveCause",
    "ObjectMoveMeter",
    "ObjectMoveReport",
    "PlaceBook",
    "RateLimiter",
    "RateSlice",
    "Refusal",
    "RetryBudget",
    "RouteRule",
    "Selector",
    "Server",
    "ServerCriteria",
    "ServerNotices",
    "ServerState",
    "ServiceLoad",
    "ServiceRule",
    "SlowStart",
    "WeightedService",
    "WorkspaceRule",
    "decide_phase",
    "explain_choice",
    "is_rate_divided",
    "retry_delay_s",
    "stable_versions",
    "unit_hash",
]
