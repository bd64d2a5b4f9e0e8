"""Starts host daemons and stand-ins as processes on 127.0.0.1, for the demo and tests."""

from __future__ import annotations

import asyncio
import collections
import itertools
import json
import pathlib
import random
import socket
import subprocess
import sys
import typing as t

import aiohttp
import msgspec

from radishbridge.store import HostEntry, HostList

LOOPBACK = "127.0.0.1"
PORT_RANGE = range(15_000, 32_000)
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
# Number of ports returned last that are not returned again; more than one test run uses.
RECENT_PORTS_MAX = 2_000
# Number of lines at the end of each process's log that ``Fleet.describe`` returns.
LOG_TAIL_LINES = 5

_recent_ports: collections.deque[int] = collections.deque(maxlen=RECENT_PORTS_MAX)


def free_ports(count: int) -> list[int]:
    """Return distinct TCP ports of 127.0.0.1 that are free now.

    Ports returned recently are left out, since their processes may not listen on them yet. All lie
    below the kernel's ephemeral port range, so that no outgoing connection can take one before its
    process listens.
    """
    sampled = random.Random().sample(PORT_RANGE, len(PORT_RANGE))
    candidates = (port for port in sampled if port not in _recent_ports)
    ports = list(itertools.islice(filter(_is_free, candidates), count))
    _recent_ports.extend(ports)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def free_port() -> int:
    """Return a TCP port of 127.0.0.1 that is free now."""
    return free_ports(1)[0]


class HostLocation:
    """Name, region and data centre of a host."""

    __slots__ = ("data_center", "host", "region")

    def __init__(self, host: str, region: str, data_center: str) -> None:
        self.host = host
        self.region = region
        self.data_center = data_center


class Fleet:
    """A running fleet of an object API, backend servers and hosts; a context manager.

    :param directory: directory for settings files and logs.
    """

    __slots__ = ("directory", "hosts", "processes", "store_url")

    def __init__(self, directory: pathlib.Path) -> None:
        self.directory = directory
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.hosts: list[HostEntry] = []
        self.store_url = ""

    def __enter__(self) -> Fleet:
        return self

    def __exit__(self, *exception: object) -> None:
        for process in self.processes.values():
            process.terminate()
        for process in self.processes.values():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def start_store(self) -> None:
        """Start the object API."""
        port = free_port()
        self.store_url = f"http://{LOOPBACK}:{port}"
        self.start("store", "radishbridge_standin", "objects", str(port))

    def start_backend(self, name: str) -> str:
        """Start a backend server and return its address."""
        port = free_port()
        self.start(name, "radishbridge_standin", "backend", name, str(port))
        return f"{LOOPBACK}:{port}"

    def start_host(self, location: HostLocation, **settings: t.Any) -> HostEntry:
        """Start a host.

        :param settings: settings added to its settings file, or replacing those in it.
        """
        addresses = [f"{LOOPBACK}:{port}" for port in free_ports(3)]
        entry = HostEntry(
            name=location.host,
            region=location.region,
            data_center=location.data_center,
            address=addresses[0],
            admin_address=addresses[1],
            peer_address=addresses[2],
        )
        document = {
            "host": location.host,
            "region": location.region,
            "data_center": location.data_center,
            "listen": entry.address,
            "admin_listen": entry.admin_address,
            "peer_listen": entry.peer_address,
            # The store is in the region of the first host.
            "store": {"url": self.store_url, "region": [*self.hosts, entry][0].region},
        }
        path = self.directory / f"{location.host}.jsonc"
        path.write_text(json.dumps(document | settings))
        self.start(location.host, "radishbridge.host", "--config", str(path))
        self.hosts.append(entry)
        return entry

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Run a module as a process whose output goes to ``NAME.log``."""
        with open(self.directory / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments], stdout=log, stderr=log
            )

    def describe(self) -> str:
        """Return the state of each process and the last lines of its log."""
        lines = []
        for name, process in self.processes.items():
            code = process.poll()
            state = "runs" if code is None else f"ended with {code}"
            log_lines = (self.directory / f"{name}.log").read_text(errors="replace").splitlines()
            lines += [f"{name} {state}", *(f"  {line}" for line in log_lines[-LOG_TAIL_LINES:])]
        return "\n".join(lines)

    async def announce_hosts(self, session: aiohttp.ClientSession) -> None:
        """Publish the hosts in the platform's list of hosts."""
        body = msgspec.json.encode(HostList(hosts=self.hosts))
        async with session.put(f"{self.store_url}/control/hosts", data=body) as response:
            response.raise_for_status()

    async def wait_ready(self, session: aiohttp.ClientSession) -> None:
        """Wait until every host is ready."""
        urls = [f"http://{host.admin_address}/ready" for host in self.hosts]
        await asyncio.gather(*(wait_for_status(session, url, 200) for url in urls))


async def wait_for_status(session: aiohttp.ClientSession, url: str, status: int) -> None:
    """Poll a URL until it answers with a status.

    :raises TimeoutError: it did not within 30 s.
    """
    last_status = 0
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            while last_status != status:
                last_status = await _fetch_status(session, url)
                await asyncio.sleep(POLL_INTERVAL_S)
    except TimeoutError:
        raise TimeoutError(
            f"{url} does not answer {status}, the last answer was {last_status}"
        ) from None


async def _fetch_status(session: aiohttp.ClientSession, url: str) -> int:
    try:
        async with session.get(url) as response:
            return response.status
    except aiohttp.ClientError:
        return 0
