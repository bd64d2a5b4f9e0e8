"""Slow start: how many requests a cold backend server gets from all hosts together.

Load pattern: a cold server crashes under the load that warm ones bear, and every host alone sends
little. Only some hosts, chosen by hash, send to a cold server, and each of them has an even part
of its rate.
"""

from __future__ import annotations

import typing as t

from radishbridge.peers import rank

# Part of the tolerated rate that is used: requests sent evenly do not arrive evenly.
RATE_USED = 0.7


class SlowStart:
    """This host's part of the rate of each cold backend server.

    :param host: name of this host.
    :param overage: factor on a server's rate that is tolerated.
    :param slack: requests beyond that which are tolerated in each second; also the most hosts
        that may send to one cold server, since each may send one request at once.
    """

    __slots__ = ("host", "hosts", "is_leaving", "next_at", "overage", "senders", "slack")

    def __init__(self, host: str, overage: float, slack: float) -> None:
        self.host = host
        self.overage = overage
        self.slack = slack
        self.hosts: tuple[str, ...] = (host,)
        self.is_leaving = False
        self.senders: dict[str, int] = {}
        self.next_at: dict[str, float] = {}

    def leave(self) -> None:
        """Send no more to cold servers: the other hosts give this one's part to another host."""
        self.is_leaving = True

    def update_hosts(self, hosts: t.Iterable[str]) -> None:
        """Take over the list of all hosts that may be running."""
        changed = tuple(sorted({*hosts, self.host}))
        if changed != self.hosts:
            self.hosts = changed
            self.senders.clear()

    def may_send(self, server: str, rate_per_s: float, now: float) -> bool:
        """Tell whether a request may go to a cold server now, and count it if so."""
        if rate_per_s <= 0.0:
            return True
        if self.is_leaving:
            return False
        senders = self._sender_count(server)
        if not senders or now < self.next_at.get(server, 0.0):
            return False
        self.next_at[server] = now + senders / (rate_per_s * self.overage * RATE_USED)
        return True

    def _sender_count(self, server: str) -> int:
        # 0 where this host is not among the senders.
        if server not in self.senders:
            most = max(1, int(self.slack))
            chosen = rank(server, self.hosts)[:most]
            self.senders[server] = len(chosen) if self.host in chosen else 0
        return self.senders[server]
