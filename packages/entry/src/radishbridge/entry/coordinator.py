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
from radishbridge.entry.protocol import FleetStore, Kind, MoveReport, PlaceRecord
from radishbridge.entry.steering_state import SteeringState
from radishbridge.records import Failure, ResultCode
from radishbridge.steering import Evidence, MovePhase, PlaceBook

# Pause between two checks of version moves and hosts, in seconds.
CHECK_INTERVAL_S = 0.25
# Pause in seconds before a host is questioned again whose entry does not show the question: the
# longest watch of the store.
QUESTION_RETRY_S = 4.0
# Maximum number of hosts that are questioned in one check, so that the loss of a large data centre
# does not delay the other duties.
QUESTIONS_MAX = 16
# Shortest interval in seconds between two records of a service's places. A release replaces a
# server every few seconds, and each record costs two store calls. Until it is written, a host that
# starts ranks the newest replacements by their own addresses.
PLACES_INTERVAL_S = 5.0

logger = logging.getLogger(__name__)


class FleetCoordinator:
    """Records moves and places, questions silent hosts and removes lost ones while coordinator.

    :param place_conflicts: conflicts in a row on writing a service's places.
    :param places_recorded_at: monotonic time of the last record of a service's places that this
        host tried to write.
    :param questioned_at: monotonic time by host of the last question.
    """

    __slots__ = (
        "fleet",
        "place_conflicts",
        "places_recorded_at",
        "questioned_at",
        "steering_state",
        "store",
    )

    def __init__(self, steering_state: SteeringState, fleet: Fleet, store: FleetStore) -> None:
        self.steering_state = steering_state
        self.fleet = fleet
        self.store = store
        self.questioned_at: dict[str, float] = {}
        self.place_conflicts: dict[str, int] = {}
        self.places_recorded_at: dict[str, float] = {}

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

        for service, book in list(self.steering_state.selector.places.books.items()):
            recorded_at = self.places_recorded_at.get(service, float("-inf"))
            if now - recorded_at >= PLACES_INTERVAL_S:
                await self._record_places(service, book, now)

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

    async def _record_places(self, service: str, book: PlaceBook, now: float) -> None:
        """Record a service's places if a host that starts would find others."""
        state = self.steering_state
        newest = state.newest_place_record(service)
        if book.differs({} if newest is None else newest.places):
            self.places_recorded_at[service] = now
            last = 0 if newest is None else newest.sequence
            sequence = last + 1 + self.place_conflicts.get(service, 0)
            record = PlaceRecord(service=service, sequence=sequence, places=book.record())
            failure = await self.store.record_places(record)
            # An object of that name that is no record, or not read yet, must not block the next.
            if failure is not None and failure.code is ResultCode.VERSION_CONFLICT:
                self.place_conflicts[service] = self.place_conflicts.get(service, 0) + 1
            elif failure is None:
                self.place_conflicts.pop(service, None)
            logger.info(
                "places recorded",
                extra={
                    "service": service,
                    "sequence": sequence,
                    "places": len(record.places),
                    "outcome": failure.reason if isinstance(failure, Failure) else "recorded",
                },
            )
        newest = state.newest_place_record(service)
        for record in list(state.place_records.values()):
            if newest is not None and record.service == service and record is not newest:
                self.places_recorded_at[service] = now
                await self.store.remove_places(record)

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
