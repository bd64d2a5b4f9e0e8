"""Detects and rejects requests that crash the backend servers that run them."""

from __future__ import annotations

import hashlib
import itertools
import typing as t

from radishbridge.records import Failure, ResultCode

CRASHES_MAX = 2
# Time in seconds after its last crash at which a request is forgotten.
CRASH_TTL_S = 3_600.0
# Pause in seconds after which a rejected request is tried once; it doubles with each further crash.
TRIAL_PAUSE_S = 120.0
# Trials of a rejected request until it is forgotten.
TRIALS_MAX = 2
# Time in seconds in which the outcome of a trial is known.
TRIAL_TIMEOUT_S = 30.0
# A rejection is not passed on in its last seconds. Hosts forget it at slightly different times, and
# would otherwise learn it again from each other without end.
PASS_ON_MIN_S = 60.0
# Time in seconds for which a request is not suspected again after a server has run it to its end.
# Reports of the crashes before that are still on their way between hosts.
CLEARED_S = 10.0
# Reports of crashes of one process that are closer together, in seconds, are about one crash, which
# several hosts detect and report with some delay. A server takes longer to start again.
RESTART_MIN_S = 2.0
FINGERPRINTS_MAX = 10_000
REJECTIONS_PASSED_ON_MAX = 64
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


class Rejection(t.NamedTuple):
    """What a host that has not seen the crashes needs to know about a rejected request.

    :param crashes: number of crashes at which the request was in flight.
    :param age_s: time in seconds since the last of them.
    """

    fingerprint: bytes
    crashes: int
    age_s: float


class Suspicion:
    """The crashes at which one request was in flight.

    :param crashes: those that this host knows itself.
    :param count: number of all crashes.
    :param crashed_at: monotonic time of the last crash, in seconds.
    :param trial_until: time until which a trial may be under way.
    """

    __slots__ = ("count", "crashed_at", "crashes", "trial_until")

    def __init__(self) -> None:
        self.crashes: tuple[Crash, ...] = ()
        self.count = 0
        self.crashed_at = float("-inf")
        self.trial_until = float("-inf")

    def add(self, crash: Crash) -> bool:
        """Count a crash and return whether it was new."""
        if any(crash.is_same(known) for known in self.crashes):
            return False
        self.crashes += (crash,)
        self.count += 1
        self.crashed_at = max(self.crashed_at, crash.crashed_at)
        return True


