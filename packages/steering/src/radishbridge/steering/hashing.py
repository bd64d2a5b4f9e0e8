"""Hashes that are the same on every host."""

from __future__ import annotations

import hashlib

_DIGEST_BYTES = 8
_DIGEST_END = 2.0 ** (8 * _DIGEST_BYTES)
_MASK = 2**64 - 1
# Odd multipliers of the finalizer of SplitMix64, whose output bits depend on all input bits.
_MIX_FIRST = 0xBF58476D1CE4E5B9
_MIX_SECOND = 0x94D049BB133111EB


def unit_hash(*parts: str) -> float:
    """Return a hash of strings as a number from 0 to below 1, the same on every host."""
    # Not by way of hash64: rankings by name call this for each server.
    digest = hashlib.blake2b("\0".join(parts).encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big") / _DIGEST_END


def hash64(*parts: str) -> int:
    """Return a hash of strings as an integer of 64 bits, the same on every host."""
    digest = hashlib.blake2b("\0".join(parts).encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def mix(value: int) -> float:
    """Return a number from 0 to below 1 for an integer of 64 bits."""
    value = ((value ^ (value >> 30)) * _MIX_FIRST) & _MASK
    value = ((value ^ (value >> 27)) * _MIX_SECOND) & _MASK
    return (value ^ (value >> 31)) / _DIGEST_END
