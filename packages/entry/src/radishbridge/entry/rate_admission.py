"""Admission of requests within the rates of workspaces, enforced across all hosts."""

from __future__ import annotations

import asyncio
import collections
import enum
import logging
import math
import typing as t
import zlib

from prometheus_client import CollectorRegistry, Counter

from radishbridge.entry import uptime
from radishbridge.entry.fleet import Fleet
from radishbridge.entry.messages import FleetSummary, TokenAnswer, TokenAsk
from radishbridge.entry.steering_state import SteeringState
from radishbridge.peers import Peer, rank
from radishbridge.steering import RateSlice, WorkspaceRule, is_rate_divided

# Longest wait for the answer to a token request, in seconds: a round trip between regions takes
# some 45 ms, and a lost packet is sent again after 0.2 s.
TOKEN_TIMEOUT_S = 0.3
# Maximum number of hosts that own slices of small rates: few, so that the number of connections
# grows linearly with the number of hosts.
SLICE_OWNERS_MAX = 8
# Slices of a small rate: with two owners, the loss of one leaves callers half of the rate.
SLICES_PER_RATE = 2
# Time in seconds without a summary that covers it after which an owner's slices go to other hosts.
# Two aggregators send a summary every 0.5 s, which covers a host for 1.1 s after its last report.
OWNER_SILENT_S = 1.2
# Time in seconds for which a new owner grants no tokens, so that all hosts have stopped asking its
# predecessor: three intervals between summaries.
TAKEOVER_PAUSE_S = 1.5
# Longest time in seconds for which no token is requested from a slice that was empty.
EMPTY_SLICE_PAUSE_MAX_S = 0.25
# Time in seconds for which an owner that did not answer is asked last.
UNANSWERED_PAUSE_S = 1.0
# Maximum number of unanswered token requests; beyond that, callers' requests are refused.
PENDING_REQUESTS_MAX = 2_000
# Interval in seconds between two log lines on decisions, and maximum number of workspaces in one.
LOG_INTERVAL_S = 1.0
LOGGED_WORKSPACES_MAX = 8

logger = logging.getLogger(__name__)


class SliceKey(t.NamedTuple):
    """Identifies a slice of a workspace's rate."""

    workspace: str
    number: int


class DecisionPath(enum.Enum):
    """How a request for a token of a workspace's rate was decided."""

    OWN_SHARE = "part"
    OWN_SLICE = "holder"
    REMOTE_GRANT = "asked"
    NO_ANSWER = "unanswered"
    FOR_REMOTE_HOST = "for others"


class DecisionLog:
    """Counts decisions by workspace and path, for the metrics and one log line a second.

    :param logged_at: monotonic time of the last log line.
    """

    __slots__ = ("decisions", "logged_at", "recent_counts")

    def __init__(self, registry: CollectorRegistry | None) -> None:
        self.decisions = Counter(
            "radishbridge_rate_decisions",
            "Decisions on rates of workspaces, by way.",
            ["way", "outcome"],
            registry=registry,
        )
        self.recent_counts: dict[str, collections.Counter[str]] = {}
        self.logged_at = 0.0

    def record(self, workspace: str, path: DecisionPath, admitted: bool) -> None:
        """Count one decision."""
        outcome = "admitted" if admitted else "refused"
        self.decisions.labels(path.value, outcome).inc()
        self.recent_counts.setdefault(workspace, collections.Counter())[
            f"{path.value} {outcome}"
        ] += 1

    def take_recent(self, now: float) -> dict[str, dict[str, int]]:
        """Return and reset the counts of the busiest workspaces; empty until a line is due."""
        if now - self.logged_at < LOG_INTERVAL_S or not self.recent_counts:
            return {}
        self.logged_at = now
        busiest = sorted(self.recent_counts, key=lambda name: -self.recent_counts[name].total())
        counts = {name: dict(self.recent_counts[name]) for name in busiest[:LOGGED_WORKSPACES_MAX]}
        self.recent_counts.clear()
        return counts


