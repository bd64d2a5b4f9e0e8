"""Limits that hold over all hosts together."""

from __future__ import annotations

from radishbridge.shares.bucket import TokenBucket
from radishbridge.shares.protocol import Admission

__all__ = ["Admission", "TokenBucket"]
