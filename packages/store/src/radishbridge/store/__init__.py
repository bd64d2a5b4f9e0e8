"""The platform's object API: protocol, HTTP adapter, replica of the configuration."""

from __future__ import annotations

from radishbridge.store.backoff import Backoff
from radishbridge.store.http import HttpStore
from radishbridge.store.protocol import (
    HostEntry,
    HostList,
    Listing,
    ObjectStore,
    StoredObject,
    WatchEvent,
)
from radishbridge.store.replica import Replica, ReplicaFeed
from radishbridge.store.resolve import ResolvedWriter, write_resolved

__all__ = [
    "Backoff",
    "HostEntry",
    "HostList",
    "HttpStore",
    "Listing",
    "ObjectStore",
    "Replica",
    "ReplicaFeed",
    "ResolvedWriter",
    "StoredObject",
    "WatchEvent",
    "write_resolved",
]
