"""Entry hosts as processes, each with a proxy before the store."""

from __future__ import annotations

import pathlib
import signal
import subprocess
import sys

from soak.ledger import Ledger
from soak.proxy import Proxy

PROGRAM = pathlib.Path(__file__).parents[2] / "platform" / "radishbridge_host.py"
GRACE_S = 6.0
# A machine counts as undisturbed this long after a disturbance, in seconds (bound ``contact``).
CONTACT_S = 3.0
SETTINGS = """
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


class Host:
    """One entry host."""

    def __init__(
        self,
        number: int,
        base_port: int,
        zones: dict[str, str],
        store: tuple[str, int],
        directory: pathlib.Path,
        ledger: Ledger,
    ) -> None:
        self.name = f"host-{number}"
        self.ip = f"127.0.1.{number + 1}"
        self.base_port = base_port
        self.zones = zones
        self.zone = sorted(zones)[number % len(zones)]
        self.ledger = ledger
        self.path = directory / f"{self.name}.toml"
        self.log_path = directory / f"{self.name}.log"
        self.store_proxy = Proxy(store)
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def front(self) -> str:
        """Address for callers."""
        return f"{self.ip}:{self.base_port + 4}"

    @property
    def directory(self) -> str:
        """Address for look-ups and status checks."""
        return f"{self.ip}:{self.base_port + 5}"

    async def prepare(self) -> None:
        """Write the settings and start the proxy before the store."""
        await self.store_proxy.start()
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in self.zones.items())
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            region=self.zones[self.zone],
            port=self.base_port,
            end=self.base_port + 3,
            zones=zones,
            front=self.base_port + 4,
            ready=self.base_port + 5,
            store=self.store_proxy.text,
        )
        self.path.write_text(text)

    def start(self) -> None:
        """Start the process."""
        self.ledger.disturb(self.name, CONTACT_S)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(PROGRAM), "--config", str(self.path)], stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals, disturbs_s: float) -> None:
        """Send a signal to the process, by its id."""
        self.ledger.disturb(self.name, disturbs_s)
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
