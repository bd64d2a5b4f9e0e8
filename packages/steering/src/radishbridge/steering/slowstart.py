"""Slow start: limits the requests that a cold backend server gets from all hosts together.

Load pattern: a cold server crashes under the load that warm servers handle, although each host
alone sends little. Only some hosts, chosen by hash, send to a cold server, and each of them has an
equal share of its rate.
"""

from __future__ import annotations

import typing as t

from radishbridge.peers import rank

# Fraction of the tolerated rate that is used: requests sent at even intervals arrive unevenly.
RATE_USED = 0.7


class SlowStart:
    """This host's share of the rate of each cold backend server.

    :param host: name of this host.
    :param overage: tolerated factor on a server's rate.
    :param slack: tolerated requests per second beyond that; also the maximum number of hosts that
        may send to one cold server, because each may send one request at once.
    :param senders: number of hosts that may send, by cold server; 0 if this host is not one of
        them.
    :param next_at: monotonic time in seconds of the next request to a cold server, by server.
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
        """Stop sending to cold servers, because other hosts reassign this host's share."""
        self.is_leaving = True

    def update_hosts(self, hosts: t.Iterable[str]) -> None:
        """Set the hosts that may be running."""
        changed = tuple(sorted({*hosts, self.host}))
        if changed != self.hosts:
            self.hosts = changed
            self.senders.clear()

    def admit(self, server: str, rate_per_s: float, now: float) -> bool:
        """Return whether a request may be sent to a cold server now, and count it if so.

        :param server: name of the server.
        :param rate_per_s: requests per second that the server handles; 0 for no limit.
        """
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
        # 0 if this host is not among the senders.
        if server not in self.senders:
            limit = max(1, int(self.slack))
            chosen = rank(server, self.hosts)[:limit]
            self.senders[server] = len(chosen) if self.host in chosen else 0
        return self.senders[server]
