"""What callers and backend servers saw, and when hosts and the store were disturbed."""

from __future__ import annotations

import time
import typing as t


class Run(t.NamedTuple):
    """A backend server began to work on a request."""

    request_id: str
    server: str
    service: str
    tenant: str
    at: float


class End(t.NamedTuple):
    """A backend server answered a request, or stopped to work on it."""

    request_id: str
    server: str
    at: float


class Outcome(t.NamedTuple):
    """How one request ended at its caller.

    :param status: 0 where the connection ended without an answer.
    :param whole: a success carries the bytes and the proof of the server that ran it.
    :param left: the caller closed its connection before the answer.
    """

    request_id: str
    host: str
    unsafe: bool
    tenant: str
    key: str
    path: str
    sent_at: float
    ended_at: float
    status: int
    whole: bool
    left: bool = False


class Span(t.NamedTuple):
    """A time in which something was disturbed."""

    start: float
    end: float

    def touches(self, start: float, end: float) -> bool:
        """Whether it overlaps another span."""
        return self.start < end and start < self.end


class Ledger:
    """Collects what was seen.

    :param answers: the bytes that a server answered, by its proof of having run the request.
    """

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self.ends: list[End] = []
        self.outcomes: list[Outcome] = []
        self.answers: dict[str, bytes] = {}
        self.disturbed: dict[str, list[Span]] = {}
        self.notes: list[str] = []
        self.started_at = time.monotonic()

    def note(self, text: str) -> None:
        """Note what the soak did, for whoever reads a failed seed."""
        self.notes.append(f"{time.monotonic() - self.started_at:7.2f} {text}")

    def disturb(self, what: str, for_s: float) -> None:
        """Note that a host, a server, or the store is disturbed from now on."""
        now = time.monotonic()
        self.disturbed.setdefault(what, []).append(Span(now, now + for_s))

    def is_calm(self, what: str, start: float, end: float) -> bool:
        """Whether nothing was disturbed in a span."""
        return not any(span.touches(start, end) for span in self.disturbed.get(what, ()))
