"""A randomized soak: real entry hosts as processes, faults from outside, promises checked."""

from __future__ import annotations
