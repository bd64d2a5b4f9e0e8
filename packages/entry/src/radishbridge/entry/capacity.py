"""Selection of high-capacity hosts, and detection of overload.

Hosts of one fleet differ by a factor of twenty in the bandwidth of their links. If a small host
gets an equal share of large responses, it delivers them, and all responses queued behind them,
seconds late.
"""

from __future__ import annotations

import typing as t

from radishbridge.entry.protocol import HostEntry

# Fraction of the best link and of the most cores in the fleet that makes a host high-capacity;
# hosts of the same type differ by less.
HIGH_CAPACITY_RATIO = 0.5
# Mean lateness of timers in seconds from which a host counts as overloaded, and below which it no
# longer does: a request takes some ten steps of the event loop, each of them that late.
OVERLOADED_LATENESS_S = 0.04
RECOVERED_LATENESS_S = 0.01
# Weight of the newest sample in the moving average. With ten samples a second it averages over
# some half second.
LATENESS_WEIGHT = 0.2
# Shortest time in seconds for which a host stays overloaded. Callers cache look-ups for a second
# or more, and would otherwise oscillate between two sets of hosts.
OVERLOAD_HOLD_S = 5.0


def high_capacity_hosts(entries: t.Collection[HostEntry], at_least: int) -> list[HostEntry]:
    """Return the hosts whose link and processor come close to the best in the fleet.

    :param at_least: number of hosts needed; if fewer are high-capacity, all hosts are returned.
    """
    link_mbps = max((entry.link_mbps for entry in entries), default=0.0)
    cores = max((entry.cores for entry in entries), default=0.0)
    chosen = [
        entry
        for entry in entries
        if entry.link_mbps >= HIGH_CAPACITY_RATIO * link_mbps
        and entry.cores >= HIGH_CAPACITY_RATIO * cores
    ]
    return chosen if len(chosen) >= at_least else list(entries)


class OverloadDetector:
    """Detects by the lateness of timers that a host has more work than processor time.

    :param mean_late_s: moving average of the timers' lateness in seconds.
    """

    __slots__ = ("is_overloaded", "mean_late_s", "overloaded_at")

    def __init__(self) -> None:
        self.mean_late_s = 0.0
        self.is_overloaded = False
        self.overloaded_at = float("-inf")

    def record(self, late_s: float, now: float) -> None:
        """Add one timer's lateness in seconds to the mean."""
        self.mean_late_s += LATENESS_WEIGHT * (max(0.0, late_s) - self.mean_late_s)
        if self.mean_late_s >= OVERLOADED_LATENESS_S:
            self.is_overloaded = True
            self.overloaded_at = now
        elif (
            self.mean_late_s <= RECOVERED_LATENESS_S and now - self.overloaded_at >= OVERLOAD_HOLD_S
        ):
            self.is_overloaded = False
