"""Admission of requests within the rates of workspaces, over all hosts together."""

from __future__ import annotations

import asyncio
import collections
import enum
import logging
import time
import typing as t

from prometheus_client import CollectorRegistry, Counter

from radishbridge.entry.board import Board
from radishbridge.entry.fleet import Fleet
from radishbridge.entry.messages import FleetSummary, TokenAnswer, TokenAsk
from radishbridge.peers import Peer, rank
from radishbridge.steering import WholeRate, is_divided

# Longest wait for another host's token in seconds: a round trip between regions takes some 45 ms,
# and a lost packet is sent again after 0.2 s.
ASK_S = 0.3
# Hosts that hand out small rates: few, so that connections grow with the number of hosts alone.
HOLDERS = 8
# Most questions under way; beyond, the host's own part decides.
ASKS_MAX = 2_000
# Pause in seconds between two log lines on what was admitted, and most workspaces in one of them.
LOG_S = 1.0
LOGGED_MAX = 8

logger = logging.getLogger(__name__)


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


class RateDesk:
    """Decides on each request with a workspace's rate.

    A rate that is large enough for each host to have a part of it is divided, and decided
    on here at once. For a smaller one, one host hands out the tokens.

    :param clock: monotonic clock in seconds.
    :param registry: where decisions are counted.
    """

    __slots__ = (
        "board",
        "clock",
        "fleet",
        "holders",
        "ledger",
        "names",
        "next_number",
        "pending",
        "whole",
    )

    def __init__(
        self,
        board: Board,
        fleet: Fleet,
        clock: t.Callable[[], float] = time.monotonic,
        registry: CollectorRegistry | None = None,
    ) -> None:
        self.board = board
        self.ledger = RateLedger(registry)
        self.fleet = fleet
        self.clock = clock
        self.whole: dict[str, WholeRate] = {}
        self.pending: dict[int, asyncio.Future[TokenAnswer]] = {}
        self.holders: dict[str, str] = {}
        self.names: tuple[str, ...] = ()
        self.next_number = 0
        fleet.listeners.append(self._greet_holders)
        fleet.mesh.subscribe(TokenAsk, self._on_ask)
        fleet.mesh.subscribe(TokenAnswer, self._on_answer)

    async def admit(self, workspace: str) -> float | None:
        """Spend one request of a workspace's rate.

        :return: ``None`` where it may run, otherwise the seconds until one may.
        """
        configuration = self.board.configuration
        rule = configuration.workspaces.get(workspace) if configuration else None
        if rule is None or not rule.rate_per_s:
            return None
        self._log_decisions()
        if is_divided(rule.burst, self.board.part.hosts):
            return self._admit_here(workspace, Way.PART)
        holder = self._holder(workspace)
        if holder == self.fleet.own.peer_address:
            return self._hand_out(workspace, Way.HOLDER)
        return await self._ask(workspace, holder)

    def _admit_here(self, workspace: str, way: Way) -> float | None:
        now = self.clock()
        limiter = self.board.limiter(workspace, now)
        admitted = limiter.admit(self.board.part, now)
        self.ledger.note(workspace, way, admitted)
        return None if admitted else limiter.wait_s()

    def _hand_out(self, workspace: str, way: Way) -> float | None:
        now = self.clock()
        configuration = self.board.configuration
        rule = configuration.workspaces.get(workspace) if configuration else None
        if rule is None:
            return 1.0
        whole = self.whole.get(workspace)
        if whole is None:
            whole = self.whole[workspace] = WholeRate(rule.rate_per_s, rule.burst, now)
        elif (whole.rate_per_s, whole.burst) != (rule.rate_per_s, rule.burst):
            whole.set_rate(rule.rate_per_s, rule.burst)
        admitted = whole.take(self.board.part, now)
        self.ledger.note(workspace, way, admitted)
        return None if admitted else whole.wait_s()

    async def _ask(self, workspace: str, holder: str) -> float | None:
        if len(self.pending) >= ASKS_MAX:
            return self._admit_here(workspace, Way.UNANSWERED)
        self.next_number += 1
        number = self.next_number
        future: asyncio.Future[TokenAnswer] = asyncio.get_running_loop().create_future()
        self.pending[number] = future
        try:
            self.fleet.mesh.send(holder, TokenAsk(workspace=workspace, number=number))
            async with asyncio.timeout(ASK_S):
                answer = await future
        except TimeoutError:
            logger.info("no token", extra={"workspace": workspace, "holder": holder})
            return self._admit_here(workspace, Way.UNANSWERED)
        finally:
            self.pending.pop(number, None)
        self.ledger.note(workspace, Way.ASKED, answer.granted)
        return None if answer.granted else answer.wait_s

    def _holder(self, workspace: str) -> str:
        holder = self.holders.get(workspace)
        if holder is None:
            names = self.fleet.rank_for("rates", self.names)[:HOLDERS]
            own = self.fleet.own.peer_address
            holder = self.holders[workspace] = next(iter(rank(workspace, names)), own)
        return holder

    def _greet_holders(self, summary: FleetSummary) -> None:
        # A first question opens a connection, which takes longer than callers should wait.
        names = tuple(sorted(sight.name for sight in summary.hosts if not sight.is_leaving))
        if names == self.names:
            return
        self.names = names
        self.holders.clear()
        chosen = self.fleet.rank_for("rates", names)[:HOLDERS] if self._has_small_rates() else ()
        for name in chosen:
            if name != self.fleet.own.peer_address:
                self.fleet.mesh.send(name, TokenAsk(workspace="", number=0))

    def _log_decisions(self) -> None:
        now = self.clock()
        counts = self.ledger.flush(now)
        if not counts:
            return
        part, limiters = self.board.part, self.board.limiters
        logger.info(
            "rates",
            extra={
                "workspaces": counts,
                "shares": {
                    name: round(limiters[name].share, 4) for name in counts if name in limiters
                },
                "hosts": part.hosts,
                "heard": part.heard,
                "summary_age_ms": round((now - part.heard_at) * 1000.0),
            },
        )

    def _has_small_rates(self) -> bool:
        configuration = self.board.configuration
        rules = configuration.workspaces.values() if configuration else ()
        hosts = self.board.part.hosts
        return any(rule.rate_per_s and not is_divided(rule.burst, hosts) for rule in rules)

    def _on_ask(self, peer: Peer, message: TokenAsk) -> None:
        wait_s = self._hand_out(message.workspace, Way.FOR_OTHERS)
        answer = TokenAnswer(
            number=message.number, granted=wait_s is None, wait_s=min(60.0, wait_s or 0.0)
        )
        self.fleet.mesh.send(peer.name, answer)

    def _on_answer(self, peer: Peer, message: TokenAnswer) -> None:
        future = self.pending.get(message.number)
        if future is not None and not future.done():
            future.set_result(message)
