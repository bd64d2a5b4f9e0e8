"""Each host's copy of the store's objects, which only moves forward.

Of each kind a copy knows the revision of the store up to which it is whole. So it can tell a change
that it missed from one that never was, whoever it hears of it from.
"""

from __future__ import annotations

import typing as t
import zlib

from radishbridge.entry.messages import CopyState
from radishbridge.entry.protocol import Kind, Listing, StoredObject

At = tuple[Kind, str]


class ObjectCopy:
    """The objects of all kinds, each at the highest version seen.

    :param revisions: revision up to which the copy holds all changes of a kind.
    :param listeners: called with each object that is new to the copy, and where it came from.
    """

    __slots__ = ("digests", "listeners", "loaded_kinds", "objects", "revisions")

    def __init__(self) -> None:
        self.objects: dict[At, StoredObject] = {}
        self.revisions: dict[Kind, int] = dict.fromkeys(Kind, 0)
        self.digests: dict[Kind, int] = dict.fromkeys(Kind, 0)
        self.loaded_kinds: set[Kind] = set()
        self.listeners: list[t.Callable[[StoredObject, str], None]] = []

    @property
    def is_complete(self) -> bool:
        """Whether a full listing of each kind was taken over."""
        return len(self.loaded_kinds) == len(Kind)

    def apply(self, stored: StoredObject, source: str) -> bool:
        """Take an object over if its version is higher than any seen.

        :param source: ``store``, or the host that passed it on.
        :return: whether it was.
        """
        at = (stored.kind, stored.name)
        held = self.objects.get(at)
        if held is None and self._was_deleted(stored):
            return False
        if held is not None and held.version >= stored.version:
            return False
        self.objects[at] = stored
        self.digests[stored.kind] ^= _mark(held) ^ _mark(stored)
        for listener in self.listeners:
            listener(stored, source)
        return True

    def find_deleted(self, kind: Kind, listing: Listing) -> list[StoredObject]:
        """Return the deletions that a listing shows: objects held that it lacks."""
        listed = {stored.name for stored in listing.objects}
        return [
            StoredObject(kind=kind, name=name, version=listing.revision, value=None)
            for (its_kind, name), held in self.objects.items()
            if its_kind is kind
            and name not in listed
            and held.value is not None
            and held.version <= listing.revision
        ]

    def advance(self, kind: Kind, revision: int) -> None:
        """Note that the copy holds all changes of a kind up to a revision."""
        self.revisions[kind] = max(self.revisions[kind], revision)
        self.loaded_kinds.add(kind)

    def extend(self, kind: Kind, after: int, revision: int) -> None:
        """Note that the copy was given all changes of a kind after one revision up to another."""
        if kind in self.loaded_kinds and after <= self.revisions[kind]:
            self.advance(kind, revision)

    def _was_deleted(self, stored: StoredObject) -> bool:
        return stored.kind in self.loaded_kinds and stored.version <= self.revisions[stored.kind]

    def state(self) -> CopyState:
        """Return what other hosts are told of this copy."""
        return CopyState(dict(self.revisions), dict(self.digests))

    def listing(self, kind: Kind) -> Listing:
        """Return all live objects of a kind, for another host."""
        objects = [
            stored
            for (its_kind, _), stored in self.objects.items()
            if its_kind is kind and stored.value is not None
        ]
        return Listing(revision=self.revisions[kind], objects=objects)


def _mark(stored: StoredObject | None) -> int:
    if stored is None or stored.value is None:
        return 0
    return zlib.crc32(f"{stored.kind.value}/{stored.name}/{stored.version}".encode())
