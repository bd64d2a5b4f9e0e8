"""Status checks of backend servers while the store is silent, to find those that turned cold.

Load pattern: the rest of a server's slow start is read from its entry. While the store is silent a
server may turn cold unnoticed and crash under its full load. Status checks have a price, so only
a few hosts check each server, and only while the store is silent.
"""

from __future__ import annotations

import itertools
import typing as t

from radishbridge.peers import rank

# Time in seconds for which a store follower has to reach the store, while another host fails, to
# show that the store answers. Its longest watch without an answer takes 4.5 s, those of the
# servers' entries of the first two followers 1.7 and 3 s.
ANSWER_SHOWN_S = 4.0
# The same for a follower that is chosen meanwhile: it begins with a listing, which fails after 1 s,
# and reports that within 1.2 s.
LISTING_SHOWN_S = 3.0
# Time in seconds after its last failure for which further failures of a host do not count that
# were refuted so: the store turns that host away, but not the others. Such a host is chosen as
# follower again 5 s after a failure.
REFUTED_S = 8.0
# Hosts that check one server, and the interval of each of them in seconds. Together they find a
# cold server in half of it, so that it is known within the 2.5 s of other changes.
CHECKERS = 2
CHECK_INTERVAL_S = 1.6
# Time in seconds for which the result of a check is reported, since some reports may be lost.
REPORTED_FOR_S = 2.0
# Longest slow start in seconds that is believed, and maximum number of cold servers in a report.
COLD_MAX_S = 600.0
REPORTED_MAX = 256


class StoreSilence:
    """Whether no host in contact gets answers of the store.

    Times are monotonic, in seconds.

    :param is_silent: the result of the last update.
    :param shown_at: time by store follower at which it shows that the store answers, if it does not
        fail until then.
    :param refuted_until: time by host until which its failures do not count.
    """

    __slots__ = ("is_silent", "refuted_until", "shown_at")

    def __init__(self) -> None:
        self.is_silent = False
        self.shown_at: dict[str, float] = {}
        self.refuted_until: dict[str, float] = {}

    def update(self, failing: t.Collection[str], followers: t.Collection[str], now: float) -> bool:
        """Return whether the store is silent.

        :param failing: hosts that do not reach the store.
        :param followers: store followers that reach it.
        """
        refuted = {name for name, until in self.refuted_until.items() if now < until}
        self.refuted_until = {
            name: now + REFUTED_S if name in failing else self.refuted_until[name]
            for name in refuted
        }
        counted = [name for name in failing if name not in refuted]
        if not counted:
            self.end()
            return False
        wait_s = LISTING_SHOWN_S if self.is_silent else ANSWER_SHOWN_S
        self.shown_at = {name: self.shown_at.get(name, now + wait_s) for name in followers}
        if any(at <= now for at in self.shown_at.values()):
            self.refuted_until.update(dict.fromkeys(counted, now + REFUTED_S))
            self.end()
            return False
        self.is_silent = True
        return True

    def end(self) -> None:
        """Record that the store answers."""
        self.is_silent = False
        self.shown_at = {}


class CheckSchedule:
    """Which servers this host checks, and when.

    :param host: this host's name.
    :param hosts: the hosts by which servers were last assigned.
    :param turns: whether and in which turn this host checks a server; ``None`` if it does not.
        Ranking all hosts for each of several hundred servers takes some 40 ms, so that it is done
        once for a list of hosts.
    :param due_at: monotonic time in seconds of the next check by server.
    """

    __slots__ = ("due_at", "host", "hosts", "turns")

    def __init__(self, host: str) -> None:
        self.host = host
        self.hosts: frozenset[str] = frozenset()
        self.turns: dict[str, int | None] = {}
        self.due_at: dict[str, float] = {}

    def due(self, servers: t.Iterable[str], hosts: t.Collection[str], now: float) -> list[str]:
        """Return the servers to check now.

        :param servers: servers that have a slow start and a status check.
        :param hosts: hosts that may check.
        """
        if self.hosts != (present := frozenset(hosts)):
            self.hosts = present
            self.turns.clear()
        due_at: dict[str, float] = {}
        for server in servers:
            turn = self._turn(server)
            if turn is not None:
                delay_s = CHECK_INTERVAL_S * turn / min(CHECKERS, len(self.hosts))
                due_at[server] = self.due_at.get(server, now + delay_s)
        due = [server for server, at in due_at.items() if at <= now]
        self.due_at = {**due_at, **dict.fromkeys(due, now + CHECK_INTERVAL_S)}
        return due

    def stop(self) -> None:
        """Forget the schedule, because the store answers."""
        self.due_at.clear()
        self.turns.clear()

    def _turn(self, server: str) -> int | None:
        if server not in self.turns:
            checkers = rank(f"check {server}", self.hosts)[:CHECKERS]
            self.turns[server] = checkers.index(self.host) if self.host in checkers else None
        return self.turns[server]


class ColdServer(t.NamedTuple):
    """A server that this host found cold.

    :param incarnation: start of its process as its entry states it.
    :param until: monotonic time in seconds of the end of its slow start.
    :param found_at: monotonic time in seconds of the check.
    """

    incarnation: int
    until: float
    found_at: float


class ColdServers:
    """The servers that this host found cold, to be reported to the other hosts."""

    __slots__ = ("found",)

    def __init__(self) -> None:
        self.found: dict[str, ColdServer] = {}

    def record(self, server: str, incarnation: int, cold_for_s: float, now: float) -> None:
        """Record the rest of a server's slow start in seconds."""
        self.found[server] = ColdServer(incarnation, now + min(COLD_MAX_S, cold_for_s), now)

    def to_report(self, now: float) -> dict[str, ColdServer]:
        """Return the cold servers that were found lately."""
        if self.found:
            self.found = {
                name: one
                for name, one in self.found.items()
                if now - one.found_at <= REPORTED_FOR_S and now < one.until
            }
        return dict(itertools.islice(self.found.items(), REPORTED_MAX))
