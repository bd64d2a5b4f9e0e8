"""Entry host processes, each of which reaches the store through its own proxy."""

from __future__ import annotations

import pathlib
import signal
import subprocess
import sys

from soak.history import History
from soak.proxy import Proxy

HOST_PROGRAM = pathlib.Path(__file__).parents[2] / "platform" / "radishbridge_host.py"
SHUTDOWN_GRACE_S = 6.0
# A component counts as disturbed until this long after a disturbance ends (bound ``contact``).
CONTACT_BOUND_S = 3.0
SETTINGS_TEMPLATE = """
nodeName = "{name}"
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internalPortRange = [{port}, {end}]
seeds = []
[zones]
{zones}
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
directory = "{ip}:{ready}"
[limits]
cpuShare = 0.8
cores = 1
linkMbps = 1000.0
[bounds]
grace = "6s"
retryBudgetRatio = 0.2
budgetWindow = "10s"
budgetSlack = 50
exposureShare = 0.1
warmupOverage = 1.5
warmupSlack = 5
ttl_max = "5s"
[platform]
address = "{store}"
minTtl = "1000ms"
"""
USAGE_TEMPLATE = """
[cloud]
address = "{address}"
ratePerS = 50.0
duties = ["usage_reporting"]
dutiesPerS = 50.0
"""


class Host:
    """One entry host process."""

    def __init__(
        self,
        number: int,
        base_port: int,
        zones: dict[str, str],
        store: tuple[str, int],
        directory: pathlib.Path,
        history: History,
        usage_address: str = "",
    ) -> None:
        self.usage_address = usage_address
        self.name = f"host-{number}"
        self.ip = f"127.0.1.{number + 1}"
        self.base_port = base_port
        self.zones = zones
        self.zone = sorted(zones)[number % len(zones)]
        self.history = history
        self.settings_path = directory / f"{self.name}.toml"
        self.log_path = directory / f"{self.name}.log"
        self.store_proxy = Proxy(store)
        self.caller_proxy = Proxy((self.ip, base_port + 4))
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def caller_address(self) -> str:
        """Address for requests of callers."""
        return f"{self.ip}:{self.base_port + 4}"

    @property
    def lookup_address(self) -> str:
        """Address for host lookups and readiness checks."""
        return f"{self.ip}:{self.base_port + 5}"

    async def prepare(self) -> None:
        """Write the settings file and start the proxies to the store and for callers."""
        await self.store_proxy.start()
        await self.caller_proxy.start()
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in self.zones.items())
        text = SETTINGS_TEMPLATE.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            region=self.zones[self.zone],
            port=self.base_port,
            end=self.base_port + 3,
            zones=zones,
            front=self.base_port + 4,
            ready=self.base_port + 5,
            store=self.store_proxy.address_text,
        )
        if self.usage_address:
            text += USAGE_TEMPLATE.format(address=self.usage_address)
        self.settings_path.write_text(text)

    def start(self) -> None:
        """Start the process."""
        self.history.record_interruption(self.name, CONTACT_BOUND_S)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(HOST_PROGRAM), "--config", str(self.settings_path)],
                stdout=log,
                stderr=log,
            )

    def signal(self, signal_number: signal.Signals, disturbance_s: float) -> None:
        """Send a signal to the process if it is running.

        :param disturbance_s: time for which the host counts as disturbed, in seconds.
        """
        self.history.record_interruption(self.name, disturbance_s)
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def kill(self) -> None:
        """Kill the process if it is still running, even if it is paused."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