class PoisonList:
    """Fingerprints of requests that were in flight when backend servers crashed.

    A request in flight at one crash is a suspect but may run again. A request that was in flight
    at ``crashes_max`` crashes is rejected, whether different servers crashed or one that started
    again. It is no longer suspected once a server has run it to its end: a request that crashes
    servers crashes each of them. A rejected request gets ``TRIALS_MAX`` trials after growing
    pauses, in case that it was in flight by chance, and is forgotten ``crash_ttl_s`` seconds after
    its last crash.

    :param suspects: requests that may run.
    :param rejected: requests that may not; kept apart, so that a flood of suspects evicts none.
    :param cleared: time by fingerprint at which a suspect was last run to its end.
    """

    __slots__ = ("cleared", "crash_ttl_s", "crashes_max", "rejected", "suspects")

    def __init__(self, crash_ttl_s: float = CRASH_TTL_S, crashes_max: int = CRASHES_MAX) -> None:
        self.crash_ttl_s = crash_ttl_s
        self.crashes_max = crashes_max
        self.suspects: dict[bytes, Suspicion] = {}
        self.rejected: dict[bytes, Suspicion] = {}
        self.cleared: dict[bytes, float] = {}

    def check(self, fingerprint: bytes, now: float) -> Failure | None:
        """Return ``POISON_REQUEST`` if the request must be rejected.

        If a trial is due, the request may run and the trial begins.
        """
        if not self.rejected or self._find(fingerprint, now) is None:
            return None
        suspicion = self.rejected.get(fingerprint)
        if suspicion is None:
            return None
        if now < max(self._next_trial_at(suspicion), suspicion.trial_until):
            return _POISON_REQUEST
        suspicion.trial_until = now + TRIAL_TIMEOUT_S
        return None

    def is_rejected(self, fingerprint: bytes, now: float) -> bool:
        """Return whether the request was in flight at too many crashes, also during its trials."""
        return self._find(fingerprint, now) is not None and fingerprint in self.rejected

    def is_suspect(self, fingerprint: bytes, now: float) -> bool:
        """Return whether the request was in flight at a crash."""
        return self._find(fingerprint, now) is not None

    def crashed_backends(self, fingerprint: bytes, now: float) -> list[str]:
        """Return the names of the servers that crashed while they had the request."""
        suspicion = self._find(fingerprint, now)
        return [] if suspicion is None else [crash.backend for crash in suspicion.crashes]

    def crash_count(self, fingerprint: bytes) -> int:
        """Return the number of crashes at which the request was in flight."""
        suspicion = self.rejected.get(fingerprint) or self.suspects.get(fingerprint)
        return 0 if suspicion is None else suspicion.count

    def record_crash(self, fingerprint: bytes, crash: Crash, now: float) -> bool:
        """Record that a request was in flight when a backend server crashed.

        :return: whether the crash was new; only new ones need to be reported to other hosts.
        """
        if self._is_cleared(fingerprint, now):
            return False
        suspicion = self._find(fingerprint, now) or Suspicion()
        if not suspicion.add(crash):
            return False
        self._keep(fingerprint, suspicion)
        return True

    def learn(self, rejection: Rejection, now: float) -> None:
        """Reject a request because of crashes that this host did not see."""
        fingerprint = rejection.fingerprint
        if rejection.age_s >= self.crash_ttl_s or self._is_cleared(fingerprint, now):
            return
        suspicion = self._find(fingerprint, now) or Suspicion()
        if rejection.crashes > suspicion.count:
            suspicion.count = rejection.crashes
            suspicion.crashed_at = max(suspicion.crashed_at, now - rejection.age_s)
            self._keep(fingerprint, suspicion)

    def rejections(self, now: float) -> list[Rejection]:
        """Return what other hosts need to know, the newest rejections if there are many."""
        known = (
            Rejection(fingerprint, suspicion.count, now - suspicion.crashed_at)
            for fingerprint, suspicion in reversed(self.rejected.items())
        )
        lasting = (one for one in known if one.age_s < self.crash_ttl_s - PASS_ON_MIN_S)
        return list(itertools.islice(lasting, REJECTIONS_PASSED_ON_MAX))

    def clear(self, fingerprint: bytes, now: float) -> bool:
        """Forget the crashes of a request that a server has run to its end.

        :return: whether it was a suspect; only then do other hosts need to be told.
        """
        if not self.suspects and not self.rejected:
            return False
        if not self._forget(fingerprint):
            return False
        self.cleared = {one: at for one, at in self.cleared.items() if now - at < CLEARED_S}
        self.cleared[fingerprint] = now
        return True

    def _next_trial_at(self, suspicion: Suspicion) -> float:
        trials = suspicion.count - self.crashes_max
        if trials >= TRIALS_MAX:
            return float("inf")
        return suspicion.crashed_at + TRIAL_PAUSE_S * 2.0**trials

    def _is_cleared(self, fingerprint: bytes, now: float) -> bool:
        return now - self.cleared.get(fingerprint, float("-inf")) < CLEARED_S

    def _find(self, fingerprint: bytes, now: float) -> Suspicion | None:
        suspicion = self.rejected.get(fingerprint) or self.suspects.get(fingerprint)
        if suspicion is not None and now - suspicion.crashed_at >= self.crash_ttl_s:
            self._forget(fingerprint)
            return None
        return suspicion

    def _forget(self, fingerprint: bytes) -> bool:
        found = [kept.pop(fingerprint, None) for kept in (self.suspects, self.rejected)]
        return any(found)

    def _keep(self, fingerprint: bytes, suspicion: Suspicion) -> None:
        self._forget(fingerprint)
        kept = self.rejected if suspicion.count >= self.crashes_max else self.suspects
        if len(kept) >= FINGERPRINTS_MAX:
            del kept[next(iter(kept))]
        kept[fingerprint] = suspicion


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
