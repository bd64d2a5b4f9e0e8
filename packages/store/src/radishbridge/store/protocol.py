"""The interface to the platform's object API."""

from __future__ import annotations

import typing as t

import msgspec

from radishbridge.records import Failure


class StoredObject(msgspec.Struct, kw_only=True):
    """An object at one version.

    :param version: revision of the store at which the object last changed. Revisions are counted
        for the whole store, not for each object.
    :param value: value as JSON.
    """

    kind: str
    name: str
    version: int
    value: msgspec.Raw


class Listing(msgspec.Struct, kw_only=True):
    """All objects of the requested kinds at one revision of the store."""

    revision: int
    objects: list[StoredObject]


class WatchEvent(msgspec.Struct, kw_only=True):
    """A change of an object; without ``object``, a heartbeat with the store's revision."""

    revision: int
    object: StoredObject | None = None


class HostEntry(msgspec.Struct, kw_only=True):
    """A host in the platform's list, which lags behind; addresses are ``IP:port``.

    :param leaving: the platform or the host has announced that the host will shut down.
    """

    name: str
    region: str
    data_center: str
    address: str
    admin_address: str
    peer_address: str
    leaving: bool = False


class HostList(msgspec.Struct, kw_only=True):
    """The platform's list of hosts."""

    hosts: list[HostEntry]


class ObjectStore(t.Protocol):
    """The platform's object API.

    Each method returns a ``Failure`` in place of a value if the call did not succeed:
    ``STORE_UNAVAILABLE`` if it certainly changed nothing, ``WRITE_UNCLEAR`` if a write may have
    taken effect.
    """

    async def get(self, kind: str, name: str) -> StoredObject | Failure:
        """Read an object; ``NOT_FOUND`` if it does not exist."""

    async def list(self, kinds: t.Sequence[str]) -> Listing | Failure:
        """Read all objects of the kinds at one revision; without kinds, only the revision."""

    async def put(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> StoredObject | Failure:
        """Write the object if its version is ``expected_version``; 0 if it must not exist yet.

        :return: the written object, or ``VERSION_CONFLICT``.
        """

    def watch(
        self, kinds: t.Sequence[str], after_revision: int
    ) -> t.AsyncIterator[WatchEvent | Failure]:
        """Yield the changes after a revision; the iterator ends after it yields a ``Failure``."""

    async def hosts(self) -> HostList | Failure:
        """Read the platform's list of hosts."""
