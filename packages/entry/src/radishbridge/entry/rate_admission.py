"""Admission of requests within the rates of workspaces, over all hosts together."""

from __future__ import annotations

import asyncio
import collections
import enum
import logging
import math
import time
import typing as t
import zlib

from prometheus_client import CollectorRegistry, Counter

from radishbridge.entry.fleet import Fleet
from radishbridge.entry.messages import FleetSummary, TokenAnswer, TokenAsk
from radishbridge.entry.steering_state import SteeringState
from radishbridge.peers import Peer, rank
from radishbridge.steering import RateSlice, WorkspaceRule, is_rate_divided

# Longest wait for another host's token in seconds: a round trip between regions takes some 45 ms,
# and a lost packet is sent again after 0.2 s.
ASK_S = 0.3
# Hosts that hand out small rates: few, so that connections grow with the number of hosts alone.
HOLDERS = 8
# Slices of a small rate: with two holders, the loss of one leaves callers half of the rate.
SLICES = 2
# Time in seconds without a sum that names it after which a holder's slices go to another host. Two
# hosts send a sum every 0.5 s, and it names a host for 1.1 s after its last report.
HOLDER_SILENT_S = 1.2
# Time in seconds for which a new holder hands out nothing, so that all hosts have left the one
# before it: three pauses between sums.
TAKE_OVER_S = 1.5
# Longest time in seconds for which a slice that was empty is not asked for again, and for which a
# holder that did not answer is asked last.
EMPTY_MAX_S = 0.25
SILENT_S = 1.0
# Most questions under way; beyond, requests are refused.
ASKS_MAX = 2_000
# Pause in seconds between two log lines on what was admitted, and most workspaces in one of them.
LOG_S = 1.0
LOGGED_MAX = 8

logger = logging.getLogger(__name__)


class Piece(t.NamedTuple):
    """A slice of a workspace's rate, by number."""

    workspace: str
    number: int


class Way(enum.Enum):
    """What a request of a workspace was admitted or refused by."""

    PART = "part"
    HOLDER = "holder"
    ASKED = "asked"
    UNANSWERED = "unanswered"
    FOR_OTHERS = "for others"


class RateLedger:
    """Counts decisions by workspace and way, for the metrics and one log line a second.

    :param reported_at: monotonic time of the last line.
    """

    __slots__ = ("decisions", "recent", "reported_at")

    def __init__(self, registry: CollectorRegistry | None) -> None:
        self.decisions = Counter(
            "radishbridge_rate_decisions",
            "Decisions on rates of workspaces, by way.",
            ["way", "outcome"],
            registry=registry,
        )
        self.recent: dict[str, collections.Counter[str]] = {}
        self.reported_at = 0.0

    def note(self, workspace: str, way: Way, admitted: bool) -> None:
        """Count one decision."""
        outcome = "admitted" if admitted else "refused"
        self.decisions.labels(way.value, outcome).inc()
        self.recent.setdefault(workspace, collections.Counter())[f"{way.value} {outcome}"] += 1

    def flush(self, now: float) -> dict[str, dict[str, int]]:
        """Return the busiest workspaces' counts since the last call; empty before it is due."""
        if now - self.reported_at < LOG_S or not self.recent:
            return {}
        self.reported_at = now
        busiest = sorted(self.recent, key=lambda name: -self.recent[name].total())
        found = {name: dict(self.recent[name]) for name in busiest[:LOGGED_MAX]}
        self.recent.clear()
        return found


