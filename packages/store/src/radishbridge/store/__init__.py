"""Client of the platform's object API, and the replica of the configuration on each host."""

from __future__ import annotations

from radishbridge.store.backoff import Backoff
from radishbridge.store.clock import steady_clock
from radishbridge.store.exchange import DigestExchange
from radishbridge.store.feed import ReplicaFeed, StoreContact
from radishbridge.store.freshness import Evidence, Freshness, Proof, StoreReport
from radishbridge.store.http import HttpStore, read_bounded, send_once
from radishbridge.store.leases import Lease, LeaseSettings, LeaseValue
from radishbridge.store.protocol import (
    HostEntry,
    HostList,
    Listing,
    ObjectStore,
    StoredObject,
    WatchEvent,
)
from radishbridge.store.relay import Relay, RelaySettings
from radishbridge.store.replica import Divergence, Regression, Replica
from radishbridge.store.resolve import ResolvedWriter, write_resolved

__all__ = [
    "Backoff",
    "DigestExchange",
    "Divergence",
    "Evidence",
    "Freshness",
    "HostEntry",
    "HostList",
    "HttpStore",
    "Lease",
    "LeaseSettings",
    "LeaseValue",
    "Listing",
    "ObjectStore",
    "Proof",
    "Regression",
    "Relay",
    "RelaySettings",
    "Replica",
    "ReplicaFeed",
    "ResolvedWriter",
    "StoreContact",
    "StoreReport",
    "StoredObject",
    "WatchEvent",
    "read_bounded",
    "send_once",
    "steady_clock",
    "write_resolved",
]
