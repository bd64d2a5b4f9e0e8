"""The entry host: requests, connections to backend servers, and the fleet of entry hosts."""

from __future__ import annotations

from radishbridge.entry.access_log import AccessLog
from radishbridge.entry.backends import BackendPool
from radishbridge.entry.board import Board, Bounds, connect
from radishbridge.entry.copy import ObjectCopy
from radishbridge.entry.fleet import Fleet
from radishbridge.entry.follower import StoreFollower
from radishbridge.entry.forwarder import RequestForwarder
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
from radishbridge.entry.ratedesk import RateDesk
from radishbridge.entry.registration import Registration
from radishbridge.entry.steward import Steward

__all__ = [
    "AccessLog",
    "AnswerFacts",
    "BackendPool",
    "Board",
    "Bounds",
    "Decoded",
    "Decoder",
    "Dialect",
    "DrainOrder",
    "Fleet",
    "FleetMessage",
    "FleetStore",
    "HostEntry",
    "Kind",
    "Listing",
    "MoveReport",
    "ObjectCopy",
    "RateDesk",
    "Registration",
    "RequestFacts",
    "RequestForwarder",
    "Steward",
    "StoreFollower",
    "StoredObject",
    "connect",
    "nearby_hosts",
]
