"""Coordination of the entry hosts: reports, summaries, and distribution of changes of the store.

Each host reports to two aggregators and gets their summaries; three hosts read the store and send
its changes to all others, through a relay in each large data centre. Every host chooses the same
ones by hashing the list of hosts. Messages, store calls and connections therefore grow linearly
with the number of hosts.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import typing as t

import msgspec

from radishbridge.entry import uptime
from radishbridge.entry.capacity import high_capacity_hosts
from radishbridge.entry.copy import ObjectCopy
from radishbridge.entry.distribution import choose_hops, choose_local_hosts
from radishbridge.entry.load_exchange import LoadExchange
from radishbridge.entry.messages import (
    CopyAnswer,
    CopyRequest,
    CopyState,
    FleetReport,
    FleetSummary,
    HostStatus,
    ObjectsChanged,
    Relayed,
)
from radishbridge.entry.protocol import HostEntry, Kind, StoredObject
from radishbridge.entry.share_contact import ShareContact
from radishbridge.entry.summaries import merge_reports
from radishbridge.peers import HostAddress, Peer, ZmqMesh, rank
from radishbridge.records import is_address
from radishbridge.steering import FleetShare
from radishbridge.steering.usage_counts import UsageHolding, UsageNews, UsageReport

# Interval between reports and between summaries, in seconds. Fleets of more than LARGE_FLEET_HOSTS
# report less often, because each of their hosts takes part in only a few decisions a second.
REPORT_INTERVAL_S = 0.2
LARGE_FLEET_REPORT_INTERVAL_S = 0.5
LARGE_FLEET_HOSTS = 30
# Each role tolerates the loss of all its hosts but one.
AGGREGATOR_COUNT = 2
STORE_FOLLOWER_COUNT = 3
# With fewer high-capacity hosts than this, all hosts can be chosen for a role.
HIGH_CAPACITY_HOSTS_MIN = 6
# Age in seconds beyond which summaries leave out a report: at least two later ones were lost.
REPORT_MAX_AGE_S = 1.1
# A host whose summary is older than this, in seconds, relies on what it knows itself.
SUMMARY_MAX_AGE_S = 1.2
# Time in seconds after its start in which a host assumes that others run before it has any message
# from them.
STARTUP_GRACE_S = 2.0
# Silence in seconds after which a host's entry is removed from the store. The host may only have
# been cut off; it registers again if it comes back.
HOST_REMOVED_AFTER_S = 120.0
# Copies have to differ for this long, in seconds, before objects are requested, since changes may
# still be in transit. A request and its answer take up to 0.3 s more, and changes of servers have
# to take effect within 2.5 s.
COPY_DIFFERENCE_MAX_S = 0.5
# Maximum number of unregistered hosts whose messages are accepted, and the minimum interval in
# seconds between accepting two of them. One such host is enough to deliver all that this host's
# copy lacks; in a fleet that starts, all hosts are unregistered for some 0.3 s. Hosts that are
# added while the store is down get a share of the rates only once they are accepted.
UNREGISTERED_PEERS_MAX = 32
UNREGISTERED_PEER_INTERVAL_S = 0.2
# Time in seconds for which the largest number of registered hosts counts as the size of the fleet:
# in a rolling restart each host is missing from the list for some 10 s.
PEAK_SIZE_HOLD_S = 60.0
# Maximum number of hosts that are asked for their copy when this host starts while the store is
# unavailable.
COPY_REQUESTS_MAX = 3

logger = logging.getLogger(__name__)


class ReceivedReport(t.NamedTuple):
    """A report and the monotonic time at which it was received."""

    report: FleetReport
    received_at: float


class UsageMessages(t.Protocol):
    """What reports and summaries say for the usage reports."""

    @property
    def holding(self) -> UsageHolding | None:
        """What the holder of the duty has last told; ``None`` if there is none."""

    @property
    def unable(self) -> t.Collection[str]:
        """Hosts that do not reach the record of the duty."""

    def build_report(self, now: float) -> UsageReport:
        """Return this host's part of its report."""

    def record_report(self, name: str, report: UsageReport, is_leaving: bool, now: float) -> None:
        """Record a host's part of its report."""

    def build_news(self, now: float) -> UsageNews:
        """Return this host's part of its summary."""

    def apply_news(self, news: UsageNews, now: float) -> None:
        """Apply an aggregator's part of its summary."""


