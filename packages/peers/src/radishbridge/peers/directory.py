"""The directory of hosts, and the topology of their persistent connections."""

from __future__ import annotations

import itertools
import typing as t

from radishbridge.peers.messages import HostAddress
from radishbridge.peers.rendezvous import rank

RELAYS_PER_DATA_CENTER = 2


class Directory:
    """The hosts on the platform's list, which may be out of date.

    :param host: name of the local host.
    """

    __slots__ = ("host", "hosts")

    def __init__(self, host: str) -> None:
        self.host = host
        self.hosts: dict[str, HostAddress] = {}

    def update(self, hosts: t.Iterable[HostAddress]) -> bool:
        """Replace all entries.

        :return: whether any entry differs from before.
        """
        new_hosts = {entry.name: entry for entry in hosts}
        if new_hosts == self.hosts:
            return False
        self.hosts = new_hosts
        return True

    def data_centers(self) -> dict[str, list[str]]:
        """Return the names of the hosts that are not shutting down, by data centre."""
        remaining = [entry for entry in self.hosts.values() if not entry.leaving]
        remaining.sort(key=lambda entry: (entry.data_center, entry.name))
        groups = itertools.groupby(remaining, key=lambda entry: entry.data_center)
        return {center: [entry.name for entry in group] for center, group in groups}

    def relays(self, data_center: str, excluded: t.Collection[str] = ()) -> list[str]:
        """Return the hosts that act as relays of a data centre, in order of rank.

        :param excluded: hosts presumed dead; ignored if no other host is left.
        """
        names = self.data_centers().get(data_center, [])
        usable = [name for name in names if name not in excluded] or names
        return rank(data_center, usable)[:RELAYS_PER_DATA_CENTER]

    def persistent_peers(self) -> set[str]:
        """Return the hosts that this host keeps persistent connections with.

        These are the hosts of its data centre and, if it is a relay, its counterparts among the
        relays of each other data centre.
        """
        own = self.hosts.get(self.host)
        if own is None:
            return set()
        peers = set(self.data_centers().get(own.data_center, []))
        return (peers | self.remote_relays()) - {self.host}

    def remote_relays(self) -> set[str]:
        """Return the relays of other data centres that this host connects to if it is a relay.

        The relays of two data centres connect pairwise by rank: the first with the first, the
        second with the second. A data centre's only relay connects with both of the other's.
        """
        own = self.hosts.get(self.host)
        relays = self.relays(own.data_center) if own else []
        if own is None or self.host not in relays:
            return set()
        index = relays.index(self.host)
        other_centers = self.data_centers().keys() - {own.data_center}
        return set(
            itertools.chain.from_iterable(
                _counterparts(index, len(relays), self.relays(center)) for center in other_centers
            )
        )


def _counterparts(index: int, relay_count: int, remote_relays: list[str]) -> list[str]:
    if relay_count < len(remote_relays):
        return remote_relays
    return [remote_relays[min(index, len(remote_relays) - 1)]]
