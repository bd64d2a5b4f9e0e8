"""Finds the workspace of the key that a request carries."""

from __future__ import annotations

import hmac
import typing as t

from radishbridge.records import Failure, Key, Record, ResultCode, key_digest

API_KEY_HEADER = "X-Api-Key"
_BEARER = "bearer "


class KeyRing:
    """Keys by digest; only digests are ever held."""

    __slots__ = ("by_digest", "digests")

    def __init__(self) -> None:
        self.by_digest: dict[str, Key] = {}
        self.digests: dict[str, str] = {}

    def update(self, record: Record) -> None:
        """Take over a changed record of kind ``key``."""
        if record.kind != "key":
            return
        self.by_digest.pop(self.digests.pop(record.name, ""), None)
        if isinstance(record.body, Key):
            self.by_digest[record.body.digest] = record.body
            self.digests[record.name] = record.body.digest

    def authenticate(self, headers: t.Mapping[str, str]) -> str | Failure:
        """Return the workspace of the request's key, or why there is none."""
        secret = _secret(headers)
        if not secret:
            return Failure(ResultCode.KEY_MISSING, "send Authorization: Bearer or X-Api-Key")
        digest = key_digest(secret)
        key = self.by_digest.get(digest)
        if key is None or not hmac.compare_digest(key.digest, digest):
            return Failure(ResultCode.KEY_UNKNOWN, "the key is not known")
        if key.withdrawn:
            return Failure(ResultCode.KEY_WITHDRAWN, "the key was withdrawn")
        return key.workspace


def _secret(headers: t.Mapping[str, str]) -> str:
    authorization = headers.get("Authorization", "")
    if authorization[: len(_BEARER)].lower() == _BEARER:
        return authorization[len(_BEARER) :].strip()
    return headers.get(API_KEY_HEADER, "").strip()
