"""Finds the workspace of the key that a request carries."""

from __future__ import annotations

import hmac

from multidict import MultiMapping

from radishbridge.records import Failure, Key, Record, ResultCode, key_digest

API_KEY_HEADER = "X-Api-Key"
_BEARER = "bearer "
_MISSING = Failure(ResultCode.KEY_MISSING, "send Authorization: Bearer or X-Api-Key")
_UNKNOWN = Failure(ResultCode.KEY_UNKNOWN, "the key is not known")
_WITHDRAWN = Failure(ResultCode.KEY_WITHDRAWN, "the key was withdrawn")
_AMBIGUOUS = Failure(ResultCode.REQUEST_MALFORMED, "the request carries different keys")


class KeyRing:
    """Keys by digest; only digests are ever held."""

    __slots__ = ("by_digest", "digests")

    def __init__(self) -> None:
        self.by_digest: dict[str, dict[str, Key]] = {}
        self.digests: dict[str, str] = {}

    def update(self, record: Record) -> None:
        """Take over a changed record of kind ``key``."""
        if record.kind != "key":
            return
        self._forget(record.name)
        if isinstance(record.body, Key):
            self.by_digest.setdefault(record.body.digest, {})[record.name] = record.body
            self.digests[record.name] = record.body.digest

    def authenticate(self, headers: MultiMapping[str]) -> str | Failure:
        """Return the workspace of the request's key, or why there is none."""
        secrets = _secrets(headers)
        if not secrets:
            return _MISSING
        if len(secrets) > 1:
            return _AMBIGUOUS
        return self._find(key_digest(secrets.pop()))

    def _find(self, digest: str) -> str | Failure:
        # Two records may hold the same digest; a withdrawal of either one withdraws the key.
        keys = self.by_digest.get(digest)
        if not keys:
            return _UNKNOWN
        if any(key.withdrawn for key in keys.values()):
            return _WITHDRAWN
        workspaces = {
            key.workspace for key in keys.values() if hmac.compare_digest(key.digest, digest)
        }
        return workspaces.pop() if len(workspaces) == 1 else _UNKNOWN

    def _forget(self, name: str) -> None:
        digest = self.digests.pop(name, "")
        named = self.by_digest.get(digest, {})
        named.pop(name, None)
        if not named:
            self.by_digest.pop(digest, None)


def _secrets(headers: MultiMapping[str]) -> set[str]:
    values = {value.strip() for value in headers.getall(API_KEY_HEADER, ())}
    for value in headers.getall("Authorization", ()):
        if value[: len(_BEARER)].lower() == _BEARER:
            values.add(value[len(_BEARER) :].strip())
    values.discard("")
    return values