class RateAdmission:
    """Decides on each request with a workspace's rate.

    A rate that is large enough for each host to have a part of it is divided, and decided
    on here at once. A smaller one is cut into slices, and of each slice one host hands out the
    tokens: no token has two hosts that may hand it out.

    :param clock: monotonic clock in seconds.
    :param registry: where decisions are counted.
    :param changed_at: monotonic time at which the hosts that hand out slices last changed.
    """

    __slots__ = (
        "changed_at",
        "clock",
        "divided",
        "empty_until",
        "fleet",
        "holders",
        "ledger",
        "names",
        "next_number",
        "pending",
        "silent_until",
        "slices",
        "steering_state",
    )

    def __init__(
        self,
        steering_state: SteeringState,
        fleet: Fleet,
        clock: t.Callable[[], float] = time.monotonic,
        registry: CollectorRegistry | None = None,
    ) -> None:
        self.steering_state = steering_state
        self.ledger = RateLedger(registry)
        self.fleet = fleet
        self.clock = clock
        self.slices: dict[Piece, RateSlice] = {}
        self.pending: dict[int, asyncio.Future[TokenAnswer]] = {}
        self.holders: dict[Piece, str] = {}
        self.divided: dict[str, bool] = {}
        self.empty_until: dict[Piece, float] = {}
        self.silent_until: dict[str, float] = {}
        self.names: tuple[str, ...] = ()
        self.changed_at = clock()
        self.next_number = 0
        fleet.listeners.append(self._note_hosts)
        fleet.mesh.subscribe(TokenAsk, self._on_ask)
        fleet.mesh.subscribe(TokenAnswer, self._on_answer)

    async def admit(self, workspace: str) -> float | None:
        """Spend one request of a workspace's rate.

        :return: ``None`` where it may run, otherwise the seconds until one may.
        """
        rule = self._rule(workspace)
        if rule is None or not rule.rate_per_s:
            return None
        self._log_decisions()
        if self._is_divided(rule):
            return self._admit_here(workspace)
        return await self._draw(rule)

    def _rule(self, workspace: str) -> WorkspaceRule | None:
        configuration = self.steering_state.configuration
        return configuration.workspaces.get(workspace) if configuration else None

    def _is_divided(self, rule: WorkspaceRule) -> bool:
        # Hosts agree on the size of the fleet, but not on which of it they hear.
        name = rule.name
        divided = is_rate_divided(rule.burst, self.fleet.size)
        if self.divided.setdefault(name, divided) is not divided:
            self.divided[name] = divided
            self._begin_anew(name)
        return divided

    def _begin_anew(self, workspace: str) -> None:
        # Whoever handed out the rate before may do so until it has learned of the change as well.
        accrue_from = self.clock() + TAKE_OVER_S
        self.steering_state.accrue_from[workspace] = accrue_from
        if workspace in self.steering_state.rate_limiters:
            self.steering_state.rate_limiters[workspace].reset(accrue_from)
        for piece in [one for one in self.slices if one.workspace == workspace]:
            del self.slices[piece]
        logger.info(
            "rate handed out anew",
            extra={"workspace": workspace, "divided": self.divided[workspace]},
        )

    def _admit_here(self, workspace: str) -> float | None:
        now = self.clock()
        limiter = self.steering_state.rate_limiter(workspace, now)
        admitted = limiter.admit(self.steering_state.fleet_share, now)
        self.ledger.note(workspace, Way.PART, admitted)
        return None if admitted else limiter.wait_s()

    async def _draw(self, rule: WorkspaceRule) -> float | None:
        wait_s = math.inf
        for piece in self._pieces(rule):
            empty_s = self.empty_until.get(piece, 0.0) - self.clock()
            if empty_s <= 0.0:
                answer_s = await self._take(piece)
                if answer_s is None:
                    return None
                empty_s = answer_s
                self.empty_until[piece] = self.clock() + min(EMPTY_MAX_S, answer_s)
            wait_s = min(wait_s, empty_s)
        return wait_s

    def _pieces(self, rule: WorkspaceRule) -> list[Piece]:
        # Hosts begin with different slices, and with a holder that answers.
        now = self.clock()
        first = zlib.crc32(self.fleet.own.peer_address.encode())
        pieces = [
            Piece(rule.name, (first + number) % _slice_count(rule))
            for number in range(_slice_count(rule))
        ]
        return sorted(pieces, key=lambda one: self.silent_until.get(self._holder(one), 0.0) > now)

    async def _take(self, piece: Piece) -> float | None:
        holder = self._holder(piece)
        if holder == self.fleet.own.peer_address:
            return self._hand_out(piece, Way.HOLDER)
        return await self._ask(piece, holder)

    def _hand_out(self, piece: Piece, way: Way) -> float | None:
        rule = self._rule(piece.workspace)
        if rule is None or self._is_divided(rule) or piece.number >= _slice_count(rule):
            return EMPTY_MAX_S
        if self._holder(piece) != self.fleet.own.peer_address:
            return EMPTY_MAX_S
        held = self._slice(rule, piece)
        admitted = held.take_token(self.steering_state.fleet_share, self.clock())
        self.ledger.note(piece.workspace, way, admitted)
        return None if admitted else held.wait_s()

    async def _ask(self, piece: Piece, holder: str) -> float | None:
        if len(self.pending) >= ASKS_MAX:
            return EMPTY_MAX_S
        self.next_number += 1
        number = self.next_number
        future: asyncio.Future[TokenAnswer] = asyncio.get_running_loop().create_future()
        self.pending[number] = future
        question = TokenAsk(workspace=piece.workspace, piece=piece.number, number=number)
        try:
            self.fleet.mesh.send(holder, question)
            async with asyncio.timeout(ASK_S):
                answer = await future
        except TimeoutError:
            # The holder may have granted it: a token from elsewhere would be one too many.
            logger.info("no token", extra={"workspace": piece.workspace, "holder": holder})
            self.silent_until[holder] = self.clock() + SILENT_S
            self.ledger.note(piece.workspace, Way.UNANSWERED, False)
            return 0.0
        finally:
            self.pending.pop(number, None)
        self.ledger.note(piece.workspace, Way.ASKED, answer.granted)
        return None if answer.granted else answer.wait_s

    def _holder(self, piece: Piece) -> str:
        holder = self.holders.get(piece)
        if holder is None:
            names = self.fleet.rank_for("rates", self.names)[:HOLDERS]
            own = self.fleet.own.peer_address
            chosen = rank(f"{piece.workspace}/{piece.number}", names)
            holder = self.holders[piece] = next(iter(chosen), own)
        return holder

    def _note_hosts(self, summary: FleetSummary) -> None:
        all_divided = self._are_all_divided()
        now, own = self.clock(), self.fleet.own.peer_address
        leaving = {status.name for status in summary.hosts if status.is_leaving}
        names = tuple(
            name
            for name in sorted(self.fleet.entries)
            if name not in leaving and now - self.fleet.last_seen[name] < HOLDER_SILENT_S
        )
        if names == self.names:
            return
        # What this host has handed out so far goes on without a pause.
        if self.names:
            self._open_slices()
        self.names = names
        self.changed_at = now
        self.holders.clear()
        for piece in [one for one in self.slices if self._holder(one) != own]:
            del self.slices[piece]
        self._open_slices()
        if not all_divided:
            self._greet_holders()

    def _open_slices(self) -> None:
        configuration = self.steering_state.configuration
        rules = configuration.workspaces.values() if configuration else ()
        for rule in rules:
            if rule.rate_per_s and not self._is_divided(rule):
                for number in range(_slice_count(rule)):
                    piece = Piece(rule.name, number)
                    if self._holder(piece) == self.fleet.own.peer_address:
                        self._slice(rule, piece)

    def _slice(self, rule: WorkspaceRule, piece: Piece) -> RateSlice:
        rate, burst = (whole / _slice_count(rule) for whole in (rule.rate_per_s, rule.burst))
        held = self.slices.get(piece)
        if held is None:
            known_at = self.steering_state.accrue_from.get(rule.name, self.clock())
            since = max(self.changed_at + TAKE_OVER_S, known_at)
            held = self.slices[piece] = RateSlice(rate, burst, since)
        elif (held.rate_per_s, held.burst) != (rate, burst):
            held.set_rate(rate, burst)
        return held

    def _greet_holders(self) -> None:
        # A first question opens a connection, which takes longer than callers should wait.
        for name in self.fleet.rank_for("rates", self.names)[:HOLDERS]:
            if name != self.fleet.own.peer_address:
                self.fleet.mesh.send(name, TokenAsk(workspace="", number=0))

    def _log_decisions(self) -> None:
        now = self.clock()
        counts = self.ledger.flush(now)
        if not counts:
            return
        fleet_share, limiters = self.steering_state.fleet_share, self.steering_state.rate_limiters
        logger.info(
            "rates",
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

    def _are_all_divided(self) -> bool:
        # Looks at every rule, so that each change is noted when it comes.
        configuration = self.steering_state.configuration
        rules = configuration.workspaces.values() if configuration else ()
        divided = [self._is_divided(rule) for rule in rules if rule.rate_per_s]
        return all(divided)

    def _on_ask(self, peer: Peer, message: TokenAsk) -> None:
        wait_s = self._hand_out(Piece(message.workspace, message.piece), Way.FOR_OTHERS)
        answer = TokenAnswer(
            number=message.number, granted=wait_s is None, wait_s=min(60.0, wait_s or 0.0)
        )
        self.fleet.mesh.send(peer.name, answer)

    def _on_answer(self, peer: Peer, message: TokenAnswer) -> None:
        future = self.pending.get(message.number)
        if future is not None and not future.done():
            future.set_result(message)


def _slice_count(rule: WorkspaceRule) -> int:
    # A slice has to hold a token, or callers find none at once.
    return SLICES if rule.burst >= 2.0 * SLICES else 1
