"""What a host steers requests by, built from its copy of the store and the fleet's summaries."""

from __future__ import annotations

import asyncio
import logging
import typing as t

import msgspec

from radishbridge.entry import uptime
from radishbridge.entry.copy import ObjectCopy, ObjectKey
from radishbridge.entry.crash_reports import CrashReports
from radishbridge.entry.fleet import Fleet
from radishbridge.entry.load_exchange import LoadExchange
from radishbridge.entry.messages import ColdReport, FleetReport, FleetSummary, HostStatus
from radishbridge.entry.protocol import (
    DecodedObject,
    Decoder,
    DrainOrder,
    HostEntry,
    Kind,
    PlaceRecord,
    StoredObject,
)
from radishbridge.records import Failure
from radishbridge.steering import (
    Configuration,
    Evidence,
    FleetShare,
    HomeAdmission,
    HomeDemand,
    HomeMeter,
    HomeRegion,
    Move,
    MoveOrder,
    MovePhase,
    RateLimiter,
    RetryBudget,
    RouteRule,
    Selector,
    Server,
    ServerCriteria,
    SlowStart,
    decide_phase,
    stable_versions,
    unit_hash,
)
from radishbridge.steering.cold_checks import ColdServers
from radishbridge.steering.usage_counts import UsageCounter

# Number of this host's last reports whose demands are kept. A summary includes a report up to 1.1 s
# old and arrives up to 1.2 s later, at five reports a second.
REPORT_DEMANDS_KEPT = 16
# Maximum number of servers whose odd headers are logged once each.
ODD_SERVERS_MAX = 1_024
# Weight of the newest response in the mean size of a service's responses.
SIZE_SAMPLE_WEIGHT = 0.05
# Mean size in bytes above which a service's responses count as large, and responses needed to tell.
# At this size, transferring a response between regions costs more than computing it.
LARGE_RESPONSE_BYTES = 20_000.0
SIZE_SAMPLES_MIN = 5

logger = logging.getLogger(__name__)


class Bounds(t.NamedTuple):
    """Limits that operators set for all hosts together.

    :param retry_ratio: retries allowed per request.
    :param retry_allowance: retries allowed in each window in addition.
    :param retry_window_s: length of the window in seconds.
    :param exposure: fraction of a service's requests that a faulty version may get.
    :param slow_start_overage: factor on the rate of requests that a cold server may get.
    :param slow_start_slack: requests per second allowed in addition.
    """

    retry_ratio: float = 0.2
    retry_allowance: float = 50.0
    retry_window_s: float = 10.0
    exposure: float = 0.1
    slow_start_overage: float = 1.5
    slow_start_slack: float = 5.0


class Unreadable(t.NamedTuple):
    """A version of an object that cannot be decoded, and why."""

    version: int
    reason: str


class ResponseSizes:
    """Number and mean size in bytes of a service's responses."""

    __slots__ = ("count", "mean_bytes")

    def __init__(self) -> None:
        self.count = 0
        self.mean_bytes = 0.0

    def add(self, size: int) -> None:
        """Count one response.

        :param size: in bytes.
        """
        self.count += 1
        self.mean_bytes += max(SIZE_SAMPLE_WEIGHT, 1.0 / self.count) * (size - self.mean_bytes)

    @property
    def are_large(self) -> bool:
        """Return whether the responses are large; false until there are enough samples."""
        return self.count >= SIZE_SAMPLES_MIN and self.mean_bytes > LARGE_RESPONSE_BYTES


