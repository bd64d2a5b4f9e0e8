"""A host's copy of the store's objects, which never goes back to an older version.

The copy records for each kind the revision of the store up to which it holds all changes. From
that it can tell whether an object that it lacks was deleted or is new, whichever host sends it.
"""

from __future__ import annotations

import hashlib
import logging
import typing as t

from radishbridge.entry.messages import CopyState
from radishbridge.entry.protocol import Kind, Listing, StoredObject

ObjectKey = tuple[Kind, str]

_DIGEST_BYTES = 8

logger = logging.getLogger(__name__)


class ObjectCopy:
    """The objects of all kinds, each at the highest version received.

    :param objects: objects by kind and name; deleted ones are kept without a value.
    :param revisions: revision by kind up to which the copy holds all changes.
    :param digests: digest by kind of the live objects, to compare copies.
    :param loaded_kinds: kinds of which a full listing was applied.
    :param listeners: called with each change and its source.
    """

    __slots__ = ("digests", "listeners", "loaded_kinds", "objects", "revisions")

    def __init__(self) -> None:
        self.objects: dict[ObjectKey, StoredObject] = {}
        self.revisions: dict[Kind, int] = dict.fromkeys(Kind, 0)
        self.digests: dict[Kind, int] = dict.fromkeys(Kind, 0)
        self.loaded_kinds: set[Kind] = set()
        self.listeners: list[t.Callable[[StoredObject, str], None]] = []

    @property
    def is_complete(self) -> bool:
        """Return whether a full listing of each kind was applied."""
        return len(self.loaded_kinds) == len(Kind)

    def apply(self, stored: StoredObject, source: str) -> bool:
        """Store an object if its version is higher than any seen.

        :param source: ``store``, or the host that sent it.
        :return: whether the copy changed.
        """
        key = (stored.kind, stored.name)
        held = self.objects.get(key)
        if held is None and self._is_already_deleted(stored):
            return False
        if held is not None and held.version >= stored.version:
            return False
        self.objects[key] = stored
        self.digests[stored.kind] ^= _object_digest(held) ^ _object_digest(stored)
        for listener in self.listeners:
            _notify(listener, stored, source)
        return True

    def find_deleted(self, kind: Kind, listing: Listing) -> list[StoredObject]:
        """Return deletions of the objects that this copy holds and a full listing lacks."""
        listed = {stored.name for stored in listing.objects}
        return [
            StoredObject(kind=kind, name=name, version=listing.revision, value=None)
            for (held_kind, name), held in self.objects.items()
            if held_kind is kind
            and name not in listed
            and held.value is not None
            and held.version <= listing.revision
        ]

    def advance(self, kind: Kind, revision: int) -> None:
        """Record that the copy holds all changes of a kind up to a revision."""
        self.revisions[kind] = max(self.revisions[kind], revision)
        self.loaded_kinds.add(kind)

    def extend(self, kind: Kind, after: int, revision: int) -> None:
        """Record that all changes of a kind after one revision up to another were applied."""
        if kind in self.loaded_kinds and after <= self.revisions[kind]:
            self.advance(kind, revision)

    def _is_already_deleted(self, stored: StoredObject) -> bool:
        return stored.kind in self.loaded_kinds and stored.version <= self.revisions[stored.kind]

    def state(self) -> CopyState:
        """Return a summary of this copy for other hosts to compare with theirs."""
        return CopyState(dict(self.revisions), dict(self.digests))

    def listing(self, kind: Kind) -> Listing:
        """Return all objects of a kind that are not deleted."""
        objects = [
            stored
            for (held_kind, _), stored in self.objects.items()
            if held_kind is kind and stored.value is not None
        ]
        return Listing(revision=self.revisions[kind], objects=objects)


def _notify(
    listener: t.Callable[[StoredObject, str], None], stored: StoredObject, source: str
) -> None:
    # The objects behind this one have to take effect too.
    try:
        listener(stored, source)
    except Exception:
        logger.exception(
            "listener failed", extra={"kind": stored.kind.value, "object": stored.name}
        )


def _object_digest(stored: StoredObject | None) -> int:
    if stored is None or stored.value is None:
        return 0
    # A cryptographic digest: with a linear one such as a CRC, what an update changes depends only
    # on the bits in which the versions differ, so that the updates of two objects may cancel out.
    text = f"{stored.kind.value}/{stored.name}/{stored.version}"
    digest = hashlib.blake2b(text.encode("utf-8", "surrogatepass"), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "big")
