"""The entry host: requests, connections to backend servers, and the fleet of entry hosts."""

from __future__ import annotations

from radishbridge.entry.backends import BackendPool
from radishbridge.entry.coordinator import FleetCoordinator
from radishbridge.entry.copy import ObjectCopy
from radishbridge.entry.fleet import Fleet
from radishbridge.entry.follower import StoreFollower
from radishbridge.entry.front import Front
from radishbridge.entry.journal import RequestJournal
from radishbridge.entry.lookup import nearby_hosts
from radishbridge.entry.messages import FleetMessage
from radishbridge.entry.protocol import (
    AnswerFacts,
    Decoded,
    Decoder,
    Dialect,
    DrainOrder,
    FleetStore,
    HostEntry,
    Kind,
    Listing,
    MoveReport,
    RequestFacts,
    StoredObject,
)
from radishbridge.entry.rate_admission import RateAdmission
from radishbridge.entry.registration import Registration
from radishbridge.entry.steering_state import Bounds, SteeringState, connect

__all__ = [
    "AnswerFacts",
    "BackendPool",
    "Bounds",
    "Decoded",
    "Decoder",
    "Dialect",
    "DrainOrder",
    "Fleet",
    "FleetCoordinator",
    "FleetMessage",
    "FleetStore",
    "Front",
    "HostEntry",
    "Kind",
    "Listing",
    "MoveReport",
    "ObjectCopy",
    "RateAdmission",
    "Registration",
    "RequestFacts",
    "RequestJournal",
    "SteeringState",
    "StoreFollower",
    "StoredObject",
    "connect",
    "nearby_hosts",
]
