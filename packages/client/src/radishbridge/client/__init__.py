"""The operators' client ``radishbridge``."""

from __future__ import annotations

from radishbridge.client.command import main

__all__ = ["main"]
