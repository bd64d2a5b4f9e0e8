"""At-most-once execution of requests that carry an idempotency key."""

from __future__ import annotations

from radishbridge.claims.registry import (
    CLAIM_KIND,
    Claim,
    ClaimRegistry,
    ClaimState,
    ClaimValue,
    claim_name,
    decode_claim,
)

__all__ = [
    "CLAIM_KIND",
    "Claim",
    "ClaimRegistry",
    "ClaimState",
    "ClaimValue",
    "claim_name",
    "decode_claim",
]