class SteeringState:
    """What this host steers requests by: configuration, servers, moves, drains and limits.

    It is updated by changes of the copy, by summaries, and by finished requests.

    :param host: name of this host.
    :param decoder: decodes stored objects.
    :param region: this host's region.
    :param clock: monotonic clock in seconds.
    :param fleet_share: this host's share of fleet-wide rates.
    :param accrue_from: monotonic time by workspace from which this host accrues tokens of its rate.
    :param reported_demands: demand by workspace in this host's last reports, by number of the
        report.
    :param fleet_demands: demand of all hosts by workspace in the last summary.
    :param load_exchange: exchanges servers' load reports with the other hosts.
    :param cold_servers: servers that this host found cold while the store was silent.
    :param crash_reports: crashes of servers, and the requests that are refused for them.
    :param odd_servers: servers of whose headers one was logged as not understood.
    :param place_records: records of places in the store, by object name.
    :param proven: whether the evidence of a service's version move shows no fault, by service.
    :param warm_pairs: servers and objects for which a server has answered a request before.
    :param unreadable: objects whose newest version cannot be decoded.
    :param usage: counts the requests that servers begin to run; ``None`` where usage is not
        reported.
    :param ready: set once this host knows enough to serve requests.
    """

    __slots__ = (
        "accrue_from",
        "bounds",
        "clock",
        "cold_servers",
        "configuration",
        "crash_reports",
        "decoder",
        "drains",
        "entries",
        "fleet_demands",
        "fleet_share",
        "home_admission",
        "home_meters",
        "host",
        "is_leaving",
        "load_exchange",
        "moves",
        "odd_servers",
        "orders",
        "place_records",
        "proven",
        "rate_limiters",
        "ready",
        "report_number",
        "reported_demands",
        "response_sizes",
        "retry_budgets",
        "selector",
        "slow_start",
        "unreadable",
        "usage",
        "warm_pairs",
    )

    def __init__(
        self,
        host: str,
        decoder: Decoder,
        bounds: Bounds,
        region: str = "",
        clock: t.Callable[[], float] = uptime.now,
    ) -> None:
        self.host = host
        self.clock = clock
        now = clock()
        self.decoder = decoder
        self.bounds = bounds
        self.configuration: Configuration | None = None
        self.slow_start = SlowStart(host, bounds.slow_start_overage, bounds.slow_start_slack)
        self.selector = Selector(self.slow_start, region)
        self.load_exchange = LoadExchange(self.selector)
        self.fleet_share = FleetShare(now)
        self.rate_limiters: dict[str, RateLimiter] = {}
        self.accrue_from: dict[str, float] = {}
        self.report_number = 0
        self.reported_demands: dict[int, dict[str, float]] = {}
        self.fleet_demands: dict[str, float] = {}
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.drains: dict[str, DrainOrder] = {}
        self.entries: dict[str, HostEntry] = {}
        self.orders: dict[str, MoveOrder] = {}
        self.moves: dict[str, Move] = {}
        self.place_records: dict[str, PlaceRecord] = {}
        self.proven: dict[str, bool] = {}
        self.warm_pairs: set[tuple[str, str]] = set()
        self.home_meters: dict[HomeRegion, HomeMeter] = {}
        self.home_admission = HomeAdmission(unit_hash(host, "home room"))
        self.response_sizes: dict[str, ResponseSizes] = {}
        self.cold_servers = ColdServers()
        self.crash_reports = CrashReports()
        self.odd_servers: set[str] = set()
        self.ready = asyncio.Event()
        self.is_leaving = False
        self.unreadable: dict[ObjectKey, Unreadable] = {}
        self.usage: UsageCounter | None = None

    @property
    def is_ready(self) -> bool:
        """Return whether this host knows enough to serve requests."""
        return self.ready.is_set()

    def leave(self) -> None:
        """Record that this host was told to stop."""
        self.is_leaving = True
        self.slow_start.leave()

    def apply_object(self, stored: StoredObject, source: str) -> None:
        """Apply a change of the copy.

        :param source: ``store``, or the host that sent it.
        """
        self._log_change(stored, source)
        if stored.value is None:
            self.unreadable.pop((stored.kind, stored.name), None)
            self._remove(stored)
            return
        decoded = self.decoder.decode(stored)
        if isinstance(decoded, Failure):
            logger.warning(
                "object cannot be decoded",
                extra={
                    "kind": stored.kind.value,
                    "object": stored.name,
                    "version": stored.version,
                    "reason": decoded.reason,
                },
            )
            self.unreadable[stored.kind, stored.name] = Unreadable(stored.version, decoded.reason)
            # The platform's rules: such an entry names no server. Objects of other kinds keep
            # their last version that could be decoded.
            if stored.kind is Kind.SERVER:
                self.selector.remove(stored.name)
            return
        self.unreadable.pop((stored.kind, stored.name), None)
        self._put(stored.name, decoded)

    def apply_summary(self, summary: FleetSummary) -> None:
        """Update limits, weights and version moves from a summary of all hosts."""
        now = self.clock()
        self._apply_demands(summary, now)
        for service, by_region in summary.home_bound.items():
            self._apply_home_demand(service, by_region, now)
        self.selector.update_median_latencies()
        self.load_exchange.apply_summary(summary.loads, now)
        for service in self.selector.loads:
            self.selector.record_pace(service)
        self._settle_places(now)
        self.crash_reports.apply_summary(summary, now)
        for cold in summary.cold_servers:
            self.selector.record_cold(cold.server, cold.incarnation, cold.cold_for_s, now)
        for service, move in self.moves.items():
            evidence = summary.evidence.get(service, Evidence())
            fault = move.find_fault(evidence, now)
            self.proven[service] = not fault
            if fault and not move.fault:
                move.fault = fault
                logger.warning("new version is bad", extra={"service": service, "reason": fault})

    def _settle_places(self, now: float) -> None:
        self.selector.settle_places(now)
        for report in self.selector.object_moves.take_reports(now):
            logger.info(
                "objects moved",
                extra={
                    "service": report.service,
                    "moved": report.total,
                    "compared": report.compared,
                    "by_cause": {cause.value: count for cause, count in report.moved.items()},
                },
            )

    def _apply_home_demand(
        self, service: str, by_region: t.Mapping[str, HomeDemand], now: float
    ) -> None:
        slots = self.selector.slots_by_region(service)
        needed = {
            region: self._limit_home_region(
                HomeRegion(service, region), demand, slots.get(region, 0)
            )
            for region, demand in by_region.items()
        }
        if self.selector.update_weights(service, needed, now):
            logger.info(
                "region weights",
                extra={
                    "service": service,
                    "weights": self.selector.weights[service].weights,
                    "slots": slots,
                    "home_bound": {region: round(count, 2) for region, count in needed.items()},
                },
            )

    def _limit_home_region(self, home: HomeRegion, demand: HomeDemand, slots: int) -> float:
        was_limited = home in self.home_admission.admitted_fractions
        needed = self.home_admission.update(home, demand, slots)
        fraction = self.home_admission.admitted_fractions.get(home)
        if was_limited != (fraction is not None):
            logger.info(
                (
                    "single-region requests limited"
                    if fraction
                    else "single-region requests unlimited"
                ),
                extra={
                    "service": home.service,
                    "region": home.region,
                    "part": fraction,
                    "slots": slots,
                    "needed": round(needed, 2),
                    "requests_per_s": demand.requests_per_s,
                    "under_way": demand.in_flight,
                },
            )
        return needed

    def _apply_demands(self, summary: FleetSummary, now: float) -> None:
        # A host's share is its own demand in a summary, divided by that summary's total. So the
        # shares of all hosts that use one summary add up to 1, whatever their demand is by now.
        own = next((status for status in summary.hosts if status.name == self.host), None)
        counted = None if own is None else self.reported_demands.get(own.report_number)
        self.fleet_share.is_included = counted is not None
        self.fleet_demands = summary.demands
        for name, limiter in self.rate_limiters.items():
            reported = 0.0 if counted is None else counted.get(name, 0.0)
            limiter.update_demand(
                self.fleet_share, reported, self.fleet_demands.get(name, 0.0), now
            )

    def build_report(self, status: HostStatus) -> FleetReport:
        """Return the report for the aggregators, and keep the demands that it contains."""
        now = self.clock()
        rates = {name: limiter.demand.rate(now) for name, limiter in self.rate_limiters.items()}
        demands = {name: round(rate, 2) for name, rate in rates.items() if rate > 0.01}
        self.report_number += 1
        self.reported_demands[self.report_number] = demands
        while len(self.reported_demands) > REPORT_DEMANDS_KEPT:
            del self.reported_demands[next(iter(self.reported_demands))]
        home_bound: dict[str, dict[str, HomeDemand]] = {}
        for home, meter in self.home_meters.items():
            home_bound.setdefault(home.service, {})[home.region] = meter.demand(now)
        return FleetReport(
            status=msgspec.structs.replace(status, report_number=self.report_number),
            demands=demands,
            home_bound=home_bound,
            evidence={service: move.evidence for service, move in self.moves.items()},
            crashes=self.crash_reports.crashes_to_report(now),
            cold_servers=[
                ColdReport(name, cold.incarnation, round(cold.until - now, 2))
                for name, cold in self.cold_servers.to_report(now).items()
            ],
            cleared=self.crash_reports.cleared_to_report(now),
            rejected=self.crash_reports.rejected_to_report(now),
            loads=self.load_exchange.take_own(now),
        )

    def rate_limiter(self, workspace: str, now: float) -> RateLimiter:
        """Return this host's rate limiter of a workspace."""
        limiter = self.rate_limiters.get(workspace)
        if limiter is None:
            rule = self.configuration.workspaces.get(workspace) if self.configuration else None
            rate, burst = (rule.rate_per_s, rule.burst) if rule else (0.0, 0.0)
            total = self.fleet_demands.get(workspace, 0.0)
            share = self.fleet_share.fraction(0.0, total, now)
            since = self.accrue_from.get(workspace, now)
            limiter = self.rate_limiters[workspace] = RateLimiter(rate, burst, share, since)
            limiter.total_demand = total
        return limiter

    def retry_budget(self, service: str, now: float) -> RetryBudget:
        """Return this host's retry budget of a service."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            bounds = self.bounds
            budget = self.retry_budgets[service] = RetryBudget(
                bounds.retry_ratio, bounds.retry_allowance, bounds.retry_window_s, now
            )
        budget.hosts = self.fleet_share.hosts
        return budget

    def home_meter(self, home: HomeRegion, now: float) -> HomeMeter:
        """Return the meter of the requests that only one region may run."""
        meter = self.home_meters.get(home)
        if meter is None:
            meter = self.home_meters[home] = HomeMeter(now)
        return meter

    def server_criteria(self, service: str, route: RouteRule, key: str) -> list[ServerCriteria]:
        """Return the criteria for servers of a request, in order of preference.

        The versions follow the service's version move. The caller fills in the home regions.

        :param key: the request's affinity key, or its id if the route has no affinity.
        """
        counts = self.selector.servers_by_version(service)
        criteria = ServerCriteria(service, key, None, None, route.has_affinity)
        move = self.moves.get(service)
        if move is None:
            return [criteria._replace(versions=stable_versions(counts))]
        target = move.order.to_version
        share = move.share(self.clock(), self.proven.get(service, False))
        if share >= 1.0 and target in counts:
            return [criteria._replace(versions=frozenset({target}))]
        old = stable_versions(counts, without=target)
        rest = criteria._replace(versions=old)
        if share <= 0.0 or target not in counts:
            return [rest]
        if not old:
            return [criteria._replace(versions=frozenset({target}))]
        if not move.uses_new_version(route.name, key, share):
            return [rest]
        old_count = sum(counts[version] for version in old)
        names = move.choose_servers(self.selector.server_names(service, target), old_count, share)
        return [criteria._replace(versions=frozenset({target}), names=names), rest]

    def record_response(
        self,
        service: str,
        route: RouteRule,
        server: Server,
        key: str,
        latency_s: float,
        failed: bool,
    ) -> None:
        """Add a response to the evidence of the service's version move, if there is one."""
        move = self.moves.get(service)
        if move is None or move.order.phase in (MovePhase.COMPLETED, MovePhase.ROLLED_BACK):
            return
        state = self.selector.states.get(server.name)
        cold = state is None or state.is_cold(self.clock())
        warm = (server.name, key) in self.warm_pairs and not cold
        self.warm_pairs.add((server.name, key))
        is_new = server.version == move.order.to_version
        move.evidence.add(route.name, is_new, latency_s, failed, warm)

    def record_response_size(self, service: str, size: int) -> None:
        """Record the size of a response in bytes."""
        sizes = self.response_sizes.setdefault(service, ResponseSizes())
        sizes.add(size)
        if sizes.are_large:
            self.selector.prefer_own_region(service)

    def record_leaving(self, server: Server) -> bool:
        """Record that a server has said that it is leaving; return whether that was not known."""
        if not self.selector.record_leaving(server):
            return False
        logger.info(
            "server is leaving",
            extra={
                "server": server.name,
                "incarnation": server.incarnation,
                "service": server.service,
                "source": "response",
            },
        )
        return True

    def record_pause(self, server: Server, pause_s: float) -> None:
        """Record that a server wants no requests of this host for a while.

        :param pause_s: in seconds.
        """
        if self.selector.record_pause(server, pause_s, self.clock()):
            logger.info(
                "server asked for a pause",
                extra={
                    "server": server.name,
                    "incarnation": server.incarnation,
                    "service": server.service,
                    "pause_s": round(pause_s, 2),
                    "source": "response",
                },
            )

    def record_cold(self, server: Server, cold_for_s: float) -> None:
        """Record that a status check, or a crash, shows that a server is in its slow start.

        :param cold_for_s: rest of the slow start in seconds.
        """
        now = self.clock()
        self.cold_servers.record(server.name, server.incarnation, cold_for_s, now)
        if self.selector.record_cold(server.name, server.incarnation, cold_for_s, now):
            logger.info(
                "server found cold",
                extra={
                    "server": server.name,
                    "service": server.service,
                    "for_s": round(cold_for_s, 2),
                },
            )

    def record_odd_header(self, server: Server, reason: str) -> None:
        """Log the first header of a server that can't be understood."""
        if server.name in self.odd_servers:
            return
        if len(self.odd_servers) >= ODD_SERVERS_MAX:
            self.odd_servers.clear()
        self.odd_servers.add(server.name)
        logger.warning(
            "response header not understood",
            extra={"server": server.name, "service": server.service, "reason": reason},
        )

    def move_phase(self, service: str, evidence: Evidence, now: float) -> MovePhase:
        """Return the phase of a service's move by the evidence of all hosts."""
        return decide_phase(self.moves[service], evidence, now)

    def newest_place_record(self, service: str) -> PlaceRecord | None:
        """Return the record of a service's places that applies; ``None`` if there is none."""
        records = (record for record in self.place_records.values() if record.service == service)
        return max(records, key=lambda record: record.sequence, default=None)

    def _log_change(self, stored: StoredObject, source: str) -> None:
        # Objects that a host reads when it starts are not logged one by one; one line reports the
        # end of the start.
        if not self.is_ready:
            return
        logger.info(
            "object changed",
            extra={
                "kind": stored.kind.value,
                "object": stored.name,
                "version": stored.version,
                "deleted": stored.value is None,
                "source": source,
            },
        )

    def _put(self, name: str, decoded: DecodedObject) -> None:
        now = self.clock()
        if isinstance(decoded, Configuration):
            self._put_configuration(decoded)
        elif isinstance(decoded, Server):
            self.selector.put(decoded, now)
        elif isinstance(decoded, DrainOrder):
            self.drains[name] = decoded
            self._apply_drains()
        elif isinstance(decoded, PlaceRecord):
            self.place_records[name] = decoded
            newest = self.newest_place_record(decoded.service)
            if newest is decoded:
                self.selector.adopt_places(decoded.service, decoded.places)
        elif isinstance(decoded, HostEntry):
            self.entries[decoded.peer_address] = decoded
            self.slow_start.update_hosts(self.entries)
        else:
            self._put_order(name, decoded, now)

    def _put_configuration(self, configuration: Configuration) -> None:
        current = self.configuration
        if current is not None and current.version >= configuration.version:
            return
        self.configuration = configuration
        now = self.clock()
        for name in configuration.workspaces:
            self.accrue_from.setdefault(name, now)
        self.selector.rules = configuration.services
        for name, limiter in self.rate_limiters.items():
            rule = configuration.workspaces.get(name)
            limiter.set_rate(rule.rate_per_s if rule else 0.0, rule.burst if rule else 0.0)
        logger.info("configuration in force", extra={"version": configuration.version})

    def _put_order(self, name: str, order: MoveOrder, now: float) -> None:
        self.orders[name] = order
        move = self.moves.get(order.service)
        if move is not None and move.order.to_version == order.to_version:
            move.order = order
        else:
            self.moves[order.service] = Move(order, self.bounds.exposure, now)
        phase = order.phase.value if order.phase else "new"
        logger.info(
            "version move",
            extra={"service": order.service, "to_version": order.to_version, "phase": phase},
        )

    def _remove(self, stored: StoredObject) -> None:
        if stored.kind is Kind.SERVER:
            self.selector.remove(stored.name)
        elif stored.kind is Kind.DRAIN:
            self.drains.pop(stored.name, None)
            self._apply_drains()
        elif stored.kind is Kind.HOST and stored.name in self.place_records:
            del self.place_records[stored.name]
        elif stored.kind is Kind.HOST:
            self.entries.pop(stored.name, None)
            self.slow_start.update_hosts(self.entries)
        elif stored.kind is Kind.MOVE:
            order = self.orders.pop(stored.name, None)
            if order is not None and order.phase is not MovePhase.ROLLED_BACK:
                self.moves.pop(order.service, None)

    def _apply_drains(self) -> None:
        centers = {order.data_center for order in self.drains.values()}
        logger.info("drained data centres", extra={"data_centers": sorted(centers)})
        self.selector.set_drained(centers)


def subscribe_state(steering_state: SteeringState, copy: ObjectCopy, fleet: Fleet) -> None:
    """Subscribe the state to changes of the copy and to summaries of the fleet."""

    def on_change(stored: StoredObject, source: str) -> None:
        steering_state.apply_object(stored, source)
        if stored.kind is Kind.HOST:
            fleet.update_hosts(steering_state.entries)

    copy.listeners.append(on_change)
    fleet.listeners.append(steering_state.apply_summary)
    fleet.load_exchange = steering_state.load_exchange
