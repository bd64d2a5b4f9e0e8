"""Selection of the entry hosts that a caller's look-up returns."""

from __future__ import annotations

import typing as t

from radishbridge.entry.capacity import high_capacity_hosts
from radishbridge.entry.messages import HostStatus
from radishbridge.entry.protocol import HostEntry

# With fewer hosts in the caller's data centre, the response covers its whole region, so that the
# caller has another one left if one host is lost.
HOSTS_PER_RESPONSE_MIN = 2
ADDRESSES_PER_RESPONSE_MAX = 64


def nearby_hosts(
    statuses: t.Iterable[HostStatus],
    entries: t.Mapping[str, HostEntry],
    region: str,
    data_center: str,
) -> list[str]:
    """Return the addresses of the hosts nearest to a caller that accept requests.

    Only high-capacity hosts are returned unless one of them is overloaded. Requests
    with home regions enter through the caller's own region, so hosts of other regions are returned
    only if that region has none left.

    :param statuses: status of the live hosts.
    :param entries: registered hosts by name.
    :param region: the caller's region.
    :param data_center: the caller's data centre.
    """
    serving = {
        status.name: status
        for status in statuses
        if status.is_ready and not status.is_leaving and status.name in entries
    }
    in_data_center = [entries[name] for name in serving if entries[name].data_center == data_center]
    in_region = [entries[name] for name in serving if entries[name].region == region]
    everywhere = [entries[name] for name in serving]
    group = next(
        (group for group in (in_data_center, in_region) if len(group) >= HOSTS_PER_RESPONSE_MIN),
        in_region or everywhere,
    )
    chosen = high_capacity_hosts(group, HOSTS_PER_RESPONSE_MIN)
    if any(serving[entry.peer_address].is_overloaded for entry in chosen):
        chosen = group
    return sorted(entry.listen for entry in chosen)[:ADDRESSES_PER_RESPONSE_MAX]
