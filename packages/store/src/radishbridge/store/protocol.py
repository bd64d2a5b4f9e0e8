"""The interface of the platform's object API, as the rest of the system sees it."""

from __future__ import annotations

import typing as t

import msgspec

from radishbridge.records import Failure


class StoredObject(msgspec.Struct, kw_only=True):
    """One object at one version.

    :param version: revision of the store at which the object last changed; versions grow
        over the whole store, not for each object alone.
    :param value: JSON text of the value.
    """

    kind: str
    name: str
    version: int
    value: msgspec.Raw


class Listing(msgspec.Struct, kw_only=True):
    """All objects of some kinds at one revision of the store."""

    revision: int
    objects: list[StoredObject]


class WatchEvent(msgspec.Struct, kw_only=True):
    """A change, or with ``object`` empty a sign of life that carries the store's revision."""

    revision: int
    object: StoredObject | None = None


class HostEntry(msgspec.Struct, kw_only=True):
    """A host as the platform's lagging list shows it; addresses are ``IP:port``.

    :param leaving: the platform or the host itself has announced its end.
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

    Each method returns a ``Failure`` in place of a value where the call did not succeed:
    ``STORE_UNAVAILABLE`` where nothing was changed for certain, ``WRITE_UNCLEAR`` where a
    write may have taken effect.
    """

    async def get(self, kind: str, name: str) -> StoredObject | Failure:
        """Read one object; ``NOT_FOUND`` where there is none."""

    async def list(self, kinds: t.Sequence[str]) -> Listing | Failure:
        """Read all objects of the kinds at one revision."""

    async def put(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> StoredObject | Failure:
        """Write if the object's version is ``expected_version``; 0 expects that it is missing.

        :return: the written object, or ``VERSION_CONFLICT``.
        """

    def watch(
        self, kinds: t.Sequence[str], after_revision: int
    ) -> t.AsyncIterator[WatchEvent | Failure]:
        """Yield changes after a revision; ends after it has yielded a ``Failure``."""

    async def hosts(self) -> HostList | Failure:
        """Read the platform's list of hosts."""
