"""The operators' command-line client ``radishbridge``."""

from __future__ import annotations

from radishbridge.client._fields import FieldChange, compare_specs, three_way_merge
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
    "compare_specs",
    "exit_code",
    "main",
    "run",
    "sum_burn",
    "three_way_merge",
]