class Fleet:
    """This host's view of the fleet, and its reports, summaries and requests to the other hosts.

    :param own: this host's entry.
    :param mesh: carries messages; hosts are named by their peer address.
    :param fleet_share: this host's share of fleet-wide rates.
    :param seeds: hosts to contact before the list of hosts is known.
    :param make_status: builds this host's status for the other hosts.
    :param make_report: builds the report that is sent next.
    :param clock: monotonic clock in seconds.
    :param entries: registered hosts by name, this one included.
    :param listed: the registered hosts as last given, this one only if it is registered.
    :param departing: hosts that were removed from the list while still in contact: they finish
        their requests, and still use their share of the rates.
    :param listeners: called with each summary that is applied.
    :param load_exchange: collects the servers' loads for this host's summaries.
    :param last_contact: monotonic time by host of its last report or summary, or of the last
        summary that covers it.
    :param last_seen: monotonic time by host of its registration or last report, or of the last
        summary that covers it.
    :param differs_since: monotonic time by kind since which this copy has been missing something.
    :param newest_revisions: highest revision by kind that any host has reported.
    :param unregistered_peers: hosts that send messages but are missing from the list of hosts.
    :param usage: for the usage reports; ``None`` where no such reports are made.
    :param ranked_summary: the last summary whose hosts were ranked for the duty of reporting usage,
        and the first of them.
    :param share_contact: which hosts may use their shares of the rates.
    """

    __slots__ = (
        "clock",
        "copy",
        "departing",
        "differs_since",
        "entries",
        "fleet_share",
        "last_contact",
        "last_seen",
        "listed",
        "listeners",
        "load_exchange",
        "make_report",
        "make_status",
        "mesh",
        "newest_revisions",
        "own",
        "peak_size",
        "peak_size_at",
        "ranked_summary",
        "reports",
        "seeds",
        "share_contact",
        "started_at",
        "summary",
        "summary_at",
        "unregistered_peer_at",
        "unregistered_peers",
        "usage",
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
        clock: t.Callable[[], float] = uptime.now,
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
        self.listed: dict[str, HostEntry] = {}
        self.departing: dict[str, HostEntry] = {}
        self.peak_size = 1
        self.peak_size_at = float("-inf")
        self.reports: dict[str, ReceivedReport] = {}
        self.last_contact: dict[str, float] = {}
        self.last_seen: dict[str, float] = {}
        self.listeners: list[t.Callable[[FleetSummary], None]] = []
        self.load_exchange: LoadExchange | None = None
        self.summary: FleetSummary | None = None
        self.summary_at = float("-inf")
        self.started_at = self.clock()
        self.differs_since: dict[Kind, float] = {}
        self.newest_revisions: dict[Kind, int] = dict.fromkeys(Kind, 0)
        self.unregistered_peer_at = float("-inf")
        self.unregistered_peers: dict[str, HostAddress] = {}
        self.usage: UsageMessages | None = None
        self.ranked_summary: tuple[FleetSummary | None, list[str]] = (None, [])
        self.share_contact = ShareContact(own.peer_address, self.last_seen, self.started_at)
        mesh.on_unknown_sender = self._accept_unregistered
        mesh.subscribe(FleetReport, self._on_report)
        mesh.subscribe(FleetSummary, self._on_summary)
        mesh.subscribe(ObjectsChanged, self._on_changed)
        mesh.subscribe(Relayed, self._on_relayed)
        mesh.subscribe(CopyRequest, self._on_copy_request)
        mesh.subscribe(CopyAnswer, self._on_copy_answer)
        self.fleet_share.is_included = False
        self.update_hosts({})

    def update_hosts(self, entries: t.Mapping[str, HostEntry]) -> None:
        """Replace the registered hosts.

        :param entries: hosts by name.
        """
        now = self.clock()
        before = {**self.departing, **self.entries}
        self.listed = dict(entries)
        self.fleet_share.is_registered = self.own.peer_address in entries
        self.entries = {**entries, self.own.peer_address: self.own}
        self.departing = {
            name: entry
            for name, entry in before.items()
            if name not in self.entries and self._has_recent_contact(name, now)
        }
        for name in self.entries:
            self.last_seen.setdefault(name, now)
        self.share_contact.update_entries(entries, self.departing, now)
        for name in self.unregistered_peers.keys() & self.entries.keys():
            del self.unregistered_peers[name]
        self._update_directory()
        self._count_hosts(now)

    def role_candidates(self) -> list[str]:
        """Return the hosts that may have roles, on which all hosts have to agree.

        Without its entry this host is unknown to the others.
        """
        own = self.own.peer_address
        return [name for name in self.entries if name != own or self.fleet_share.is_registered]

    def _has_recent_contact(self, name: str, now: float) -> bool:
        return now - self.last_contact.get(name, float("-inf")) <= REPORT_MAX_AGE_S

    def _count_hosts(self, now: float) -> None:
        # A host in the summary has a share of the rates, whether it is registered or not.
        counted = () if self.summary is None else (status.name for status in self.summary.hosts)
        removed = self.share_contact.silent_shares.removed_hosts(now)
        self.fleet_share.hosts = len({*self.possible_hosts(now), *counted, *removed})

    def _update_directory(self) -> None:
        known = map(_host_address, itertools.chain(self.entries.values(), self.departing.values()))
        self.mesh.update_directory(
            [*known, *self._unregistered_seeds(), *self.unregistered_peers.values()]
        )

    def _is_known(self, name: str) -> bool:
        return any(
            name in known
            for known in (self.entries, self.departing, self.unregistered_peers, self.seeds)
        )

    def _accept_unregistered(self, name: str) -> None:
        # The sender may be the only one that can tell this host what its list of hosts lacks.
        now = self.clock()
        if now - self.unregistered_peer_at < UNREGISTERED_PEER_INTERVAL_S or not is_address(name):
            return
        self.unregistered_peer_at = now
        if len(self.unregistered_peers) >= UNREGISTERED_PEERS_MAX:
            del self.unregistered_peers[next(iter(self.unregistered_peers))]
        logger.info("message from an unregistered host", extra={"host": name})
        self.unregistered_peers[name] = HostAddress(
            name=name, region="", data_center="", address=name
        )
        self._update_directory()

    def possible_hosts(self, now: float) -> list[str]:
        """Return the registered hosts that may be running and use their share of the rates."""
        return [name for name in self.entries if self.share_contact.may_use_share(name, now)]

    def hosts_to_question(self, now: float) -> list[str]:
        """Return the silent hosts whose entry is to be marked as questioned."""
        if self.summary is None:
            return []
        present = {status.name for status in self.summary.hosts}
        return self.share_contact.hosts_to_question(present, self.last_contact, now)

    def lost_hosts(self, now: float) -> list[str]:
        """Return the registered hosts that have been silent for so long that they are removed."""
        return self.share_contact.silent_since(HOST_REMOVED_AFTER_S, now)

    def live_hosts(self, now: float) -> dict[str, HostStatus]:
        """Return the status of each host in a recent summary and of this host, by name."""
        own = self.make_status()
        if self.summary is None or now - self.summary_at > SUMMARY_MAX_AGE_S:
            return {own.name: own}
        statuses = {status.name: status for status in self.summary.hosts}
        return {**statuses, own.name: own}

    def is_formed(self) -> bool:
        """Return whether this host has joined a running fleet.

        True once the summary covers most of the registered hosts, and in any case some time after
        the start, since many hosts of a running fleet may be lost.
        """
        if self.clock() - self.started_at >= STARTUP_GRACE_S:
            return True
        reporting = 0 if self.summary is None else len(self.summary.hosts)
        return 1 < reporting > len(self.entries) / 2

    def follower_rank(self) -> int | None:
        """Return this host's rank among the store followers, from 0; ``None`` if it is not one.

        A host without a recent summary ranks first. Hosts that are leaving, and hosts that can't
        reach the store, are chosen only if there are no others.
        """
        chosen = self._store_followers()
        if chosen is None:
            return 0
        own = self.own.peer_address
        return chosen.index(own) if own in chosen else None

    def _store_followers(self) -> list[str] | None:
        """Return the names of the store followers; ``None`` without a recent summary."""
        now = self.clock()
        if self.summary is None or now - self.summary_at > SUMMARY_MAX_AGE_S:
            return None
        live = self.live_hosts(now).values()
        staying = [host for host in live if not host.is_leaving] or live
        able = [host.name for host in staying if host.reaches_store]
        names = able or [host.name for host in staying]
        return self.rank_for("follow", names)[:STORE_FOLLOWER_COUNT]

    def _update_own_share(self, now: float) -> None:
        if Kind.HOST not in self.copy.loaded_kinds:
            return
        own = self.make_status()
        present: set[str] = set()
        if self.summary is not None and now - self.summary_at <= SUMMARY_MAX_AGE_S:
            present = {status.name for status in self.summary.hosts}
        self.fleet_share.is_expired = self.share_contact.update_own_share(
            present, self.reaching_followers, own.reaches_store, now
        )

    def reaching_followers(self) -> list[str]:
        """Return the store followers that reach the store."""
        live = self.live_hosts(self.clock())
        followers = self._store_followers() or [self.own.peer_address]
        return [name for name in followers if name in live and live[name].reaches_store]

    def rank_for(self, role: str, names: t.Iterable[str]) -> list[str]:
        """Return the hosts that may take a role, in the order of their rank.

        :param role: name of the role, which is part of the hash.
        :param names: hosts that are able to take it.
        """
        known = [self.entries[name] for name in names if name in self.entries]
        candidates = high_capacity_hosts(known, HIGH_CAPACITY_HOSTS_MIN)
        return rank(role, (entry.peer_address for entry in candidates))

    def usage_candidate(self, now: float) -> str | None:
        """Return the host that should hold the duty of reporting usage; ``None`` if unknown.

        It has the rank of the aggregators, since these get the counts of all hosts anyway. The
        present holder remains the candidate while it ranks among them, since a change takes some
        seconds. All hosts send their reports also to a candidate that is no aggregator.
        """
        summary = self.summary
        if summary is None or now - self.summary_at > SUMMARY_MAX_AGE_S:
            return None
        # Ranking all hosts takes a hash for each of them, and their list changes only with the
        # summary.
        known, ranked = self.ranked_summary
        if known is not summary:
            staying = [status for status in summary.hosts if not status.is_leaving]
            reaching = [status.name for status in staying if status.reaches_store]
            unable = () if self.usage is None else self.usage.unable
            able = [name for name in reaching if name not in unable]
            names = able or reaching or [status.name for status in staying]
            ranked = self.rank_for("sum", names)[:AGGREGATOR_COUNT]
            self.ranked_summary = (summary, ranked)
        holding = None if self.usage is None else self.usage.holding
        if holding is not None and holding.address in ranked:
            return holding.address
        return ranked[0] if ranked else None

    def broadcast_changes(
        self, objects: list[StoredObject], after: int = 0, revision: int = 0
    ) -> None:
        """Send changes of one kind that were read from the store to all other hosts.

        :param after: revision after which these are all the changes up to ``revision``; 0 and 0
            where some may be missing.
        """
        message = ObjectsChanged(objects=objects, after=after, revision=revision)
        self._send_all(message, self._store_followers() or [])

    def request_copies(self) -> None:
        """Request the copies of other hosts, to start while the store is unavailable."""
        kinds = [kind for kind in Kind if kind not in self.copy.loaded_kinds]
        names = [*self.entries, *self.seeds]
        others = [name for name in names if name != self.own.peer_address]
        for name in others[:COPY_REQUESTS_MAX]:
            self.mesh.send(name, CopyRequest(kinds=kinds))

    async def run(self) -> None:
        """Send reports and summaries until cancelled."""
        while True:
            self.step(self.clock())
            large = len(self.entries) > LARGE_FLEET_HOSTS
            await asyncio.sleep(LARGE_FLEET_REPORT_INTERVAL_S if large else REPORT_INTERVAL_S)

    def step(self, now: float) -> None:
        """Send one report, and one summary if this host aggregates."""
        report = msgspec.structs.replace(
            self.make_report(), copy_state=self.copy.state(), size=self._update_peak_size(now)
        )
        own = self.own.peer_address
        aggregators = self._aggregators(now)
        receivers = aggregators
        if self.usage is not None:
            report = msgspec.structs.replace(report, usage=self.usage.build_report(now))
            receivers = list(dict.fromkeys([*aggregators, self.usage_candidate(now) or own]))
        self._record_report(own, report, now)
        if own not in aggregators:
            # Rejections last, so that the aggregators know them as well.
            report = msgspec.structs.replace(report, rejected=[])
        for name in receivers:
            if name != own:
                self.mesh.send(name, report)
        recent = {
            name: received.report
            for name, received in self.reports.items()
            if now - received.received_at <= REPORT_MAX_AGE_S
            and (name in self.entries or name in self.departing or name in self.unregistered_peers)
        }
        if own in aggregators or len(recent) > 1:
            summary = merge_reports(recent, self.copy.state())
            if self.usage is not None:
                summary.usage = self.usage.build_news(now)
            if self.load_exchange is not None:
                self.load_exchange.add_report(report.loads, now)
                summary.loads = self.load_exchange.take_reported(now)
            self._apply_summary(summary, now)
            # While a fleet starts, each host has only its own report and need not send it to all.
            # Later such summaries let hosts that lost contact find each other again.
            if len(recent) > 1 or now - self.started_at >= STARTUP_GRACE_S:
                self._send_all(summary, aggregators)
        if any(not self._has_recent_contact(name, now) for name in self.departing):
            self.update_hosts(self.listed)
        self._update_own_share(now)
        self._count_hosts(now)

    @property
    def size(self) -> int:
        """Nominal number of hosts in the fleet, on which the hosts agree within a second.

        It doesn't change during a rolling restart.
        """
        return self.peak_size if self.summary is None else self.summary.size

    def _update_peak_size(self, now: float) -> int:
        count = len(self.entries)
        if count >= self.peak_size or now - self.peak_size_at > PEAK_SIZE_HOLD_S:
            self.peak_size, self.peak_size_at = count, now
        return self.peak_size

    def _aggregators(self, now: float) -> list[str]:
        starting = now - self.started_at < STARTUP_GRACE_S
        names = [
            name
            for name in self.role_candidates()
            if name == self.own.peer_address
            or now - self.last_contact.get(name, float("-inf")) < REPORT_MAX_AGE_S
            or starting
            or now - self.last_seen[name] < STARTUP_GRACE_S
        ]
        return self.rank_for("sum", names)[:AGGREGATOR_COUNT]

    def _send_all(self, message: FleetSummary | ObjectsChanged, senders: t.Sequence[str]) -> None:
        """Send a message to all hosts.

        :param senders: names of the hosts that send the same news.
        """
        statuses = self.live_hosts(self.clock())
        hops = choose_hops(self.own, self._known_entries(), statuses, senders)
        for name in hops.others:
            self.mesh.send(name, message)
        # Hosts that can't register, as while the store is down, share the rates with the others.
        for name in self.unregistered_peers:
            if self._has_recent_contact(name, self.clock()):
                self.mesh.send(name, message)
        relayed = Relayed(origin=self.own.peer_address, message=message)
        for name in hops.relays:
            self.mesh.send(name, relayed)

    def _known_entries(self) -> t.Iterable[HostEntry]:
        return itertools.chain(self.entries.values(), self.departing.values())

    def _on_relayed(self, peer: Peer, message: Relayed) -> None:
        if not message.is_final:
            final = msgspec.structs.replace(message, is_final=True)
            for entry in choose_local_hosts(self.own, self._known_entries(), message.origin):
                # Hosts of an earlier release do not know relayed messages.
                self.mesh.send(entry.peer_address, final if entry.relays else message.message)
        if not self._is_known(message.origin):
            self._accept_unregistered(message.origin)
            return
        origin = Peer(message.origin, "", "")
        if isinstance(message.message, FleetSummary):
            self._on_summary(origin, message.message)
        else:
            self._on_changed(origin, message.message)

    def _record_report(self, name: str, report: FleetReport, now: float) -> None:
        self.reports[name] = ReceivedReport(report, now)
        if self.usage is not None and isinstance(report.usage, UsageReport):
            self.usage.record_report(name, report.usage, report.status.is_leaving, now)

    def _on_report(self, peer: Peer, message: FleetReport) -> None:
        now = self.clock()
        self._record_report(peer.name, message, now)
        if self.load_exchange is not None:
            self.load_exchange.add_report(message.loads, now)
        self.last_contact[peer.name] = self.last_seen[peer.name] = now
        if message.copy_state is not None:
            self._compare_copies(peer.name, message.copy_state, now)

    def _on_summary(self, peer: Peer, message: FleetSummary) -> None:
        now = self.clock()
        self.last_contact[peer.name] = now
        covered = 0 if self.summary is None else len(self.summary.hosts)
        stale = now - self.summary_at > LARGE_FLEET_REPORT_INTERVAL_S + REPORT_INTERVAL_S
        if stale or len(message.hosts) >= covered or self._is_first_aggregator(peer.name, now):
            self._apply_summary(message, now)
        self._compare_copies(peer.name, message.copy_state, now)

    def _is_first_aggregator(self, name: str, now: float) -> bool:
        return self._aggregators(now)[:1] == [name]

    def _apply_summary(self, summary: FleetSummary, now: float) -> None:
        self.summary = summary
        self.summary_at = now
        for status in summary.hosts:
            if status.name in self.entries:
                self.last_seen[status.name] = now
            if status.name in self.entries or status.name in self.departing:
                self.last_contact[status.name] = now
        self.fleet_share.hosts_reporting = max(1, len(summary.hosts))
        self.fleet_share.summary_at = now
        if self.usage is not None and isinstance(summary.usage, UsageNews):
            self.usage.apply_news(summary.usage, now)
        self._count_hosts(now)
        for listener in self.listeners:
            listener(summary)

    def _compare_copies(self, peer: str, other: CopyState, now: float) -> None:
        behind = [kind for kind in Kind if self._is_copy_behind(kind, other, now)]
        if behind:
            revisions = {
                kind.value: (self.copy.revisions[kind], self.newest_revisions[kind])
                for kind in behind
            }
            logger.info(
                "copy differs",
                extra={
                    "peer": peer,
                    "own_and_newest": revisions,
                    # Copies that are complete up to the same revision must be equal; otherwise
                    # one of them is wrong.
                    "same_revision": any(own == newest for own, newest in revisions.values()),
                },
            )
            self.mesh.send(peer, CopyRequest(kinds=behind))

    def _is_copy_behind(self, kind: Kind, other: CopyState, now: float) -> bool:
        # Whether this copy has been missing something for a while that the other copy has.
        theirs, own = other.revisions.get(kind, 0), self.copy.revisions[kind]
        self.newest_revisions[kind] = max(self.newest_revisions[kind], theirs)
        equal = other.digests.get(kind) == self.copy.digests[kind]
        if equal and kind in self.copy.loaded_kinds:
            # This copy also holds all changes up to the other copy's revision.
            self.copy.advance(kind, theirs)
            own = self.copy.revisions[kind]
        differs = theirs >= own and not equal
        is_incomplete = differs or kind not in self.copy.loaded_kinds
        if not is_incomplete:
            # Equality with an older copy does not show that this copy is complete.
            if theirs == self.newest_revisions[kind]:
                self.differs_since.pop(kind, None)
            return False
        if now - self.differs_since.setdefault(kind, now) <= COPY_DIFFERENCE_MAX_S:
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
        deleted = self.copy.find_deleted(message.kind, message.listing)
        for stored in (*message.listing.objects, *deleted):
            self.copy.apply(stored, peer.name)
        self.copy.advance(message.kind, message.listing.revision)

    def _unregistered_seeds(self) -> t.Iterable[HostAddress]:
        return (seed for name, seed in self.seeds.items() if name not in self.entries)


def _host_address(entry: HostEntry) -> HostAddress:
    return HostAddress(
        name=entry.peer_address,
        region=entry.region,
        data_center=entry.data_center,
        address=entry.peer_address,
        listen=entry.listen,
    )
