"""A randomized soak test of entry host processes that injects faults and checks the promises."""

from __future__ import annotations
