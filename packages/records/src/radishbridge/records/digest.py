"""Digests of callers' keys."""

from __future__ import annotations

import hashlib


def key_digest(secret: str) -> str:
    """Return the hexadecimal SHA-256 digest by which a caller's key is stored and looked up.

    :param secret: the caller's secret; bytes that are not UTF-8 are given as surrogate escapes.
    """
    return hashlib.sha256(secret.encode("utf-8", "surrogateescape")).hexdigest()
