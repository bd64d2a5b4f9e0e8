"""Pauses between retries: exponential, bounded and jittered."""

from __future__ import annotations

import random
import typing as t

import msgspec


class Backoff(msgspec.Struct, kw_only=True, frozen=True):
    """Bounds of the pauses between retries.

    :param first_s: longest first pause, in seconds.
    :param longest_s: longest pause at all, in seconds.
    """

    first_s: float = 0.1
    longest_s: float = 5.0

    def pause_s(self, attempt: int, randomness: random.Random) -> float:
        """Return the pause after a failed attempt, in seconds.

        :param attempt: number of failed attempts before, from 0.
        """
        bound = min(self.longest_s, self.first_s * 2.0 ** min(attempt, 32))
        return bound * randomness.uniform(0.5, 1.0)

    def pauses_s(self, attempts: int, randomness: random.Random) -> t.Iterator[float]:
        """Yield the pauses between a number of attempts."""
        return (self.pause_s(attempt, randomness) for attempt in range(attempts - 1))
