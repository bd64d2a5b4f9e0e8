"""Digests of a replica's contents, which two hosts compare to find where their copies differ."""

from __future__ import annotations

import functools
import hashlib
import operator

BUCKET_COUNT = 128
_HASH_BYTES = 8


class CopyDigest:
    """A hash for each bucket of objects: the XOR of the hashes of (kind, name, version).

    An object's bucket depends on its kind and name. An update takes constant time, whatever the
    size of the copy.

    :param buckets: hash of each bucket.
    :param keys: kind and name of each object, by bucket.
    """

    __slots__ = ("buckets", "keys")

    def __init__(self) -> None:
        self.buckets = [0] * BUCKET_COUNT
        self.keys: list[set[tuple[str, str]]] = [set() for _ in range(BUCKET_COUNT)]

    def update(self, key: tuple[str, str], old_version: int, version: int) -> None:
        """Replace an object's version in its bucket's hash.

        :param key: kind and name.
        :param old_version: version that the digest holds, 0 for a new object.
        """
        bucket = bucket_number(key)
        if old_version:
            self.buckets[bucket] ^= _hash(key, old_version)
        self.buckets[bucket] ^= _hash(key, version)
        self.keys[bucket].add(key)

    def root(self) -> int:
        """Return one hash over all objects."""
        return functools.reduce(operator.xor, self.buckets, 0)

    def differing(self, buckets: list[int]) -> list[int]:
        """Return the numbers of the buckets whose hash differs from that of another copy.

        :param buckets: hash of each bucket of the other copy.
        """
        pairs = zip(self.buckets, buckets, strict=True)
        return [number for number, (own, other) in enumerate(pairs) if own != other]


def bucket_number(key: tuple[str, str]) -> int:
    """Return the number of the bucket for a kind and name."""
    return _hash(key, 0) % BUCKET_COUNT


def _hash(key: tuple[str, str], version: int) -> int:
    text = f"{key[0]}\0{key[1]}\0{version}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=_HASH_BYTES).digest(), "big")
