"""Which hosts are well equipped, and whether a host is falling behind.

Load pattern: hosts of one fleet differ by a factor of twenty in their links. A small one that
gets an even part of large answers delivers them, and all behind them, seconds late.
"""

from __future__ import annotations

import typing as t

from radishbridge.entry.protocol import HostEntry

# Part of the best link and processor among hosts that a host needs to count as well equipped;
# hosts of one make differ by less.
WELL_EQUIPPED = 0.5
# Mean lateness of timers in seconds from which a host counts as strained, and below which it no
# longer does: a request meets some ten steps of the event loop, each that late.
STRAINED_S = 0.04
RELIEVED_S = 0.01
# Weight of the newest lateness, measured ten times a second: a mean over some half second.
NEW_LATENESS = 0.2
# Shortest time in seconds for which a host stays strained: callers keep look-ups for a second or
# more, and would swing between two sets of hosts.
STRAIN_HOLD_S = 5.0


def well_equipped(entries: t.Collection[HostEntry], at_least: int) -> list[HostEntry]:
    """Return the hosts that come near the best one's link and processor.

    :param at_least: number of hosts that are needed; with fewer well equipped ones all are taken.
    """
    link_mbps = max((entry.link_mbps for entry in entries), default=0.0)
    cores = max((entry.cores for entry in entries), default=0.0)
    chosen = [
        entry
        for entry in entries
        if entry.link_mbps >= WELL_EQUIPPED * link_mbps and entry.cores >= WELL_EQUIPPED * cores
    ]
    return chosen if len(chosen) >= at_least else list(entries)


class OverloadDetector:
    """Tells by the lateness of timers whether a host has more work than processor time."""

    __slots__ = ("is_overloaded", "mean_late_s", "overloaded_at")

    def __init__(self) -> None:
        self.mean_late_s = 0.0
        self.is_overloaded = False
        self.overloaded_at = float("-inf")

    def record(self, late_s: float, now: float) -> None:
        """Add one timer's lateness in seconds to the mean."""
        self.mean_late_s += NEW_LATENESS * (max(0.0, late_s) - self.mean_late_s)
        if self.mean_late_s >= STRAINED_S:
            self.is_overloaded = True
            self.overloaded_at = now
        elif self.mean_late_s <= RELIEVED_S and now - self.overloaded_at >= STRAIN_HOLD_S:
            self.is_overloaded = False
