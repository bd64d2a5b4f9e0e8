"""Selection of entry hosts for callers, and of a region and a backend server for each request."""

from __future__ import annotations

from radishbridge.routing.block_feed import BlockFeed
from radishbridge.routing.blocks import (
    Block,
    BlockSet,
    BlockTable,
    pack_blocks,
    parse_address,
    unpack_blocks,
)
from radishbridge.routing.lookup import (
    HOSTS_PER_RESPONSE,
    LOOKUP_TTL_S,
    EntryHost,
    HostIndex,
    LookupResponse,
    RankedHost,
    rank_hosts,
)
from radishbridge.routing.poison import Crash, PoisonList, Rejection, request_fingerprint
from radishbridge.routing.protocol import AttemptOutcome, Permit, Router, ServiceRoute
from radishbridge.routing.retry import FailedAttempt, RetryBudget, RetryLimiter
from radishbridge.routing.router import LocalRouter

__all__ = [
    "HOSTS_PER_RESPONSE",
    "LOOKUP_TTL_S",
    "AttemptOutcome",
    "Block",
    "BlockFeed",
    "BlockSet",
    "BlockTable",
    "Crash",
    "EntryHost",
    "FailedAttempt",
    "HostIndex",
    "LocalRouter",
    "LookupResponse",
    "Permit",
    "PoisonList",
    "RankedHost",
    "Rejection",
    "RetryBudget",
    "RetryLimiter",
    "Router",
    "ServiceRoute",
    "pack_blocks",
    "parse_address",
    "rank_hosts",
    "request_fingerprint",
    "unpack_blocks",
]
