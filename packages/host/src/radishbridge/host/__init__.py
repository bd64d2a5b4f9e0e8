"""The daemon ``radishbridged``: HTTP front, forwarding, composition."""

from __future__ import annotations

from radishbridge.host.command import main
from radishbridge.host.compose import run_host

__all__ = ["main", "run_host"]
