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

    def standing_peers(self) -> set[str]:
        """Return the hosts that this one keeps connections with.

        These are the hosts of its data centre and, if it is a relay, the relays of the others.
        """
        own = self.hosts.get(self.host)
        if own is None:
            return set()
        groups = self.data_centers()
        peers = set(groups.get(own.data_center, []))
        if self.host in self.relays(own.data_center):
            peers.update(itertools.chain.from_iterable(map(self.relays, groups)))
        return peers - {self.host}
