"""Writes what the fleet as a whole records in the store; the first host by hash does, the next
one if it is lost."""

from __future__ import annotations

import asyncio
import logging
import time

from radishbridge.entry.fleet import SUMMARY_S, Fleet
from radishbridge.entry.protocol import FleetStore, Kind, MoveReport
from radishbridge.entry.steering_state import SteeringState
from radishbridge.records import Failure
from radishbridge.steering import Evidence, MovePhase

# Pause between two looks at the moves, in seconds.
STEP_S = 0.25

logger = logging.getLogger(__name__)


class FleetCoordinator:
    """Writes the status of version moves, and removes lost hosts, while it is this host's duty."""

    __slots__ = ("fleet", "steering_state", "store")

    def __init__(self, steering_state: SteeringState, fleet: Fleet, store: FleetStore) -> None:
        self.steering_state = steering_state
        self.fleet = fleet
        self.store = store

    async def run(self) -> None:
        """Look after moves and hosts until cancelled."""
        while True:
            await asyncio.sleep(STEP_S)
            await self.step(time.monotonic())

    async def step(self, now: float) -> None:
        """Record each move whose phase has changed, and remove hosts that are gone."""
        if not self._is_on_duty(now):
            return
        for name in self.fleet.lost_hosts(now):
            removal = await self.store.unregister(name)
            told = removal.reason if isinstance(removal, Failure) else "removed"
            logger.info("host is gone", extra={"host": name, "outcome": told})
        for name, order in list(self.steering_state.orders.items()):
            phase = self._phase(order.service, now)
            if phase is order.phase or order.phase in (MovePhase.COMPLETED, MovePhase.ROLLED_BACK):
                continue
            stored = self.fleet.copy.objects.get((Kind.MOVE, name))
            report = MoveReport(
                name=name,
                version=0 if stored is None else stored.version,
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

    def _phase(self, service: str, now: float) -> MovePhase:
        summary = self.fleet.summary
        seen = summary.evidence.get(service) if summary is not None else None
        return self.steering_state.move_phase(service, seen or Evidence(), now)

    def _is_on_duty(self, now: float) -> bool:
        if now - self.fleet.summary_at > SUMMARY_S:
            return False
        able = [
            status.name
            for status in self.fleet.live_hosts(now).values()
            if status.reaches_store and not status.is_leaving
        ]
        return self.fleet.rank_for("steward", able)[:1] == [self.fleet.own.peer_address]
