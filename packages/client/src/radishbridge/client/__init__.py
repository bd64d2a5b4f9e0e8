"""The operators' client ``radishbridge``."""

from __future__ import annotations

from radishbridge.client._fields import FieldChange, compare, merge
from radishbridge.client.burn import BurnSummary, ServiceBurn, WindowBurn, sum_burn
from radishbridge.client.command import main, run
from radishbridge.client.exit_codes import ExitCode, exit_code
from radishbridge.client.fleet import MAX_CONCURRENT_REQUESTS, FleetClient
from radishbridge.client.wait import HostState, InForceWait

__all__ = [
    "MAX_CONCURRENT_REQUESTS",
    "BurnSummary",
    "ExitCode",
    "FieldChange",
    "FleetClient",
    "HostState",
    "InForceWait",
    "ServiceBurn",
    "WindowBurn",
    "compare",
    "exit_code",
    "main",
    "merge",
    "run",
    "sum_burn",
]
