"""Digests of what a replica holds, by which two hosts find where their copies differ."""

from __future__ import annotations

import functools
import hashlib
import operator

BUCKETS = 128
_HASH_BYTES = 8


class CopyDigest:
    """Hashes of (kind, name, version) combined by exclusive or, in buckets by kind and name.

    Adding and removing an entry cost the same whatever the size of the copy.
    """

    __slots__ = ("buckets", "names")

    def __init__(self) -> None:
        self.buckets = [0] * BUCKETS
        self.names: list[set[tuple[str, str]]] = [set() for _ in range(BUCKETS)]

    def replace(self, at: tuple[str, str], old_version: int, version: int) -> None:
        """Replace an entry's version; an old version of 0 says that the entry is new."""
        bucket = bucket_of(at)
        if old_version:
            self.buckets[bucket] ^= _hash(at, old_version)
        self.buckets[bucket] ^= _hash(at, version)
        self.names[bucket].add(at)

    def root(self) -> int:
        """Return one hash over all entries."""
        return functools.reduce(operator.xor, self.buckets, 0)

    def differing(self, buckets: list[int]) -> list[int]:
        """Return the numbers of the buckets that differ from another copy's."""
        pairs = zip(self.buckets, buckets, strict=True)
        return [number for number, (own, other) in enumerate(pairs) if own != other]


def bucket_of(at: tuple[str, str]) -> int:
    """Return the number of the bucket of a kind and name."""
    return _hash(at, 0) % BUCKETS


def _hash(at: tuple[str, str], version: int) -> int:
    text = f"{at[0]}\0{at[1]}\0{version}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=_HASH_BYTES).digest(), "big")
