"""Counts the objects whose first server changes when the servers or weights of a service change."""

from __future__ import annotations

import collections
import enum
import typing as t

# Time in seconds between a change and the report of the objects that it moved. Rankings are rebuilt
# when their objects are next requested, so that a change costs no time of its own.
REPORT_AFTER_S = 5.0
# Maximum number of objects whose former server is remembered; as many as rankings are cached.
REMEMBERED_MAX = 4_096


class ObjectMoveCause(enum.Enum):
    """Why an object's first server changed."""

    # The former server takes no more requests.
    FORCED = "forced"
    # The new server had none of the requested objects before.
    ADDED = "added"
    # The weight of a region changed.
    WEIGHT = "weight"
    # None of these: another place for a server that both rankings contain.
    NOISE = "noise"


class ObjectMoveReport(t.NamedTuple):
    """The objects that the changes of a service's servers moved.

    :param compared: objects requested since the change that had been requested before it.
    :param moved: those among them whose first server is another, by cause.
    """

    service: str
    compared: int
    moved: dict[ObjectMoveCause, int]

    @property
    def total(self) -> int:
        """Return the number of objects that moved."""
        return sum(self.moved.values())


class ObjectMoveMeter:
    """Compares the first servers of rankings before and after changes.

    :param totals: moves since the start, by service and cause.
    :param former: first server before the change, by service and object.
    :param known: servers that were first for an object before the change, by service.
    :param is_weight: whether the last change of a service was one of weights only.
    :param changed_at: monotonic time of the first change that is not reported yet, by service;
        ``None`` until the next call of ``take_reports``.
    """

    __slots__ = ("changed_at", "compared", "former", "is_weight", "known", "moved", "totals")

    def __init__(self) -> None:
        self.totals: collections.Counter[tuple[str, ObjectMoveCause]] = collections.Counter()
        self.former: dict[tuple[str, t.Hashable], str] = {}
        self.known: dict[str, set[str]] = {}
        self.is_weight: dict[str, bool] = {}
        self.changed_at: dict[str, float | None] = {}
        self.compared: collections.Counter[str] = collections.Counter()
        self.moved: dict[str, collections.Counter[ObjectMoveCause]] = {}

    def record_change(
        self, service: str, firsts: t.Iterable[tuple[t.Hashable, str]], is_weight: bool
    ) -> None:
        """Remember the first server of each object before a change.

        :param firsts: objects and their first servers.
        :param is_weight: only weights changed.
        """
        known = self.known.setdefault(service, set())
        for key, name in firsts:
            known.add(name)
            if len(self.former) < REMEMBERED_MAX:
                self.former.setdefault((service, key), name)
        self.is_weight[service] = is_weight and self.is_weight.get(service, True)
        self.changed_at.setdefault(service, None)

    def record_ranking(
        self, service: str, key: t.Hashable, first: str, usable: t.Callable[[str], bool]
    ) -> None:
        """Compare an object's first server with the one before the change.

        :param usable: returns whether a server of that name takes requests.
        """
        former = self.former.pop((service, key), None)
        if former is None:
            return
        self.compared[service] += 1
        if former == first:
            return
        cause = self._find_cause(service, former, first, usable)
        self.totals[service, cause] += 1
        self.moved.setdefault(service, collections.Counter())[cause] += 1

    def take_reports(self, now: float) -> list[ObjectMoveReport]:
        """Return the reports that are due, and begin anew for their services."""
        due = []
        for service, changed_at in list(self.changed_at.items()):
            if changed_at is None:
                self.changed_at[service] = now
            elif now - changed_at >= REPORT_AFTER_S:
                due.append(self._take_report(service))
        return due

    def _take_report(self, service: str) -> ObjectMoveReport:
        moved = self.moved.pop(service, collections.Counter())
        report = ObjectMoveReport(service, self.compared.pop(service, 0), dict(moved))
        for data in (self.changed_at, self.known, self.is_weight):
            data.pop(service, None)
        self.former = {key: name for key, name in self.former.items() if key[0] != service}
        return report

    def _find_cause(
        self, service: str, former: str, first: str, usable: t.Callable[[str], bool]
    ) -> ObjectMoveCause:
        if not usable(former):
            return ObjectMoveCause.FORCED
        if self.is_weight.get(service, False):
            return ObjectMoveCause.WEIGHT
        return (
            ObjectMoveCause.NOISE if first in self.known.get(service, ()) else ObjectMoveCause.ADDED
        )
