"""Objects, history and injected faults, shared by the HTTP and the in-memory object store."""

from __future__ import annotations

import asyncio
import collections
import time
import typing as t

import msgspec

from radishbridge.store import HostEntry, StoredObject, WatchEvent

HISTORY_EVENTS_MAX = 10_000


class Faults(msgspec.Struct, kw_only=True):
    """Faults that a test injects; fields of type ``int`` are numbers of calls still to fail.

    :param delay_s: delay of each call before it is processed, in seconds.
    :param down: every call and watch ends without a response.
    :param refuse: every call is refused before it takes effect, over HTTP with status 503.
    :param lost_answers: number of writes that take effect but get no response.
    :param lost_requests: number of writes that neither take effect nor get a response.
    :param late_writes: number of writes that get no response and take effect only with
        ``apply_late_writes``.
    :param malformed_answers: number of responses whose body is cut short.
    :param reorder: watches deliver pending events in reverse order.
    :param double: watches deliver each event twice.
    :param hosts_up: the list of hosts stays available despite ``down`` and ``refuse``.
    :param host_lag_s: delay until a change of the list of hosts becomes visible, in seconds.
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
        """Decrement the count of a fault; return whether any was left."""
        remaining: int = getattr(self, name)
        if remaining > 0:
            setattr(self, name, remaining - 1)
        return remaining > 0


class Write(msgspec.Struct, kw_only=True):
    """A conditional write."""

    kind: str
    name: str
    value: bytes
    expected_version: int


class EventBatch(msgspec.Struct, kw_only=True):
    """Events that a watch delivers together, and the revision that they lead to."""

    events: list[WatchEvent]
    revision: int


class HostListChange(msgspec.Struct, kw_only=True):
    """A list of hosts and the time from which it is visible."""

    visible_at: float
    hosts: list[HostEntry]


class Backup(msgspec.Struct, kw_only=True):
    """A copy of the objects at one revision."""

    revision: int
    objects: dict[tuple[str, str], StoredObject]


class ObjectTable:
    """Objects with versions and history, and counters of calls; a watch counts as one call.

    ``watch_generation`` changes whenever all open watches have to end.

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
        """Write an object; return ``None`` if its version is not the expected one."""
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
        """Apply the late writes in order; the result has ``None`` for each that conflicts."""
        late_writes, self.late_writes = self.late_writes, []
        return [self.write(write) for write in late_writes]

    def read_events(self, after: int, kinds: t.Collection[str]) -> EventBatch | None:
        """Return the events after a revision, or ``None`` if the history starts later."""
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
            WatchEvent(revision=stored.version, object=stored)
            for stored in newer
            for _ in range(copies)
        ]
        return EventBatch(events=events, revision=self.revision)

    def compact(self) -> None:
        """Discard the history, so that watches from earlier revisions fail as expired."""
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
        """Return to an earlier state, as a platform restored from a backup does."""
        self.objects = dict(backup.objects)
        self.revision = self.compacted_revision = backup.revision
        self.history.clear()
        self.cut_watches()

    def notify(self) -> None:
        """Wake the open watches; each delivers its events and a heartbeat."""
        for wakeup in list(self.wakeups):
            wakeup.set()

    def set_hosts(self, hosts: list[HostEntry]) -> None:
        """Change the list of hosts; it becomes visible after ``Faults.host_lag_s``."""
        visible_at = self.clock() + self.faults.host_lag_s
        self.host_list_changes.append(HostListChange(visible_at=visible_at, hosts=hosts))

    def visible_hosts(self) -> list[HostEntry]:
        """Return the list of hosts that is visible now."""
        now = self.clock()
        visible = [change.hosts for change in self.host_list_changes if change.visible_at <= now]
        return visible[-1] if visible else []