class RateAdmission:
    """Decides whether a request is within its workspace's rate.

    A rate that is large enough for each host to have a share of it is divided, and each host
    admits requests from its own share. A smaller rate is cut into slices, each of which is owned
    by one host, and other hosts request tokens from the owner. So no two hosts grant the same
    token.

    :param clock: monotonic clock in seconds.
    :param registry: where decisions are counted.
    :param pending: unanswered token requests by number.
    :param divided_rates: whether a workspace's rate is divided, by workspace.
    :param slice_empty_until: monotonic time by slice until which no token is requested from it.
    :param owner_unanswered_until: monotonic time by host until which it is asked last.
    :param candidates: hosts that may own slices.
    :param owners_changed_at: monotonic time at which the candidates last changed.
    """

    __slots__ = (
        "candidates",
        "clock",
        "decision_log",
        "divided_rates",
        "fleet",
        "next_request_number",
        "owner_unanswered_until",
        "owners_changed_at",
        "pending",
        "slice_empty_until",
        "slice_owners",
        "slices",
        "steering_state",
    )

    def __init__(
        self,
        steering_state: SteeringState,
        fleet: Fleet,
        clock: t.Callable[[], float] = uptime.now,
        registry: CollectorRegistry | None = None,
    ) -> None:
        self.steering_state = steering_state
        self.decision_log = DecisionLog(registry)
        self.fleet = fleet
        self.clock = clock
        self.slices: dict[SliceKey, RateSlice] = {}
        self.pending: dict[int, asyncio.Future[TokenAnswer]] = {}
        self.slice_owners: dict[SliceKey, str] = {}
        self.divided_rates: dict[str, bool] = {}
        self.slice_empty_until: dict[SliceKey, float] = {}
        self.owner_unanswered_until: dict[str, float] = {}
        self.candidates: tuple[str, ...] = ()
        self.owners_changed_at = clock()
        self.next_request_number = 0
        fleet.listeners.append(self._update_slice_owners)
        fleet.mesh.subscribe(TokenAsk, self._on_token_request)
        fleet.mesh.subscribe(TokenAnswer, self._on_token_answer)

    async def admit(self, workspace: str) -> float | None:
        """Take one token of a workspace's rate.

        :return: ``None`` if the request is admitted, otherwise the seconds until one may be.
        """
        rule = self._rule(workspace)
        if rule is None or not rule.rate_per_s:
            return None
        self._log_recent_decisions()
        if self._is_divided(rule):
            return self._admit_from_share(workspace)
        return await self._admit_from_slices(rule)

    def _rule(self, workspace: str) -> WorkspaceRule | None:
        configuration = self.steering_state.configuration
        return configuration.workspaces.get(workspace) if configuration else None

    def _is_divided(self, rule: WorkspaceRule) -> bool:
        # Hosts agree on the size of the fleet, but not on which hosts they are in contact with.
        name = rule.name
        divided = is_rate_divided(rule.burst, self.fleet.size)
        if self.divided_rates.setdefault(name, divided) is not divided:
            self.divided_rates[name] = divided
            self._reset_rate(name)
        return divided

    def _reset_rate(self, workspace: str) -> None:
        # The hosts that granted tokens of the rate until now may do so until they get the change.
        accrue_from = self.clock() + TAKEOVER_PAUSE_S
        self.steering_state.accrue_from[workspace] = accrue_from
        if workspace in self.steering_state.rate_limiters:
            self.steering_state.rate_limiters[workspace].reset(accrue_from)
        for slice_key in [key for key in self.slices if key.workspace == workspace]:
            del self.slices[slice_key]
        logger.info(
            "rate distribution changed",
            extra={"workspace": workspace, "divided": self.divided_rates[workspace]},
        )

    def _admit_from_share(self, workspace: str) -> float | None:
        now = self.clock()
        limiter = self.steering_state.rate_limiter(workspace, now)
        admitted = limiter.admit(self.steering_state.fleet_share, now)
        self.decision_log.record(workspace, DecisionPath.OWN_SHARE, admitted)
        return None if admitted else limiter.wait_s()

    async def _admit_from_slices(self, rule: WorkspaceRule) -> float | None:
        wait_s = math.inf
        for slice_key in self._slice_keys(rule):
            empty_s = self.slice_empty_until.get(slice_key, 0.0) - self.clock()
            if empty_s <= 0.0:
                token_wait_s = await self._take_token(slice_key)
                if token_wait_s is None:
                    return None
                empty_s = token_wait_s
                self.slice_empty_until[slice_key] = self.clock() + min(
                    EMPTY_SLICE_PAUSE_MAX_S, token_wait_s
                )
            wait_s = min(wait_s, empty_s)
        return wait_s

    def _slice_keys(self, rule: WorkspaceRule) -> list[SliceKey]:
        # Hosts start with different slices; owners that did not answer lately come last.
        now = self.clock()
        first = zlib.crc32(self.fleet.own.peer_address.encode())
        slice_keys = [
            SliceKey(rule.name, (first + number) % _slice_count(rule))
            for number in range(_slice_count(rule))
        ]
        return sorted(
            slice_keys,
            key=lambda key: self.owner_unanswered_until.get(self._slice_owner(key), 0.0) > now,
        )

    async def _take_token(self, slice_key: SliceKey) -> float | None:
        owner = self._slice_owner(slice_key)
        if owner == self.fleet.own.peer_address:
            return self._grant_token(slice_key, DecisionPath.OWN_SLICE)
        return await self._request_token(slice_key, owner)

    def _grant_token(self, slice_key: SliceKey, path: DecisionPath) -> float | None:
        rule = self._rule(slice_key.workspace)
        if rule is None or self._is_divided(rule) or slice_key.number >= _slice_count(rule):
            return EMPTY_SLICE_PAUSE_MAX_S
        if self._slice_owner(slice_key) != self.fleet.own.peer_address:
            return EMPTY_SLICE_PAUSE_MAX_S
        rate_slice = self._slice(rule, slice_key)
        admitted = rate_slice.take_token(self.steering_state.fleet_share, self.clock())
        self.decision_log.record(slice_key.workspace, path, admitted)
        return None if admitted else rate_slice.wait_s()

    async def _request_token(self, slice_key: SliceKey, owner: str) -> float | None:
        if len(self.pending) >= PENDING_REQUESTS_MAX:
            return EMPTY_SLICE_PAUSE_MAX_S
        self.next_request_number += 1
        number = self.next_request_number
        future: asyncio.Future[TokenAnswer] = asyncio.get_running_loop().create_future()
        self.pending[number] = future
        request = TokenAsk(
            workspace=slice_key.workspace, slice_number=slice_key.number, request_number=number
        )
        try:
            self.fleet.mesh.send(owner, request)
            async with asyncio.timeout(TOKEN_TIMEOUT_S):
                answer = await future
        except TimeoutError:
            # The owner may have granted the token, so that another one would exceed the rate.
            logger.info(
                "slice owner did not answer",
                extra={"workspace": slice_key.workspace, "holder": owner},
            )
            self.owner_unanswered_until[owner] = self.clock() + UNANSWERED_PAUSE_S
            self.decision_log.record(slice_key.workspace, DecisionPath.NO_ANSWER, False)
            return 0.0
        finally:
            self.pending.pop(number, None)
        self.decision_log.record(slice_key.workspace, DecisionPath.REMOTE_GRANT, answer.granted)
        return None if answer.granted else answer.wait_s

    def _slice_owner(self, slice_key: SliceKey) -> str:
        owner = self.slice_owners.get(slice_key)
        if owner is None:
            names = self.fleet.rank_for("rates", self.candidates)[:SLICE_OWNERS_MAX]
            own = self.fleet.own.peer_address
            ranked = rank(f"{slice_key.workspace}/{slice_key.number}", names)
            owner = self.slice_owners[slice_key] = next(iter(ranked), own)
        return owner

    def _update_slice_owners(self, summary: FleetSummary) -> None:
        all_divided = self._are_all_rates_divided()
        now, own = self.clock(), self.fleet.own.peer_address
        leaving = {status.name for status in summary.hosts if status.is_leaving}
        candidates = tuple(
            name
            for name in sorted(self.fleet.role_candidates())
            if name not in leaving and now - self.fleet.last_seen[name] < OWNER_SILENT_S
        )
        if candidates == self.candidates:
            return
        # Slices that this host owns already continue without a pause.
        if self.candidates:
            self._create_own_slices()
        self.candidates = candidates
        self.owners_changed_at = now
        self.slice_owners.clear()
        for slice_key in [key for key in self.slices if self._slice_owner(key) != own]:
            del self.slices[slice_key]
        self._create_own_slices()
        if not all_divided:
            self._connect_to_owners()

    def _create_own_slices(self) -> None:
        configuration = self.steering_state.configuration
        rules = configuration.workspaces.values() if configuration else ()
        for rule in rules:
            if rule.rate_per_s and not self._is_divided(rule):
                for number in range(_slice_count(rule)):
                    slice_key = SliceKey(rule.name, number)
                    if self._slice_owner(slice_key) == self.fleet.own.peer_address:
                        self._slice(rule, slice_key)

    def _slice(self, rule: WorkspaceRule, slice_key: SliceKey) -> RateSlice:
        rate, burst = (whole / _slice_count(rule) for whole in (rule.rate_per_s, rule.burst))
        rate_slice = self.slices.get(slice_key)
        if rate_slice is None:
            known_at = self.steering_state.accrue_from.get(rule.name, self.clock())
            since = max(self.owners_changed_at + TAKEOVER_PAUSE_S, known_at)
            rate_slice = self.slices[slice_key] = RateSlice(rate, burst, since)
        elif (rate_slice.rate_per_s, rate_slice.burst) != (rate, burst):
            rate_slice.set_rate(rate, burst)
        return rate_slice

    def _connect_to_owners(self) -> None:
        # Opens the connections in advance, which takes longer than callers should wait.
        for name in self.fleet.rank_for("rates", self.candidates)[:SLICE_OWNERS_MAX]:
            if name != self.fleet.own.peer_address:
                self.fleet.mesh.send(name, TokenAsk(workspace="", request_number=0))

    def _log_recent_decisions(self) -> None:
        now = self.clock()
        counts = self.decision_log.take_recent(now)
        if not counts:
            return
        fleet_share, limiters = self.steering_state.fleet_share, self.steering_state.rate_limiters
        logger.info(
            "rate decisions",
            extra={
                "workspaces": counts,
                "shares": {
                    name: round(limiters[name].share, 4) for name in counts if name in limiters
                },
                "hosts": fleet_share.hosts,
                "heard": fleet_share.hosts_reporting,
                "summary_age_ms": round((now - fleet_share.summary_at) * 1000.0),
            },
        )

    def _are_all_rates_divided(self) -> bool:
        # Checks every rule, without stopping at the first, so that no change is detected late.
        configuration = self.steering_state.configuration
        rules = configuration.workspaces.values() if configuration else ()
        divided = [self._is_divided(rule) for rule in rules if rule.rate_per_s]
        return all(divided)

    def _on_token_request(self, peer: Peer, message: TokenAsk) -> None:
        wait_s = self._grant_token(
            SliceKey(message.workspace, message.slice_number), DecisionPath.FOR_REMOTE_HOST
        )
        answer = TokenAnswer(
            request_number=message.request_number,
            granted=wait_s is None,
            wait_s=min(60.0, wait_s or 0.0),
        )
        self.fleet.mesh.send(peer.name, answer)

    def _on_token_answer(self, peer: Peer, message: TokenAnswer) -> None:
        future = self.pending.get(message.request_number)
        if future is not None and not future.done():
            future.set_result(message)


def _slice_count(rule: WorkspaceRule) -> int:
    # Each slice has to hold at least one token, or callers would have to wait for their first.
    return SLICES_PER_RATE if rule.burst >= 2.0 * SLICES_PER_RATE else 1
