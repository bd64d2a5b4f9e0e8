"""Each host's copy of the configuration, which only moves forward."""

from __future__ import annotations

import logging
import time
import typing as t

import msgspec

from radishbridge.records import Failure, Record, RecordBody, ResultCode, decode_record
from radishbridge.store.digest import CopyDigest
from radishbridge.store.protocol import Listing, StoredObject

PENDING_PROOFS = 8

logger = logging.getLogger(__name__)

At = tuple[str, str]


class Divergence(msgspec.Struct, kw_only=True, frozen=True):
    """An object that the store shows in another state than it has shown before.

    :param store_version: version in the store; 0 where the store has lost the object.
    """

    kind: str
    name: str
    held_version: int
    store_version: int


class Regression(msgspec.Struct, kw_only=True, frozen=True):
    """The store's revision went back, as after a restore from a backup."""

    known_revision: int
    store_revision: int


class _Proof(msgspec.Struct, kw_only=True):
    revision: int
    sent_at: float


class Replica:
    """All objects of the configuration, each at the highest version seen.

    A version that can't be decoded counts as seen: the last good record stays in force, and no
    version older than the rejected one takes its place.

    :param clock: monotonic clock in seconds.
    """

    __slots__ = (
        "clock",
        "complete",
        "digest",
        "divergences",
        "fresh_at",
        "listeners",
        "objects",
        "proofs",
        "records",
        "regression",
        "rejected",
        "revision",
    )

    def __init__(self, clock: t.Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.records: dict[At, Record] = {}
        self.objects: dict[At, StoredObject] = {}
        self.rejected: dict[At, Failure] = {}
        self.divergences: dict[At, Divergence] = {}
        self.regression: Regression | None = None
        self.listeners: list[t.Callable[[Record], None]] = []
        self.digest = CopyDigest()
        self.proofs: list[_Proof] = []
        self.revision = 0
        self.complete = False
        self.fresh_at = float("-inf")

    def apply(self, stored: StoredObject) -> bool:
        """Take an object in if its version is higher than any seen.

        :return: whether the object was new to the replica, be it in force or rejected.
        """
        at = (stored.kind, stored.name)
        held = self.objects.get(at)
        if held is not None and held.version >= stored.version:
            self._compare_equal(held, stored)
            return False
        # The value is copied, since it is a view of the whole answer that it came in.
        value = msgspec.Raw(bytes(stored.value))
        kept = StoredObject(kind=stored.kind, name=stored.name, version=stored.version, value=value)
        self.objects[at] = kept
        self.digest.update(at, 0 if held is None else held.version, kept.version)
        self.divergences.pop(at, None)
        self._put_in_force(at, kept)
        return True

    def body(self, kind: str, name: str) -> RecordBody | None:
        """Return a record's body; ``None`` where it is missing or deleted."""
        record = self.records.get((kind, name))
        return None if record is None else record.body

    def version(self, kind: str, name: str) -> int:
        """Return the highest version seen of an object; 0 where none was."""
        held = self.objects.get((kind, name))
        return 0 if held is None else held.version

    def advance(self, revision: int) -> None:
        """Note that the replica holds all changes up to a revision."""
        self.revision = max(self.revision, revision)
        settled = [proof.sent_at for proof in self.proofs if proof.revision <= self.revision]
        self.proofs = [proof for proof in self.proofs if proof.revision > self.revision]
        self.fresh_at = max([self.fresh_at, *settled])

    def record_store_read(self, revision: int, sent_at: float, known_revision: int) -> None:
        """Take a read of the store's revision as proof, once all changes up to it are held.

        A watch proves nothing about time: what it delivers may have waited in a buffer.

        :param sent_at: monotonic time before the read was sent, in seconds.
        :param known_revision: the replica's revision at that time. A store that shows less has
            gone back; it proves nothing.
        """
        if revision < known_revision:
            regression = Regression(known_revision=known_revision, store_revision=revision)
            if self.regression is None:
                logger.error("the store went back from %d to %d", known_revision, revision)
            self.regression = regression
            return
        self.regression = None
        self.proofs = [*self.proofs, _Proof(revision=revision, sent_at=sent_at)][-PENDING_PROOFS:]
        self.advance(0)

    def note_peer_proof(self, revision: int, root: int, proved_at: float) -> bool:
        """Take over another host's proof if both hold the same copy.

        :param proved_at: monotonic time of this host that the proof is no older than.
        :return: whether the copies are the same.
        """
        if root != self.digest.root():
            return False
        self.advance(revision)
        self.fresh_at = max(self.fresh_at, proved_at)
        return True

    def compare(self, listing: Listing, known: t.Mapping[At, int]) -> None:
        """Report objects that a listing lacks or shows older than they were held before.

        :param known: versions held when the listing was asked for.
        """
        listed = {(one.kind, one.name): one.version for one in listing.objects}
        for at, held_version in known.items():
            if listed.get(at, 0) < held_version:
                self._diverge(at, held_version, listed.get(at, 0))
            else:
                self.divergences.pop(at, None)

    def _compare_equal(self, held: StoredObject, stored: StoredObject) -> None:
        if held.version == stored.version and bytes(held.value) != bytes(stored.value):
            self._diverge((held.kind, held.name), held.version, stored.version)

    def _diverge(self, at: At, held_version: int, store_version: int) -> None:
        divergence = Divergence(
            kind=at[0], name=at[1], held_version=held_version, store_version=store_version
        )
        if self.divergences.get(at) != divergence:
            logger.error("%s/%s: held %d, shown %d", *at, held_version, store_version)
        self.divergences[at] = divergence

    def _put_in_force(self, at: At, stored: StoredObject) -> None:
        record = decode_record(stored.kind, stored.name, stored.version, bytes(stored.value))
        if isinstance(record, Failure):
            self.rejected[at] = record
            logger.warning("record kept aside: %s", record.reason)
            return
        self.rejected.pop(at, None)
        self.records[at] = record
        for listener in self.listeners:
            _notify(listener, record)

    def regressed(self) -> Failure | None:
        """Return why the store can't be trusted to be at its newest state, if it can't."""
        if self.regression is None:
            return None
        reason = (
            f"the store went back from revision {self.regression.known_revision} "
            f"to {self.regression.store_revision}"
        )
        return Failure(ResultCode.STORE_UNAVAILABLE, reason)


def _notify(listener: t.Callable[[Record], None], record: Record) -> None:
    # One listener's fault must not keep the others from the change.
    try:
        listener(record)
    except Exception:
        logger.exception("a listener failed at %s/%s", record.kind, record.name)
