"""The platform's object API: protocol, HTTP adapter, replica of the configuration."""

from __future__ import annotations

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

__all__ = [
    "HostEntry",
    "HostList",
    "HttpStore",
    "Listing",
    "ObjectStore",
    "Replica",
    "ReplicaFeed",
    "StoredObject",
    "WatchEvent",
]
