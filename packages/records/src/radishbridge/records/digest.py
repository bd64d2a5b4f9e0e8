"""The digest under which a caller's key is stored and looked up."""

from __future__ import annotations

import hashlib


def key_digest(secret: str) -> str:
    """Return the hexadecimal SHA-256 digest under which a secret is stored.

    :param secret: the caller's secret; bytes that are no UTF-8 come as surrogate escapes.
    """
    return hashlib.sha256(secret.encode("utf-8", "surrogateescape")).hexdigest()
