"""Choice of entry host for each caller, and of region and backend server for each request."""

from __future__ import annotations

from radishbridge.routing.block_feed import BlockFeed
from radishbridge.routing.blocks import (
    Block,
    BlockPart,
    BlockTable,
    pack_part,
    parse_address,
    unpack_part,
)
from radishbridge.routing.lookup import (
    HOSTS_PER_ANSWER,
    LOOKUP_TTL_S,
    EntryHost,
    HostIndex,
    LookupAnswer,
    RankedHost,
    rank_hosts,
)
from radishbridge.routing.poison import Crash, PoisonList, request_fingerprint
from radishbridge.routing.protocol import AttemptOutcome, Permit, Router, ServiceRoute
from radishbridge.routing.retry import FailedAttempt, Retries, RetryBudget
from radishbridge.routing.router import LocalRouter

__all__ = [
    "HOSTS_PER_ANSWER",
    "LOOKUP_TTL_S",
    "AttemptOutcome",
    "Block",
    "BlockFeed",
    "BlockPart",
    "BlockTable",
    "Crash",
    "EntryHost",
    "FailedAttempt",
    "HostIndex",
    "LocalRouter",
    "LookupAnswer",
    "Permit",
    "PoisonList",
    "RankedHost",
    "Retries",
    "RetryBudget",
    "Router",
    "ServiceRoute",
    "pack_part",
    "parse_address",
    "rank_hosts",
    "request_fingerprint",
    "unpack_part",
]
