"""The objects, history and faults behind both forms of the stand-in object API."""

from __future__ import annotations

import asyncio
import collections
import time
import typing as t

import msgspec

from radishbridge.store import HostEntry, StoredObject, WatchEvent

HISTORY_EVENTS_MAX = 10_000


class Faults(msgspec.Struct, kw_only=True):
    """Faults that a test asks for.

    :param delay_s: seconds that each call waits before it is looked at.
    :param down: every call and watch ends without an answer.
    :param refuse: every call is refused before it runs, as with HTTP status 503.
    :param lost_answers: number of next writes that take effect but are not answered.
    :param lost_requests: number of next writes that neither take effect nor are answered.
    :param late_writes: number of next writes that are not answered and take effect later.
    :param malformed_answers: number of next answers that are cut short.
    :param reorder: watches deliver waiting events in reverse.
    :param double: watches deliver each event twice.
    :param hosts_up: the list of hosts is answered all the same.
    :param host_lag_s: seconds until a change of the list of hosts shows.
    """

    delay_s: float = 0.0
    down: bool = False
    refuse: bool = False
    lost_answers: int = 0
    lost_requests: int = 0
    late_writes: int = 0
    malformed_answers: int = 0
    reorder: bool = False
    double: bool = False
    hosts_up: bool = False
    host_lag_s: float = 0.0

    def consume(self, name: str) -> bool:
        """Use up one of a counted fault; return whether there was one left."""
        left: int = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return left > 0


class Write(msgspec.Struct, kw_only=True):
    """A conditional write."""

    kind: str
    name: str
    value: bytes
    expected_version: int


class EventBatch(msgspec.Struct, kw_only=True):
    """Events that a watch delivers at once, and the revision up to which they reach."""

    events: list[WatchEvent]
    revision: int


class HostListChange(msgspec.Struct, kw_only=True):
    """A list of hosts and the time from which it shows."""

    visible_at: float
    hosts: list[HostEntry]


class Backup(msgspec.Struct, kw_only=True):
    """A copy of the objects at one revision."""

    revision: int
    objects: dict[tuple[str, str], StoredObject]


class ObjectTable:
    """Objects with versions and history; counts each call, a waiting watch as one.

    :param clock: monotonic clock in seconds.
    """

    __slots__ = (
        "calls",
        "calls_by_second",
        "clock",
        "compacted_revision",
        "faults",
        "history",
        "host_list_changes",
        "late_writes",
        "objects",
        "open_watches",
        "revision",
        "wakeups",
        "watch_generation",
    )

    def __init__(self, clock: t.Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.faults = Faults()
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.history: collections.deque[StoredObject] = collections.deque()
        self.revision = 0
        self.compacted_revision = 0
        self.watch_generation = 0
        self.open_watches = 0
        self.host_list_changes: list[HostListChange] = []
        self.calls: collections.Counter[str] = collections.Counter()
        self.calls_by_second: collections.Counter[int] = collections.Counter()
        self.late_writes: list[Write] = []
        self.wakeups: dict[asyncio.Event, None] = {}

    def count(self, call: str) -> None:
        """Count a call."""
        self.calls[call] += 1
        self.calls_by_second[int(self.clock())] += 1

    def write(self, write: Write) -> StoredObject | None:
        """Write an object; ``None`` where its version is not the expected one."""
        key = (write.kind, write.name)
        previous = self.objects.get(key)
        if (previous.version if previous else 0) != write.expected_version:
            return None
        self.revision += 1
        stored = StoredObject(
            kind=write.kind,
            name=write.name,
            version=self.revision,
            value=msgspec.Raw(write.value),
        )
        self.objects[key] = stored
        self.history.append(stored)
        if len(self.history) > HISTORY_EVENTS_MAX:
            self.compacted_revision = self.history.popleft().version
        self.notify()
        return stored

    def apply_late_writes(self) -> list[StoredObject | None]:
        """Let late writes take effect now, in order; ``None`` for each that conflicts."""
        late_writes, self.late_writes = self.late_writes, []
        return [self.write(one) for one in late_writes]

    def read_events(self, after: int, kinds: t.Collection[str]) -> EventBatch | None:
        """Return the events after a revision; ``None`` where the history starts later."""
        if after < self.compacted_revision:
            return None
        newer = []
        for stored in reversed(self.history):
            if stored.version <= after:
                break
            if stored.kind in kinds:
                newer.append(stored)
        if not self.faults.reorder:
            newer.reverse()
        copies = 2 if self.faults.double else 1
        events = [
            WatchEvent(revision=one.version, object=one) for one in newer for _ in range(copies)
        ]
        return EventBatch(events=events, revision=self.revision)

    def compact(self) -> None:
        """Drop the history, so that older watches answer that they have expired."""
        self.compacted_revision = self.revision
        self.history.clear()

    def cut_watches(self) -> None:
        """End every open watch."""
        self.watch_generation += 1
        self.notify()

    def backup(self) -> Backup:
        """Copy the objects."""
        return Backup(revision=self.revision, objects=dict(self.objects))

    def restore(self, backup: Backup) -> None:
        """Return to an older state, as a platform restored from a backup would."""
        self.objects = dict(backup.objects)
        self.revision = self.compacted_revision = backup.revision
        self.history.clear()
        self.cut_watches()

    def notify(self) -> None:
        """Wake the open watches, each of which delivers at least a sign of life."""
        for wakeup in list(self.wakeups):
            wakeup.set()

    def set_hosts(self, hosts: list[HostEntry]) -> None:
        """Change the list of hosts, which shows after the lag."""
        visible_at = self.clock() + self.faults.host_lag_s
        self.host_list_changes.append(HostListChange(visible_at=visible_at, hosts=hosts))

    def visible_hosts(self) -> list[HostEntry]:
        """Return the list of hosts that shows now."""
        now = self.clock()
        shown = [change.hosts for change in self.host_list_changes if change.visible_at <= now]
        return shown[-1] if shown else []
