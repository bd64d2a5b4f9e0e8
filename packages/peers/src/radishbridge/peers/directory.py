"""Which hosts there are, and with which of them a host keeps standing connections."""

from __future__ import annotations

import itertools
import typing as t

from radishbridge.peers.messages import HostAddress
from radishbridge.peers.rendezvous import rank

RELAYS_PER_DATA_CENTER = 2


class Directory:
    """The hosts of the platform's list, which lags.

    :param host: name of the host that keeps the directory.
    """

    __slots__ = ("host", "hosts")

    def __init__(self, host: str) -> None:
        self.host = host
        self.hosts: dict[str, HostAddress] = {}

    def update(self, hosts: t.Iterable[HostAddress]) -> bool:
        """Replace the list.

        :return: whether it changed.
        """
        changed = {entry.name: entry for entry in hosts}
        if changed == self.hosts:
            return False
        self.hosts = changed
        return True

    def data_centers(self) -> dict[str, list[str]]:
        """Return the names of the hosts that are not leaving, by data centre."""
        staying = [entry for entry in self.hosts.values() if not entry.leaving]
        staying.sort(key=lambda entry: (entry.data_center, entry.name))
        groups = itertools.groupby(staying, key=lambda entry: entry.data_center)
        return {center: [entry.name for entry in group] for center, group in groups}

    def relays(self, data_center: str, excluded: t.Collection[str] = ()) -> list[str]:
        """Return the hosts that relay for a data centre.

        :param excluded: hosts that are believed dead.
        """
        names = self.data_centers().get(data_center, [])
        usable = [name for name in names if name not in excluded] or names
        return rank(data_center, usable)[:RELAYS_PER_DATA_CENTER]

    def persistent_peers(self) -> set[str]:
        """Return the hosts that this one keeps connections with.

        These are the hosts of its data centre and, if it is a relay, one relay of each other.
        """
        own = self.hosts.get(self.host)
        if own is None:
            return set()
        peers = set(self.data_centers().get(own.data_center, []))
        return (peers | self.remote_relays()) - {self.host}

    def remote_relays(self) -> set[str]:
        """Return the relays of other data centres that this host, as a relay, talks to.

        The first relay of a data centre talks to the first of each other, the second to the
        second; where there is only one, both talk to it.
        """
        own = self.hosts.get(self.host)
        relays = self.relays(own.data_center) if own else []
        if own is None or self.host not in relays:
            return set()
        index = relays.index(self.host)
        others = self.data_centers().keys() - {own.data_center}
        return set(
            itertools.chain.from_iterable(
                _partners(index, len(relays), self.relays(center)) for center in others
            )
        )


def _partners(index: int, count: int, relays: list[str]) -> list[str]:
    if count < len(relays):
        return relays
    return [relays[min(index, len(relays) - 1)]]
