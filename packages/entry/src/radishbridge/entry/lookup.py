"""Which entry hosts a caller is told of."""

from __future__ import annotations

import typing as t

from radishbridge.entry.capacity import well_equipped
from radishbridge.entry.messages import HostStatus
from radishbridge.entry.protocol import HostEntry

# Hosts of the caller's data centre that are enough for it; with fewer it gets its whole region,
# so that the loss of one host leaves it another.
ENOUGH = 2
# Most addresses in one answer.
ADDRESSES_MAX = 64


def nearby_hosts(
    statuses: t.Iterable[HostStatus],
    entries: t.Mapping[str, HostEntry],
    region: str,
    data_center: str,
) -> list[str]:
    """Return the addresses of the nearest hosts that take requests.

    Well-equipped hosts are named alone while they keep up. Requests with home regions may enter
    in the caller's own region, so that hosts of other regions are named only where none of its
    own is left.

    :param region: the caller's region.
    :param data_center: the caller's data centre.
    """
    serving = {
        status.name: status
        for status in statuses
        if status.is_ready and not status.is_leaving and status.name in entries
    }
    here = [entries[name] for name in serving if entries[name].data_center == data_center]
    near = [entries[name] for name in serving if entries[name].region == region]
    everywhere = [entries[name] for name in serving]
    group = next((group for group in (here, near) if len(group) >= ENOUGH), near or everywhere)
    chosen = well_equipped(group, ENOUGH)
    if any(serving[entry.peer_address].is_overloaded for entry in chosen):
        chosen = group
    return sorted(entry.listen for entry in chosen)[:ADDRESSES_MAX]
