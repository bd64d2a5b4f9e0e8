"""Detects and rejects requests that crash the backend servers that run them."""

from __future__ import annotations

import hashlib
import typing as t

from radishbridge.records import Failure, ResultCode

CRASHES_MAX = 2
CRASH_TTL_S = 600.0
# Time in seconds for which a request is not suspected again after a server has run it to its end.
# Reports of the crashes before that are still on their way between hosts.
CLEARED_S = 10.0
# Reports of crashes of one process that are closer together, in seconds, are about one crash, which
# several hosts detect and report with some delay. A server takes longer to start again.
RESTART_MIN_S = 2.0
FINGERPRINTS_MAX = 10_000
_DIGEST_BYTES = 16

_POISON_REQUEST = Failure(ResultCode.POISON_REQUEST, "this request crashed backend servers before")


class Crash(t.NamedTuple):
    """A crash of a backend server.

    :param incarnation: start of the server's process; 0 if unknown. It may be that of an earlier
        process if the server's entry is not up to date.
    :param crashed_at: monotonic time of this host, in seconds.
    """

    backend: str
    incarnation: int
    crashed_at: float

    def is_same(self, other: Crash) -> bool:
        """Return whether both are reports of one crash."""
        return (
            self.backend == other.backend
            and self.incarnation == other.incarnation
            and abs(self.crashed_at - other.crashed_at) < RESTART_MIN_S
        )


class PoisonList:
    """Fingerprints of requests that were in flight when backend servers crashed.

    A request in flight at one crash is a suspect but may run again. A request that was in flight
    at ``crashes_max`` crashes is rejected, whether different servers crashed or one that started
    again. A crash counts for
    ``crash_ttl_s`` seconds, or until a server runs the request to its end: a request that crashes
    servers crashes each of them.

    :param cleared: time by fingerprint at which a suspect was last run to its end.
    """

    __slots__ = ("cleared", "crash_ttl_s", "crashes", "crashes_max")

    def __init__(self, crash_ttl_s: float = CRASH_TTL_S, crashes_max: int = CRASHES_MAX) -> None:
        self.crash_ttl_s = crash_ttl_s
        self.crashes_max = crashes_max
        self.crashes: dict[bytes, list[Crash]] = {}
        self.cleared: dict[bytes, float] = {}

    def check(self, fingerprint: bytes, now: float) -> Failure | None:
        """Return ``POISON_REQUEST`` if the request must be rejected."""
        crashes = self.crashes.get(fingerprint)
        if crashes is None or len(self._recent_crashes(fingerprint, now)) < self.crashes_max:
            return None
        return _POISON_REQUEST

    def is_suspect(self, fingerprint: bytes, now: float) -> bool:
        """Return whether the request was in flight at a recent crash."""
        return bool(self.crashes and self._recent_crashes(fingerprint, now))

    def record_crash(self, fingerprint: bytes, crash: Crash, now: float) -> bool:
        """Record that a request was in flight when a backend server crashed.

        :return: whether the crash was new; only new ones need to be reported to other hosts.
        """
        if now - self.cleared.get(fingerprint, float("-inf")) < CLEARED_S:
            return False
        recent = self._recent_crashes(fingerprint, now)
        if any(crash.is_same(known) for known in recent):
            return False
        if fingerprint not in self.crashes and len(self.crashes) >= FINGERPRINTS_MAX:
            self.crashes.pop(next(iter(self.crashes)))
        self.crashes[fingerprint] = [*recent, crash]
        return True

    def clear(self, fingerprint: bytes, now: float) -> bool:
        """Forget the crashes of a request that a server has run to its end.

        :return: whether it was a suspect; only then do other hosts need to be told.
        """
        if not self.crashes or self.crashes.pop(fingerprint, None) is None:
            return False
        self.cleared = {one: at for one, at in self.cleared.items() if now - at < CLEARED_S}
        self.cleared[fingerprint] = now
        return True

    def crash_count(self, fingerprint: bytes) -> int:
        """Return the number of crashes at which the request was in flight."""
        return len(self.crashes.get(fingerprint, ()))

    def _recent_crashes(self, fingerprint: bytes, now: float) -> list[Crash]:
        crashes = self.crashes.get(fingerprint, [])
        recent = [crash for crash in crashes if now - crash.crashed_at < self.crash_ttl_s]
        if crashes and not recent:
            del self.crashes[fingerprint]
        return recent


def request_fingerprint(workspace: str, method: str, target: str, body: bytes) -> bytes:
    """Return the digest that identifies repeats of the same request.

    :param target: path and query of the request.
    :param body: the body, or its first part if the body is streamed.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (workspace.encode(), method.encode(), target.encode("utf-8", "surrogateescape")):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.digest()
