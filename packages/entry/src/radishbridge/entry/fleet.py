"""How the entry hosts act as one: reports, sums, and changes of the store passed on.

Each host reports to two summing hosts and gets their sums; three hosts read the store and pass
changes on. Which hosts these are follows from the list of hosts by hash, so that messages, store
calls and connections grow with the number of hosts alone.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import re
import time
import typing as t

import msgspec

from radishbridge.entry.capacity import well_equipped
from radishbridge.entry.copy import ObjectCopy
from radishbridge.entry.messages import (
    CopyAnswer,
    CopyRequest,
    CopyState,
    Crash,
    FleetReport,
    FleetSummary,
    HostStatus,
    ObjectsChanged,
)
from radishbridge.entry.protocol import HostEntry, Kind, StoredObject
from radishbridge.peers import HostAddress, Peer, ZmqMesh, rank
from radishbridge.steering import Evidence, FleetShare, HomeDemand

# Pause in seconds between two reports, and between two sums; fleets above the size below report
# less often, since each host takes part in no more than a few decisions a second.
REPORT_S = 0.2
REPORT_LARGE_S = 0.5
LARGE_FLEET = 30
# Hosts that sum up, and hosts that read the store: each bears the loss of one or two.
SUMMING_HOSTS = 2
FOLLOWING_HOSTS = 3
# Well-equipped hosts that are enough to choose the hosts of a duty from.
ENOUGH_FOR_DUTIES = 6
# Reports older than this are left out of a sum, in seconds: three of them were lost.
HEARD_S = 1.1
# A summary older than this, in seconds, leaves the host to its own judgement.
SUMMARY_S = 1.2
# Time in seconds after its start in which a host counts others as running before it heard them.
START_S = 2.0
# A host that was not heard for this long is taken for gone, in seconds; its part of the rates
# goes to the others. Longer than ``rates.CUT_OFF_S``, after which it uses none itself.
FORGET_SILENT_S = 30.0
# Silence in seconds after which a host's entry is removed from the store: it may still be cut
# off before, and registers again if it comes back after.
REMOVE_SILENT_S = 120.0
# Copies have to differ for this long, in seconds, before objects are asked for: changes are under
# way. A question and its answer take up to 0.3 s more, and changes of servers bind within 2.5 s.
DIFFERS_S = 0.5
# Most hosts that are listened to although this host's copy of the list of hosts lacks them, and the
# pause in seconds before one more is: a single one tells all that the copy lacks, and in a fleet
# that starts all hosts are unknown for some 0.3 s.
STRANGERS_MAX = 8
MEET_S = 0.2
# Time in seconds for which the largest number of registered hosts counts: hosts that are stopped
# and started in turn are missing from the list for some 10 s each.
SIZE_HELD_S = 60.0
# Most hosts that a start without a store asks for their copy.
SEEDS_ASKED = 3

# Names of entry hosts are their addresses.
_ADDRESS = re.compile(r"\d+(?:\.\d+){3}:\d+")

logger = logging.getLogger(__name__)


class HeardReport(t.NamedTuple):
    """A report and the monotonic time at which it came."""

    report: FleetReport
    at: float


class Fleet:
    """This host's part in the fleet.

    :param own: this host's entry.
    :param mesh: carries messages; hosts are named by their peer address.
    :param fleet_share: what this host may use of fleet-wide rates.
    :param departing: hosts that are no longer registered, but were heard until then: they answer
        what is open, and still use their part of the rates.
    :param make_sight: tells what others are told of this host.
    :param make_report: builds the report that is sent next.
    :param clock: monotonic clock in seconds.
    """

    __slots__ = (
        "clock",
        "copy",
        "departing",
        "differs_since",
        "entries",
        "fleet_share",
        "hearings",
        "last_seen",
        "listeners",
        "make_report",
        "make_status",
        "mesh",
        "met_at",
        "newest",
        "own",
        "peak",
        "peak_at",
        "reports",
        "seeds",
        "started_at",
        "strangers",
        "summary",
        "summary_at",
    )

    def __init__(
        self,
        own: HostEntry,
        mesh: ZmqMesh,
        copy: ObjectCopy,
        fleet_share: FleetShare,
        seeds: t.Iterable[HostAddress],
        make_status: t.Callable[[], HostStatus],
        make_report: t.Callable[[], FleetReport],
        clock: t.Callable[[], float] = time.monotonic,
    ) -> None:
        self.clock = clock
        self.own = own
        self.mesh = mesh
        self.copy = copy
        self.fleet_share = fleet_share
        self.make_status = make_status
        self.make_report = make_report
        self.seeds = {seed.name: seed for seed in seeds if seed.name != own.peer_address}
        self.entries: dict[str, HostEntry] = {own.peer_address: own}
        self.departing: dict[str, HostEntry] = {}
        self.peak = 1
        self.peak_at = float("-inf")
        self.reports: dict[str, HeardReport] = {}
        self.hearings: dict[str, float] = {}
        self.last_seen: dict[str, float] = {}
        self.listeners: list[t.Callable[[FleetSummary], None]] = []
        self.summary: FleetSummary | None = None
        self.summary_at = float("-inf")
        self.started_at = self.clock()
        self.differs_since: dict[Kind, float] = {}
        self.newest: dict[Kind, int] = dict.fromkeys(Kind, 0)
        self.met_at = float("-inf")
        self.strangers: dict[str, HostAddress] = {}
        mesh.on_unknown_sender = self._meet
        mesh.subscribe(FleetReport, self._on_report)
        mesh.subscribe(FleetSummary, self._on_summary)
        mesh.subscribe(ObjectsChanged, self._on_changed)
        mesh.subscribe(CopyRequest, self._on_copy_request)
        mesh.subscribe(CopyAnswer, self._on_copy_answer)
        self.update_hosts({})

    def update_hosts(self, entries: t.Mapping[str, HostEntry]) -> None:
        """Take over the registered hosts, by name."""
        now = self.clock()
        before = {**self.departing, **self.entries}
        self.entries = {**entries, self.own.peer_address: self.own}
        self.departing = {
            name: entry
            for name, entry in before.items()
            if name not in self.entries and self._was_heard(name, now)
        }
        for name in self.entries:
            self.last_seen.setdefault(name, now)
        for name in self.strangers.keys() & self.entries.keys():
            del self.strangers[name]
        self._update_directory()
        self._count_hosts(now)

    def _was_heard(self, name: str, now: float) -> bool:
        return now - self.hearings.get(name, float("-inf")) <= HEARD_S

    def _count_hosts(self, now: float) -> None:
        # Who is counted in a sum has a part of the rates, registered or not.
        counted = () if self.summary is None else (status.name for status in self.summary.hosts)
        self.fleet_share.hosts = len({*self.possible_hosts(now), *counted})

    def _update_directory(self) -> None:
        known = map(_address, itertools.chain(self.entries.values(), self.departing.values()))
        self.mesh.update_directory([*known, *self._unknown_seeds(), *self.strangers.values()])

    def _meet(self, name: str) -> None:
        # A host that this copy lacks is heard, since it may be what tells this host of its lack.
        now = self.clock()
        if now - self.met_at < MEET_S or not _ADDRESS.fullmatch(name):
            return
        self.met_at = now
        if len(self.strangers) >= STRANGERS_MAX:
            del self.strangers[next(iter(self.strangers))]
        logger.info("heard a host that is not registered here", extra={"host": name})
        self.strangers[name] = HostAddress(name=name, region="", data_center="", address=name)
        self._update_directory()

    def possible_hosts(self, now: float) -> list[str]:
        """Return the hosts that may be running: all that are registered and not long silent."""
        return [
            name
            for name in self.entries
            if name == self.own.peer_address or now - self.last_seen[name] < FORGET_SILENT_S
        ]

    def lost_hosts(self, now: float) -> list[str]:
        """Return the registered hosts that have been silent for so long that they are gone."""
        own = self.own.peer_address
        silent = (name for name in self.entries if now - self.last_seen[name] > REMOVE_SILENT_S)
        return [name for name in silent if name != own]

    def live_hosts(self, now: float) -> dict[str, HostStatus]:
        """Return the hosts heard lately, this one among them."""
        own = self.make_status()
        if self.summary is None or now - self.summary_at > SUMMARY_S:
            return {own.name: own}
        statuses = {status.name: status for status in self.summary.hosts}
        return {**statuses, own.name: own}

    def is_formed(self) -> bool:
        """Whether this host's view of the fleet is that of a running one.

        It is once most of the registered hosts are heard, and in any case some time after the
        start: of a running fleet a part may be lost.
        """
        if self.clock() - self.started_at >= START_S:
            return True
        heard = 0 if self.summary is None else len(self.summary.hosts)
        return 1 < heard > len(self.entries) / 2

    def follower_rank(self) -> int | None:
        """Return this host's place among those that read the store; ``None`` if others do.

        A host that hears nobody is the first. Hosts that leave, and hosts that the store does not
        answer, are passed over while there are others.
        """
        now = self.clock()
        if self.summary is None or now - self.summary_at > SUMMARY_S:
            return 0
        live = self.live_hosts(now).values()
        staying = [one for one in live if not one.is_leaving] or live
        able = [one.name for one in staying if one.reaches_store]
        names = able or [one.name for one in staying]
        chosen = self.rank_for("follow", names)[:FOLLOWING_HOSTS]
        own = self.own.peer_address
        return chosen.index(own) if own in chosen else None

    def rank_for(self, duty: str, names: t.Iterable[str]) -> list[str]:
        """Return the hosts that may have a duty, the first choice first.

        :param names: hosts that are able to do it.
        """
        known = [self.entries[name] for name in names if name in self.entries]
        able = well_equipped(known, ENOUGH_FOR_DUTIES)
        return rank(duty, (entry.peer_address for entry in able))

    def broadcast_changes(
        self, objects: list[StoredObject], after: int = 0, revision: int = 0
    ) -> None:
        """Send changes of a kind read from the store to all other hosts.

        :param after: they are all changes after this revision up to ``revision``.
        """
        self._send_all(ObjectsChanged(objects=objects, after=after, revision=revision))

    def request_copies(self) -> None:
        """Ask other hosts for their copy, for a start without the store."""
        kinds = [kind for kind in Kind if kind not in self.copy.loaded_kinds]
        names = [*self.entries, *self.seeds]
        others = [name for name in names if name != self.own.peer_address]
        for name in others[:SEEDS_ASKED]:
            self.mesh.send(name, CopyRequest(kinds=kinds))

    async def run(self) -> None:
        """Report and sum up until cancelled."""
        while True:
            self.step(self.clock())
            large = len(self.entries) > LARGE_FLEET
            await asyncio.sleep(REPORT_LARGE_S if large else REPORT_S)

    def step(self, now: float) -> None:
        """Send one report, and one sum if this host sums up."""
        report = msgspec.structs.replace(
            self.make_report(), copy_state=self.copy.state(), size=self._note_size(now)
        )
        self.reports[self.own.peer_address] = HeardReport(report, now)
        targets = self._summing(now)
        for name in targets:
            if name != self.own.peer_address:
                self.mesh.send(name, report)
        heard = {
            name: heard.report
            for name, heard in self.reports.items()
            if now - heard.at <= HEARD_S and (name in self.entries or name in self.departing)
        }
        if self.own.peer_address in targets or len(heard) > 1:
            summary = sum_up(heard, self.copy.state())
            self._take_summary(summary, now)
            # While a fleet starts, each host has heard itself alone and need not tell all others.
            # Later this is how hosts that lost each other meet again.
            if len(heard) > 1 or now - self.started_at >= START_S:
                self._send_all(summary)
        if any(not self._was_heard(name, now) for name in self.departing):
            self.update_hosts(self.entries)
        self._count_hosts(now)

    @property
    def size(self) -> int:
        """Number of hosts that this fleet is made for; the hosts agree on it within a second.

        It stays as it is while hosts are stopped and started in turn.
        """
        return self.peak if self.summary is None else self.summary.size

    def _note_size(self, now: float) -> int:
        count = len(self.entries)
        if count >= self.peak or now - self.peak_at > SIZE_HELD_S:
            self.peak, self.peak_at = count, now
        return self.peak

    def _summing(self, now: float) -> list[str]:
        starting = now - self.started_at < START_S
        names = [
            name
            for name in self.entries
            if name == self.own.peer_address
            or now - self.hearings.get(name, float("-inf")) < HEARD_S
            or starting
            or now - self.last_seen[name] < START_S
        ]
        return self.rank_for("sum", names)[:SUMMING_HOSTS]

    def _send_all(self, message: FleetSummary | ObjectsChanged) -> None:
        for name in itertools.chain(self.entries, self.departing):
            if name != self.own.peer_address:
                self.mesh.send(name, message)

    def _on_report(self, peer: Peer, message: FleetReport) -> None:
        now = self.clock()
        self.reports[peer.name] = HeardReport(message, now)
        self.hearings[peer.name] = self.last_seen[peer.name] = now
        if message.copy_state is not None:
            self._compare(peer.name, message.copy_state, now)

    def _on_summary(self, peer: Peer, message: FleetSummary) -> None:
        now = self.clock()
        self.hearings[peer.name] = now
        held = 0 if self.summary is None else len(self.summary.hosts)
        stale = now - self.summary_at > REPORT_LARGE_S + REPORT_S
        if stale or len(message.hosts) >= held or self._is_first(peer.name, now):
            self._take_summary(message, now)
        self._compare(peer.name, message.copy_state, now)

    def _is_first(self, name: str, now: float) -> bool:
        return self._summing(now)[:1] == [name]

    def _take_summary(self, summary: FleetSummary, now: float) -> None:
        self.summary = summary
        self.summary_at = now
        for status in summary.hosts:
            if status.name in self.entries:
                self.last_seen[status.name] = now
            if status.name in self.entries or status.name in self.departing:
                self.hearings[status.name] = now
        self.fleet_share.hosts_reporting = max(1, len(summary.hosts))
        self.fleet_share.summary_at = now
        self._count_hosts(now)
        for listener in self.listeners:
            listener(summary)

    def _compare(self, peer: str, other: CopyState, now: float) -> None:
        late = [kind for kind in Kind if self._is_late(kind, other, now)]
        if late:
            revisions = {
                kind.value: (self.copy.revisions[kind], self.newest[kind]) for kind in late
            }
            logger.info(
                "copy differs",
                extra={
                    "peer": peer,
                    "own_and_newest": revisions,
                    # Copies that are whole up to one revision hold the same: one of them is wrong.
                    "same_revision": any(own == newest for own, newest in revisions.values()),
                },
            )
            self.mesh.send(peer, CopyRequest(kinds=late))

    def _is_late(self, kind: Kind, other: CopyState, now: float) -> bool:
        # Whether this copy has lacked something for a while that another one has.
        theirs, own = other.revisions.get(kind, 0), self.copy.revisions[kind]
        self.newest[kind] = max(self.newest[kind], theirs)
        equal = other.digests.get(kind) == self.copy.digests[kind]
        if equal and kind in self.copy.loaded_kinds:
            # What changed up to the other one's revision is in this copy as well.
            self.copy.advance(kind, theirs)
            own = self.copy.revisions[kind]
        differs = theirs >= own and not equal
        lacks = differs or kind not in self.copy.loaded_kinds
        if not lacks:
            # An older copy proves nothing, even if it equals this one.
            if theirs == self.newest[kind]:
                self.differs_since.pop(kind, None)
            return False
        if now - self.differs_since.setdefault(kind, now) <= DIFFERS_S:
            return False
        self.differs_since[kind] = now
        return True

    def _on_changed(self, peer: Peer, message: ObjectsChanged) -> None:
        for stored in message.objects:
            self.copy.apply(stored, peer.name)
        if message.objects and message.revision:
            self.copy.extend(message.objects[0].kind, message.after, message.revision)

    def _on_copy_request(self, peer: Peer, message: CopyRequest) -> None:
        for kind in message.kinds:
            if kind in self.copy.loaded_kinds:
                self.mesh.send(peer.name, CopyAnswer(kind=kind, listing=self.copy.listing(kind)))

    def _on_copy_answer(self, peer: Peer, message: CopyAnswer) -> None:
        is_older = message.listing.revision < self.copy.revisions[message.kind]
        if is_older and message.kind in self.copy.loaded_kinds:
            return
        gone = self.copy.find_deleted(message.kind, message.listing)
        for stored in (*message.listing.objects, *gone):
            self.copy.apply(stored, peer.name)
        self.copy.advance(message.kind, message.listing.revision)

    def _unknown_seeds(self) -> t.Iterable[HostAddress]:
        return (seed for name, seed in self.seeds.items() if name not in self.entries)


def sum_up(reports: t.Mapping[str, FleetReport], copy_state: CopyState) -> FleetSummary:
    """Return the sum of reports, given by host.

    :param copy_state: of the summing host's copy.
    """
    demands: dict[str, float] = {}
    home_bound: dict[str, dict[str, HomeDemand]] = {}
    evidence: dict[str, Evidence] = {}
    crashes: dict[Crash, None] = {}
    for report in reports.values():
        _add(demands, report.demands)
        for service, by_region in report.home_bound.items():
            total = home_bound.setdefault(service, {})
            for region, demand in by_region.items():
                total[region] = total.get(region, HomeDemand()) + demand
        for service, seen in report.evidence.items():
            evidence.setdefault(service, Evidence()).merge(seen)
        crashes.update(dict.fromkeys(report.crashes))
    return FleetSummary(
        hosts=[report.status for report in reports.values()],
        demands=demands,
        home_bound=home_bound,
        evidence=evidence,
        crashes=list(crashes),
        copy_state=copy_state,
        size=max((report.size for report in reports.values()), default=1),
    )


def _add(total: dict[str, float], part: t.Mapping[str, float]) -> None:
    for name, amount in part.items():
        total[name] = total.get(name, 0.0) + amount


def _address(entry: HostEntry) -> HostAddress:
    return HostAddress(
        name=entry.peer_address,
        region=entry.region,
        data_center=entry.data_center,
        address=entry.peer_address,
        listen=entry.listen,
    )
