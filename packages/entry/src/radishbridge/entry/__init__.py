"""The entry host: requests, connections to backend servers, and the fleet of entry hosts."""

from __future__ import annotations

from radishbridge.entry.access_log import AccessLog
from radishbridge.entry.backends import BackendPool
from radishbridge.entry.coordinator import FleetCoordinator
from radishbridge.entry.copy import ObjectCopy
from radishbridge.entry.fleet import Fleet
from radishbridge.entry.follower import StoreFollower
from radishbridge.entry.forwarder import RequestForwarder
from radishbridge.entry.lookup import nearby_hosts
from radishbridge.entry.messages import FleetMessage
from radishbridge.entry.protocol import (
    DecodedObject,
    Decoder,
    DrainOrder,
    FleetStore,
    HeaderCodec,
    HostEntry,
    Kind,
    Listing,
    MoveReport,
    PlaceRecord,
    RequestMetadata,
    ResponseMetadata,
    ResponseNotice,
    ServerCheck,
    StoredObject,
)
from radishbridge.entry.rate_admission import RateAdmission
from radishbridge.entry.registration import Registration
from radishbridge.entry.steering_state import Bounds, SteeringState, subscribe_state

__all__ = [
    "AccessLog",
    "BackendPool",
    "Bounds",
    "DecodedObject",
    "Decoder",
    "DrainOrder",
    "Fleet",
    "FleetCoordinator",
    "FleetMessage",
    "FleetStore",
    "HeaderCodec",
    "HostEntry",
    "Kind",
    "Listing",
    "MoveReport",
    "ObjectCopy",
    "PlaceRecord",
    "RateAdmission",
    "Registration",
    "RequestForwarder",
    "RequestMetadata",
    "ResponseMetadata",
    "ResponseNotice",
    "ServerCheck",
    "SteeringState",
    "StoreFollower",
    "StoredObject",
    "nearby_hosts",
    "subscribe_state",
]
