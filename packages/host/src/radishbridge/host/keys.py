"""Authenticates requests by their API keys."""

from __future__ import annotations

import hmac

from multidict import MultiMapping

from radishbridge.records import Failure, Key, Record, ResultCode, key_digest

API_KEY_HEADER = "X-Api-Key"
_BEARER = "bearer "
_MISSING = Failure(
    ResultCode.KEY_MISSING, "the request has no key; send Authorization: Bearer or X-Api-Key"
)
_UNKNOWN = Failure(ResultCode.KEY_UNKNOWN, "the key is not known")
_WITHDRAWN = Failure(ResultCode.KEY_WITHDRAWN, "the key was withdrawn")
_AMBIGUOUS = Failure(ResultCode.REQUEST_MALFORMED, "the request contains different keys")


class KeyRing:
    """API keys by digest; secrets are not stored.

    :param by_digest: keys by digest and record name.
    :param digest_by_record: digest by record name.
    """

    __slots__ = ("by_digest", "digest_by_record")

    def __init__(self) -> None:
        self.by_digest: dict[str, dict[str, Key]] = {}
        self.digest_by_record: dict[str, str] = {}

    def update(self, record: Record) -> None:
        """Apply a changed record if it is of kind ``key``."""
        if record.kind != "key":
            return
        self._remove(record.name)
        if isinstance(record.body, Key):
            self.by_digest.setdefault(record.body.digest, {})[record.name] = record.body
            self.digest_by_record[record.name] = record.body.digest

    def authenticate(self, headers: MultiMapping[str]) -> str | Failure:
        """Return the workspace of the request's key, or why the request is refused."""
        secrets = _read_secrets(headers)
        if not secrets:
            return _MISSING
        if len(secrets) > 1:
            return _AMBIGUOUS
        return self._find_workspace(key_digest(secrets.pop()))

    def _find_workspace(self, digest: str) -> str | Failure:
        # Several records may have the same digest; withdrawing any one of them withdraws the key.
        keys = self.by_digest.get(digest)
        if not keys:
            return _UNKNOWN
        if any(key.withdrawn for key in keys.values()):
            return _WITHDRAWN
        workspaces = {
            key.workspace for key in keys.values() if hmac.compare_digest(key.digest, digest)
        }
        return workspaces.pop() if len(workspaces) == 1 else _UNKNOWN

    def _remove(self, name: str) -> None:
        digest = self.digest_by_record.pop(name, "")
        keys = self.by_digest.get(digest, {})
        keys.pop(name, None)
        if not keys:
            self.by_digest.pop(digest, None)


def _read_secrets(headers: MultiMapping[str]) -> set[str]:
    values = {value.strip() for value in headers.getall(API_KEY_HEADER, ())}
    for value in headers.getall("Authorization", ()):
        if value[: len(_BEARER)].lower() == _BEARER:
            values.add(value[len(_BEARER) :].strip())
    values.discard("")
    return values
