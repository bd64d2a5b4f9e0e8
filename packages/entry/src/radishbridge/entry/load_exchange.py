"""Exchange of servers' load reports between the hosts, for services whose servers report pace.

A host sends a few requests per second to many servers, so that it hears of each one only every few
seconds. All hosts together hear of each server several times a second. Each host's report to the
aggregators contains what servers reported since its last one; each summary contains what the
aggregator got since its last one. A lost message only leaves an older figure.
"""

from __future__ import annotations

import collections
import struct
import typing as t
import zlib

import msgspec

from radishbridge.steering import LoadReport, Selector, ServerState

# One server's load: CRC-32 of its name, requests running and waiting, pace and age. Eight bytes, so
# that a summary of 166 servers grows by 1.3 KB. Two equal CRCs only mix up two servers' loads.
_ENTRY = struct.Struct("<IHBB")
_LOAD_MAX = 0xFFFF
_BYTE_MAX = 0xFF
# Units of the encoded pace and of the age in seconds: up to 12.7 and 5.1 s.
PACE_UNIT = 0.05
AGE_UNIT_S = 0.02


class HeardLoad(t.NamedTuple):
    """Load that a server reported to some host.

    :param heard_at: monotonic time in seconds.
    """

    load: int
    pace: float
    heard_at: float


class LoadExchange:
    """What servers reported to this host and, on an aggregator, to the others.

    :param own: reports of servers to this host since its last report, by CRC of the name.
    :param reported: newest report of a server to any host since the last summary.
    """

    __slots__ = ("own", "reported", "selector")

    def __init__(self, selector: Selector) -> None:
        self.selector = selector
        self.own: dict[int, HeardLoad] = {}
        self.reported: dict[int, HeardLoad] = {}

    def record(self, state: ServerState, report: LoadReport, now: float) -> None:
        """Record the load that a server reported with a response to this host."""
        self.selector.loads.record_load(state, report, now)
        if report.has_pace:
            heard = HeardLoad(report.running + report.waiting, report.pace, now)
            self.own[server_number(state.server.name)] = heard

    def take_own(self, now: float) -> bytes | msgspec.UnsetType:
        """Return what servers reported to this host since the last call, for its report."""
        own, self.own = self.own, {}
        return _encode(own, now)

    def add_report(self, loads: bytes | msgspec.UnsetType, now: float) -> None:
        """Add what servers reported to another host, for the next summary."""
        for number, heard in _decode(loads, now):
            known = self.reported.get(number)
            if known is None or heard.heard_at > known.heard_at:
                self.reported[number] = heard

    def take_reported(self, now: float) -> bytes | msgspec.UnsetType:
        """Return what servers reported to any host since the last call, for a summary."""
        reported, self.reported = self.reported, {}
        return _encode(reported, now)

    def apply_summary(self, loads: bytes | msgspec.UnsetType, now: float) -> None:
        """Update the servers' loads from a summary."""
        if isinstance(loads, msgspec.UnsetType):
            return
        states = {server_number(name): state for name, state in self.selector.states.items()}
        counts: collections.Counter[str] = collections.Counter()
        for number, heard in _decode(loads, now):
            state = states.get(number)
            if state is not None:
                report = LoadReport(heard.load, 0, state.server.slots, heard.pace, has_pace=True)
                self.selector.loads.record_shared_load(state, report, heard.heard_at, now)
                counts[state.server.service] += 1
        fractions = {
            service: count / max(1, len(self.selector.usable_servers(service)))
            for service, count in counts.items()
        }
        self.selector.loads.record_summary(fractions, now)


def server_number(name: str) -> int:
    """Return the number that stands for a server in messages."""
    return zlib.crc32(name.encode())


def _encode(loads: t.Mapping[int, HeardLoad], now: float) -> bytes | msgspec.UnsetType:
    if not loads:
        return msgspec.UNSET
    return b"".join(
        _ENTRY.pack(
            number,
            min(_LOAD_MAX, heard.load),
            min(_BYTE_MAX, round(heard.pace / PACE_UNIT)),
            min(_BYTE_MAX, round(max(0.0, now - heard.heard_at) / AGE_UNIT_S)),
        )
        for number, heard in loads.items()
    )


def _decode(loads: bytes | msgspec.UnsetType, now: float) -> t.Iterator[tuple[int, HeardLoad]]:
    # Loads of another size come from another release, and are left out.
    if isinstance(loads, msgspec.UnsetType) or len(loads) % _ENTRY.size:
        return
    for number, load, pace, age in _ENTRY.iter_unpack(loads):
        yield number, HeardLoad(load, pace * PACE_UNIT, now - age * AGE_UNIT_S)
