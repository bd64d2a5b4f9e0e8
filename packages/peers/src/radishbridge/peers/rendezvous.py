"""Rendezvous hashing: hosts that know the same names rank them alike without coordination."""

from __future__ import annotations

import hashlib
import typing as t

_DIGEST_BYTES = 8


def weight(key: str, name: str) -> int:
    """Return the hash-based weight of a name for a key."""
    text = f"{key}\0{name}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest(), "big")


def rank(key: str, names: t.Iterable[str]) -> list[str]:
    """Return the names by descending weight for a key."""
    return sorted(names, key=lambda name: (weight(key, name), name), reverse=True)
