"""Request deadlines, carried in a header as the remaining milliseconds."""

from __future__ import annotations

import typing as t

from radishbridge.records import Failure, ResultCode

DEADLINE_HEADER = "X-Request-Deadline-Ms"
MAX_DEADLINE_DIGITS = 9
MS_PER_S = 1000.0


class Deadline:
    """The time by which one request must be answered.

    :param at: monotonic time in seconds.
    :param by_caller: the caller set a shorter deadline than the service allows.
    """

    __slots__ = ("at", "by_caller")

    def __init__(self, at: float, by_caller: bool) -> None:
        self.at = at
        self.by_caller = by_caller

    def remaining_s(self, now: float) -> float:
        """Return the seconds left, at least 0."""
        return max(0.0, self.at - now)

    def header(self, now: float) -> str:
        """Return the header's value for the next hop: the remaining time in milliseconds."""
        return str(int(self.remaining_s(now) * MS_PER_S))


def read_deadline(headers: t.Mapping[str, str], max_s: float, now: float) -> Deadline | Failure:
    """Read a request's deadline, limited to that of its service.

    :param max_s: longest time that the service allows, in seconds.
    :param now: monotonic time in seconds at which the request arrived.
    :return: the deadline, or ``REQUEST_MALFORMED``.
    """
    value = headers.get(DEADLINE_HEADER)
    if value is None:
        return Deadline(now + max_s, by_caller=False)
    if not (value.isascii() and value.isdigit() and len(value) <= MAX_DEADLINE_DIGITS):
        return Failure(
            ResultCode.REQUEST_MALFORMED,
            f"{DEADLINE_HEADER} must be a whole number of milliseconds",
        )
    requested_s = int(value) / MS_PER_S
    return Deadline(now + min(requested_s, max_s), by_caller=requested_s < max_s)
