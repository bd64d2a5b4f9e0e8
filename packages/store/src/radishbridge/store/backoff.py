"""Exponential backoff with an upper bound and jitter."""

from __future__ import annotations

import random
import typing as t

import msgspec


class Backoff(msgspec.Struct, kw_only=True, frozen=True):
    """Bounds of the delays between retries.

    :param initial_s: upper bound of the first delay, in seconds; it doubles with each attempt.
    :param max_s: upper bound of all delays, in seconds.
    """

    initial_s: float = 0.1
    max_s: float = 5.0

    def delay_s(self, attempt: int, randomness: random.Random) -> float:
        """Return the delay after a failed attempt, in seconds: half to all of its upper bound.

        :param attempt: number of failed attempts before this one.
        """
        bound = min(self.max_s, self.initial_s * 2.0 ** min(attempt, 32))
        return bound * randomness.uniform(0.5, 1.0)

    def delays_s(self, attempts: int, randomness: random.Random) -> t.Iterator[float]:
        """Return the delays between a number of attempts."""
        return (self.delay_s(attempt, randomness) for attempt in range(attempts - 1))
