"""What callers and backend servers observed, and when components were disturbed by faults."""

from __future__ import annotations

import time
import typing as t

# Header that identifies an attempt of a caller, whatever its request id; hosts forward it.
TAG = "Attempt-Tag"
# Statuses that promise that the request was not executed and will not be.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


class Execution(t.NamedTuple):
    """A backend server started to execute a request.

    :param tag: identifies the attempt of the caller; request ids may come again.
    """

    tag: str
    server: str
    service: str
    tenant: str
    at: float


class Arrival(t.NamedTuple):
    """A request reached a backend server, which may have turned it away.

    :param incarnation: start of the server's process in Unix milliseconds.
    """

    tag: str
    server: str
    incarnation: int
    at: float


class Notice(t.NamedTuple):
    """A backend server said in a response that it is leaving, or that it wants a pause.

    :param pause_s: length of the pause in seconds; 0 if it is leaving.
    """

    tag: str
    server: str
    incarnation: int
    at: float
    pause_s: float


class ExecutionEnd(t.NamedTuple):
    """A backend server responded to a request or stopped executing it."""

    tag: str
    server: str
    at: float


class Outcome(t.NamedTuple):
    """How one attempt of a caller ended.

    :param status: HTTP status; 0 if the connection ended without a response. A refusal counts from
        its head on.
    :param is_intact: a successful response has the body and the signature of one server that
        executed the request.
    :param caller_disconnected: the caller closed its connection before the response.
    :param request_id: id that it sent, if any; other attempts may have had the same.
    """

    tag: str
    host: str
    unsafe: bool
    tenant: str
    key: str
    path: str
    sent_at: float
    ended_at: float
    status: int
    is_intact: bool
    caller_disconnected: bool = False
    request_id: str = ""


class Span(t.NamedTuple):
    """An interval of monotonic time, in seconds."""

    start: float
    end: float

    def overlaps(self, start: float, end: float) -> bool:
        """Return whether it overlaps the interval from ``start`` to ``end``."""
        return self.start < end and start < self.end


class History:
    """Records observations and disturbances, which are checked after the run.

    ``response_bodies`` maps the signature of each response to the body that the server sent.
    """

    def __init__(self) -> None:
        self.executions: list[Execution] = []
        self.arrivals: list[Arrival] = []
        self.notices: list[Notice] = []
        self.execution_ends: list[ExecutionEnd] = []
        self.outcomes: list[Outcome] = []
        self.response_bodies: dict[str, bytes] = {}
        self.disturbances: dict[str, list[Span]] = {}
        self.notes: list[str] = []
        self.started_at = time.monotonic()

    def add_note(self, text: str) -> None:
        """Add a time-stamped line to the notes, which help to analyse a failed seed."""
        self.notes.append(f"{time.monotonic() - self.started_at:7.2f} {text}")

    def record_disturbance(self, component: str, duration_s: float) -> None:
        """Record that a host, the store or the link to a server is disturbed from now on."""
        now = time.monotonic()
        self.disturbances.setdefault(component, []).append(Span(now, now + duration_s))

    def record_interruption(self, host: str, duration_s: float) -> None:
        """Record that a host's process starts, ends or is paused."""
        self.record_disturbance(host, duration_s)
        self.record_disturbance(process_name(host), duration_s)

    def is_undisturbed(self, component: str, start: float, end: float) -> bool:
        """Return whether a component was undisturbed from ``start`` to ``end``."""
        return not any(span.overlaps(start, end) for span in self.disturbances.get(component, ()))


def process_name(host: str) -> str:
    """Return the name under which interruptions of a host's process are recorded."""
    return f"process of {host}"
