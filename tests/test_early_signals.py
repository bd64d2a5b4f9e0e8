"""Signals that reach an entry host while it starts."""

from __future__ import annotations

import pathlib
import signal
import subprocess
import sys
import time

import pytest
from soak.hosts import HOST_PROGRAM, SETTINGS_TEMPLATE

from radishbridge_standin.processes import free_ports

EVENT_TIMEOUT_S = 30.0


@pytest.fixture
def starting_host(tmp_path):
    """Return a host's process at the moment at which it first handles ``SIGTERM``."""
    settings = tmp_path / "host.toml"
    base = free_ports(1)[0]
    addresses = {"front": base + 4, "ready": base + 5, "store": "127.0.0.1:1"}
    place = {"name": "host-1", "ip": "127.0.1.1", "zone": "north", "region": "east"}
    text = SETTINGS_TEMPLATE.format(
        **place, **addresses, port=base, end=base + 3, zones='north = "east"'
    )
    settings.write_text(text)
    process = subprocess.Popen([sys.executable, str(HOST_PROGRAM), "--config", str(settings)])
    wait_until(lambda: handles(process, signal.SIGTERM))
    yield process
    process.kill()
    process.wait()


def wait_until(condition) -> None:
    until = time.monotonic() + EVENT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < until
        time.sleep(0.001)


def handles(process: subprocess.Popen[bytes], number: signal.Signals) -> bool:
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    (caught,) = (line.split()[1] for line in status.splitlines() if line.startswith("SigCgt"))
    return bool(int(caught, 16) >> (number - 1) & 1)


class TestSignalsDuringTheStart:
    """Guards against their default action, which ends the process at once."""

    def test_a_reload_does_not_end_the_process(self, starting_host):
        starting_host.send_signal(signal.SIGHUP)
        starting_host.send_signal(signal.SIGTERM)
        assert starting_host.wait(EVENT_TIMEOUT_S) == 0

    def test_a_stop_ends_it_cleanly(self, starting_host):
        starting_host.send_signal(signal.SIGTERM)
        assert starting_host.wait(EVENT_TIMEOUT_S) == 0
