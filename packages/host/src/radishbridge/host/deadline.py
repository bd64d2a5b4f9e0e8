"""The deadline that a request carries, in milliseconds that remain."""

from __future__ import annotations

import typing as t

from radishbridge.records import Failure, ResultCode

DEADLINE_HEADER = "X-Request-Deadline-Ms"
MAX_DIGITS = 9
MS_PER_S = 1000.0


class Deadline:
    """The end of the time for one request.

    :param at: monotonic time in seconds.
    :param by_caller: the caller asked for less than the service allows.
    """

    __slots__ = ("at", "by_caller")

    def __init__(self, at: float, by_caller: bool) -> None:
        self.at = at
        self.by_caller = by_caller

    def remaining_s(self, now: float) -> float:
        """Return the seconds left, at least 0."""
        return max(0.0, self.at - now)

    def header(self, now: float) -> str:
        """Return the value of the header for the next hop."""
        return str(int(self.remaining_s(now) * MS_PER_S))


def read_deadline(headers: t.Mapping[str, str], limit_s: float, now: float) -> Deadline | Failure:
    """Read a request's deadline, capped by its service's.

    :param limit_s: longest time that the service allows, in seconds.
    :param now: monotonic time in seconds at which the request arrived.
    :return: the deadline, or ``REQUEST_MALFORMED``.
    """
    value = headers.get(DEADLINE_HEADER)
    if value is None:
        return Deadline(now + limit_s, by_caller=False)
    if not (value.isascii() and value.isdigit() and len(value) <= MAX_DIGITS):
        return Failure(
            ResultCode.REQUEST_MALFORMED, f"{DEADLINE_HEADER} must be a whole number of ms"
        )
    asked_s = int(value) / MS_PER_S
    return Deadline(now + min(asked_s, limit_s), by_caller=asked_s < limit_s)
