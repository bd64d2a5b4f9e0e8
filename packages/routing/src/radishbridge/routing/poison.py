"""Requests that crash the backend servers that run them."""

from __future__ import annotations

import hashlib
import typing as t

from radishbridge.records import Failure, ResultCode

CRASHES_MAX = 2
SUSPICION_S = 600.0
FINGERPRINTS_MAX = 10_000
_DIGEST_BYTES = 16

_POISON = Failure(ResultCode.POISON_REQUEST, "this request crashed backend servers before")


class Crash(t.NamedTuple):
    """A backend server that went away, and when.

    :param noted_at: monotonic time of this host, in seconds.
    """

    backend: str
    noted_at: float


class PoisonList:
    """Fingerprints of requests that were in flight when backend servers crashed.

    A request in flight at one crash is a suspect and may run once more; one that was in flight at
    the crashes of ``crashes_max`` backend servers is refused until ``suspicion_s`` have passed.
    """

    __slots__ = ("crashes", "crashes_max", "suspicion_s")

    def __init__(self, suspicion_s: float = SUSPICION_S, crashes_max: int = CRASHES_MAX) -> None:
        self.suspicion_s = suspicion_s
        self.crashes_max = crashes_max
        self.crashes: dict[bytes, list[Crash]] = {}

    def check(self, fingerprint: bytes, now: float) -> Failure | None:
        """Return ``POISON_REQUEST`` for a request that may not run."""
        crashes = self.crashes.get(fingerprint)
        if crashes is None or len(self._recent(fingerprint, now)) < self.crashes_max:
            return None
        return _POISON

    def is_suspect(self, fingerprint: bytes, now: float) -> bool:
        """Return whether a request was in flight at a crash."""
        return bool(self.crashes and self._recent(fingerprint, now))

    def record_crash(self, fingerprint: bytes, backend: str, now: float) -> bool:
        """Note that a request was in flight when a backend server crashed.

        :return: whether that was new, and so is worth telling other hosts.
        """
        recent = self._recent(fingerprint, now)
        if any(crash.backend == backend for crash in recent):
            return False
        if fingerprint not in self.crashes and len(self.crashes) >= FINGERPRINTS_MAX:
            self.crashes.pop(next(iter(self.crashes)))
        self.crashes[fingerprint] = [*recent, Crash(backend, now)]
        return True

    def _recent(self, fingerprint: bytes, now: float) -> list[Crash]:
        crashes = self.crashes.get(fingerprint, [])
        recent = [crash for crash in crashes if now - crash.noted_at < self.suspicion_s]
        if crashes and not recent:
            del self.crashes[fingerprint]
        return recent


def request_fingerprint(workspace: str, method: str, target: str, body: bytes) -> bytes:
    """Return the digest by which a repeated request is recognised.

    :param target: path and query of the request.
    :param body: the body, or its first part where it is streamed.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (workspace.encode(), method.encode(), target.encode("utf-8", "surrogateescape")):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.digest()
