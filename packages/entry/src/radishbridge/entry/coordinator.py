"""The coordinator: one host of the fleet that records in the store what concerns all hosts.

The hosts choose it by hash. If it is lost, the next host in the ranking takes over.
"""

from __future__ import annotations

import asyncio
import itertools
import logging

import msgspec

from radishbridge.entry import uptime
from radishbridge.entry.fleet import SUMMARY_MAX_AGE_S, Fleet
from radishbridge.entry.protocol import FleetStore, Kind, MoveReport
from radishbridge.entry.steering_state import SteeringState
from radishbridge.records import Failure
from radishbridge.steering import Evidence, MovePhase

# Pause between two checks of version moves and hosts, in seconds.
CHECK_INTERVAL_S = 0.25
# Pause in seconds before a host is questioned again whose entry does not show the question: the
# longest watch of the store.
QUESTION_RETRY_S = 4.0
# Maximum number of hosts that are questioned in one check, so that the loss of a large data centre
# does not delay the other duties.
QUESTIONS_MAX = 16

logger = logging.getLogger(__name__)


class FleetCoordinator:
    """Records version moves, questions silent hosts and removes lost ones while it is coordinator.

    :param questioned_at: monotonic time by host of the last question.
    """

    __slots__ = ("fleet", "questioned_at", "steering_state", "store")

    def __init__(self, steering_state: SteeringState, fleet: Fleet, store: FleetStore) -> None:
        self.steering_state = steering_state
        self.fleet = fleet
        self.store = store
        self.questioned_at: dict[str, float] = {}

    async def run(self) -> None:
        """Check moves and hosts until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self.step(uptime.now())

    async def step(self, now: float) -> None:
        """Record each move whose phase has changed, and remove lost hosts."""
        if not self._is_coordinator(now):
            return
        await self._question_hosts(now)
        for name in self.fleet.lost_hosts(now):
            # The condition protects a host that registers again while this one is delayed.
            removal = await self.store.unregister(name, self._stored_version(Kind.HOST, name))
            outcome = removal.reason if isinstance(removal, Failure) else "removed"
            logger.info("removal of a lost host", extra={"host": name, "outcome": outcome})
        for name, order in list(self.steering_state.orders.items()):
            phase = self._decide_phase(order.service, now)
            if phase is order.phase or order.phase in (MovePhase.COMPLETED, MovePhase.ROLLED_BACK):
                continue
            report = MoveReport(
                name=name,
                version=self._stored_version(Kind.MOVE, name),
                to_version=order.to_version,
                phase=phase,
            )
            failure = await self.store.report_move(report)
            logger.info(
                "move reported",
                extra={
                    "service": order.service,
                    "to_version": order.to_version,
                    "phase": phase.value,
                    "outcome": failure.reason if isinstance(failure, Failure) else "recorded",
                },
            )

    async def _question_hosts(self, now: float) -> None:
        due = (
            name
            for name in self.fleet.hosts_to_question(now)
            if now - self.questioned_at.get(name, float("-inf")) >= QUESTION_RETRY_S
        )
        for name in list(itertools.islice(due, QUESTIONS_MAX)):
            self.questioned_at[name] = now
            entry = msgspec.structs.replace(self.fleet.entries[name], is_questioned=True)
            failure = await self.store.replace_host(entry, self._stored_version(Kind.HOST, name))
            outcome = "asked" if failure is None else failure.reason
            logger.info("silent host questioned", extra={"host": name, "outcome": outcome})

    def _stored_version(self, kind: Kind, name: str) -> int:
        stored = self.fleet.copy.objects.get((kind, name))
        return 0 if stored is None else stored.version

    def _decide_phase(self, service: str, now: float) -> MovePhase:
        summary = self.fleet.summary
        evidence = summary.evidence.get(service) if summary is not None else None
        return self.steering_state.move_phase(service, evidence or Evidence(), now)

    def _is_coordinator(self, now: float) -> bool:
        if now - self.fleet.summary_at > SUMMARY_MAX_AGE_S:
            return False
        candidates = [
            status.name
            for status in self.fleet.live_hosts(now).values()
            if status.reaches_store and not status.is_leaving
        ]
        return self.fleet.rank_for("steward", candidates)[:1] == [self.fleet.own.peer_address]
