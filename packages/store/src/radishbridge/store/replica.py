"""A host's copy of the configuration, which never goes back to an older version."""

from __future__ import annotations

import logging
import time
import typing as t

import msgspec

from radishbridge.records import Failure, Record, RecordBody, ResultCode, decode_record
from radishbridge.store.digest import CopyDigest
from radishbridge.store.protocol import Listing, StoredObject

MAX_PENDING_READS = 8

logger = logging.getLogger(__name__)

ObjectKey = tuple[str, str]


class Divergence(msgspec.Struct, kw_only=True, frozen=True):
    """An object that the store lacks, or shows at an older version or with another value.

    :param held_version: version in the replica.
    :param store_version: version in the store; 0 if the store has lost the object.
    """

    kind: str
    name: str
    held_version: int
    store_version: int


class Regression(msgspec.Struct, kw_only=True, frozen=True):
    """The store's revision went back, for example after a restore from a backup."""

    known_revision: int
    store_revision: int


class _PendingRead(msgspec.Struct, kw_only=True):
    revision: int
    sent_at: float


class Replica:
    """All objects of the configuration, each at the highest version seen.

    A version that can't be decoded counts as seen: the last valid record stays in force, and no
    version older than the rejected one replaces it.

    :param clock: monotonic clock in seconds.
    :param records: the record in force for each kind and name.
    :param rejected: why the highest version seen was rejected, for each such object.
    :param listeners: called with each record that comes into force.
    :param revision: revision of the store up to which the replica holds all changes.
    :param complete: whether the replica has received a full copy.
    :param fresh_at: monotonic time as of which the replica is proved fresh, in seconds.
    """

    __slots__ = (
        "clock",
        "complete",
        "digest",
        "divergences",
        "fresh_at",
        "listeners",
        "objects",
        "pending_reads",
        "records",
        "regression",
        "rejected",
        "revision",
    )

    def __init__(self, clock: t.Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.records: dict[ObjectKey, Record] = {}
        self.objects: dict[ObjectKey, StoredObject] = {}
        self.rejected: dict[ObjectKey, Failure] = {}
        self.divergences: dict[ObjectKey, Divergence] = {}
        self.regression: Regression | None = None
        self.listeners: list[t.Callable[[Record], None]] = []
        self.digest = CopyDigest()
        self.pending_reads: list[_PendingRead] = []
        self.revision = 0
        self.complete = False
        self.fresh_at = float("-inf")

    def apply(self, stored: StoredObject) -> bool:
        """Store an object if its version is higher than any seen.

        :return: whether the replica changed, also if the version was rejected.
        """
        key = (stored.kind, stored.name)
        held = self.objects.get(key)
        if held is not None and held.version >= stored.version:
            self._compare_value(held, stored)
            return False
        # The value is copied because it is a view that keeps the whole response in memory.
        value = msgspec.Raw(bytes(stored.value))
        kept = StoredObject(kind=stored.kind, name=stored.name, version=stored.version, value=value)
        self.objects[key] = kept
        self.digest.update(key, 0 if held is None else held.version, kept.version)
        self.divergences.pop(key, None)
        self._put_in_force(key, kept)
        return True

    def body(self, kind: str, name: str) -> RecordBody | None:
        """Return a record's body; ``None`` if it is missing or deleted."""
        record = self.records.get((kind, name))
        return None if record is None else record.body

    def version(self, kind: str, name: str) -> int:
        """Return the highest version seen of an object; 0 if there is none."""
        held = self.objects.get((kind, name))
        return 0 if held is None else held.version

    def advance(self, revision: int) -> None:
        """Record that the replica holds all changes up to a revision."""
        self.revision = max(self.revision, revision)
        proved_at = [read.sent_at for read in self.pending_reads if read.revision <= self.revision]
        self.pending_reads = [read for read in self.pending_reads if read.revision > self.revision]
        self.fresh_at = max([self.fresh_at, *proved_at])

    def record_store_read(self, revision: int, sent_at: float, known_revision: int) -> None:
        """Record a read of the store's revision.

        It proves the replica fresh once the replica holds all changes up to that revision. Events
        of a watch prove nothing, since they may have waited in a buffer.

        :param sent_at: monotonic time before the read was sent, in seconds.
        :param known_revision: the replica's revision at that time. A lower revision in the store
            is a regression and proves nothing.
        """
        if revision < known_revision:
            regression = Regression(known_revision=known_revision, store_revision=revision)
            if self.regression is None:
                logger.error("the store went back from %d to %d", known_revision, revision)
            self.regression = regression
            return
        self.regression = None
        self.pending_reads = [
            *self.pending_reads,
            _PendingRead(revision=revision, sent_at=sent_at),
        ][-MAX_PENDING_READS:]
        self.advance(0)

    def accept_peer_proof(self, revision: int, root: int, proved_at: float) -> bool:
        """Adopt another host's revision and proof of freshness if both copies are the same.

        :param revision: revision of the other host's copy.
        :param root: root hash of the other host's digest.
        :param proved_at: lower bound of the time of the proof, in seconds on this host's clock.
        :return: whether the copies are the same.
        """
        if root != self.digest.root():
            return False
        self.advance(revision)
        self.fresh_at = max(self.fresh_at, proved_at)
        return True

    def compare_listing(self, listing: Listing, known_versions: t.Mapping[ObjectKey, int]) -> None:
        """Record a divergence for each object that a listing lacks or shows at an older version.

        :param known_versions: versions in the replica when the listing was requested.
        """
        listed = {(stored.kind, stored.name): stored.version for stored in listing.objects}
        for key, held_version in known_versions.items():
            if listed.get(key, 0) < held_version:
                self._record_divergence(key, held_version, listed.get(key, 0))
            else:
                self.divergences.pop(key, None)

    def _compare_value(self, held: StoredObject, stored: StoredObject) -> None:
        if held.version == stored.version and bytes(held.value) != bytes(stored.value):
            self._record_divergence((held.kind, held.name), held.version, stored.version)

    def _record_divergence(self, key: ObjectKey, held_version: int, store_version: int) -> None:
        divergence = Divergence(
            kind=key[0], name=key[1], held_version=held_version, store_version=store_version
        )
        if self.divergences.get(key) != divergence:
            logger.error(
                "%s/%s: replica has version %d, store has %d", *key, held_version, store_version
            )
        self.divergences[key] = divergence

    def _put_in_force(self, key: ObjectKey, stored: StoredObject) -> None:
        record = decode_record(stored.kind, stored.name, stored.version, bytes(stored.value))
        if isinstance(record, Failure):
            self.rejected[key] = record
            logger.warning("record rejected: %s", record.reason)
            return
        self.rejected.pop(key, None)
        self.records[key] = record
        for listener in self.listeners:
            _notify(listener, record)

    def regression_failure(self) -> Failure | None:
        """Return a failure if the store's revision went back, otherwise ``None``."""
        if self.regression is None:
            return None
        reason = (
            f"the store went back from revision {self.regression.known_revision} "
            f"to {self.regression.store_revision}"
        )
        return Failure(ResultCode.STORE_UNAVAILABLE, reason)


def _notify(listener: t.Callable[[Record], None], record: Record) -> None:
    # An error in one listener must not keep the others from being called.
    try:
        listener(record)
    except Exception:
        logger.exception("replica listener failed for %s/%s", record.kind, record.name)
