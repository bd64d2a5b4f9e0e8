"""Which hosts a message for the whole fleet is sent to, and which of them pass it on.

A message that one host sends to each of the others crosses the links between data centres once for
each host there. So it is sent to one host of each large data centre, its relay, which passes it on
to the others of the data centre. The two or three hosts that send the same news use different
relays, so that the loss of one sender or relay costs no host the news.
"""

from __future__ import annotations

import typing as t

from radishbridge.entry.capacity import high_capacity_hosts
from radishbridge.entry.messages import HostStatus
from radishbridge.entry.protocol import HostEntry
from radishbridge.peers import rank

# Different relays of a data centre that the senders of the same news use.
RELAYS_PER_DATA_CENTER = 2
# Data centres with at most this many hosts get messages directly.
DIRECT_HOSTS_MAX = 4


class Hops(t.NamedTuple):
    """Names of the hosts that a message is sent to.

    :param relays: hosts that pass the message on in their data centre.
    :param others: all other hosts.
    """

    relays: list[str]
    others: list[str]


def choose_hops(
    own: HostEntry,
    entries: t.Iterable[HostEntry],
    statuses: t.Mapping[str, HostStatus],
    senders: t.Sequence[str],
) -> Hops:
    """Return the hosts that a message for all hosts is sent to.

    :param own: the sender, which sends to the hosts of its own data centre directly.
    :param entries: all hosts that may be running.
    :param statuses: status of the hosts that are known to be running, by name.
    :param senders: names of the hosts that send the same news, this one among them. None of them is
        a relay, or the loss of one host could cost a data centre the news of two.
    """
    by_data_center: dict[str, list[HostEntry]] = {}
    for entry in entries:
        if entry.peer_address != own.peer_address:
            by_data_center.setdefault(entry.data_center, []).append(entry)
    hops = Hops([], [])
    path = senders.index(own.peer_address) if own.peer_address in senders else 0
    for data_center, members in by_data_center.items():
        relays = (
            []
            if data_center == own.data_center or len(members) <= DIRECT_HOSTS_MAX
            else _rank_relays(data_center, members, statuses, senders)
        )
        if relays:
            hops.relays.append(relays[path % len(relays)])
        else:
            hops.others.extend(entry.peer_address for entry in members)
    return hops


def choose_local_hosts(
    own: HostEntry, entries: t.Iterable[HostEntry], origin: str
) -> list[HostEntry]:
    """Return the hosts that a relay passes a message on to.

    :param origin: the host that sent the message.
    """
    return [
        entry
        for entry in entries
        if entry.data_center == own.data_center
        and entry.peer_address not in (own.peer_address, origin)
    ]


def _rank_relays(
    data_center: str,
    members: list[HostEntry],
    statuses: t.Mapping[str, HostStatus],
    senders: t.Collection[str],
) -> list[str]:
    able = [
        entry
        for entry in members
        if entry.relays
        and entry.peer_address not in senders
        and _is_able(statuses.get(entry.peer_address))
    ]
    candidates = high_capacity_hosts(able, RELAYS_PER_DATA_CENTER)
    names = (entry.peer_address for entry in candidates)
    return rank(f"relay {data_center}", names)[:RELAYS_PER_DATA_CENTER]


def _is_able(status: HostStatus | None) -> bool:
    # A host that is not ready may not know the other hosts of its data centre yet.
    return (
        status is not None
        and status.is_ready
        and not status.is_leaving
        and not status.is_overloaded
    )
