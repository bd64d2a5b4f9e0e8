"""Starts the daemon and the stand-ins as plain processes on 127.0.0.1, for demo and tests."""

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
PORTS = range(15_000, 32_000)
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
POLL_PAUSE_S = 0.05
# Ports that are not returned again so soon: more than the processes of one run take.
GIVEN_MAX = 2_000
# Lines at the end of each process's log that tell why a fleet did not start.
LOG_LINES = 5

_given: collections.deque[int] = collections.deque(maxlen=GIVEN_MAX)


def free_ports(count: int) -> list[int]:
    """Return different TCP ports of 127.0.0.1 that are free now.

    None of them was returned lately: its process may not listen on it yet. They lie below the
    range from which the kernel takes ports of outgoing connections, so that none of those can
    take one before its process listens.
    """
    sampled = random.Random().sample(PORTS, len(PORTS))
    candidates = (port for port in sampled if port not in _given)
    ports = list(itertools.islice(filter(_is_free, candidates), count))
    _given.extend(ports)
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
    """Where a host is."""

    __slots__ = ("data_center", "host", "region")

    def __init__(self, host: str, region: str, data_center: str) -> None:
        self.host = host
        self.region = region
        self.data_center = data_center


class Fleet:
    """A running fleet: object API, backend servers and hosts; use as a context manager.

    :param directory: where settings files and logs go.
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
        """Start a host; ``settings`` add to or replace those of its file."""
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
            # The store runs in the region of the first host.
            "store": {"url": self.store_url, "region": [*self.hosts, entry][0].region},
        }
        path = self.directory / f"{location.host}.jsonc"
        path.write_text(json.dumps(document | settings))
        self.start(location.host, "radishbridge.host", "--config", str(path))
        self.hosts.append(entry)
        return entry

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start a module as a process whose output goes to ``NAME.log``."""
        with open(self.directory / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments], stdout=log, stderr=log
            )

    def describe(self) -> str:
        """Return for each process whether it runs, and the last lines of its log."""
        parts = []
        for name, process in self.processes.items():
            code = process.poll()
            state = "runs" if code is None else f"ended with {code}"
            lines = (self.directory / f"{name}.log").read_text(errors="replace").splitlines()
            parts += [f"{name} {state}", *(f"  {line}" for line in lines[-LOG_LINES:])]
        return "\n".join(parts)

    async def announce_hosts(self, session: aiohttp.ClientSession) -> None:
        """Put the hosts on the platform's list."""
        body = msgspec.json.encode(HostList(hosts=self.hosts))
        async with session.put(f"{self.store_url}/control/hosts", data=body) as answer:
            answer.raise_for_status()

    async def wait_ready(self, session: aiohttp.ClientSession) -> None:
        """Wait until every host is ready."""
        urls = [f"http://{host.admin_address}/ready" for host in self.hosts]
        await asyncio.gather(*(wait_for_status(session, url, 200) for url in urls))


async def wait_for_status(session: aiohttp.ClientSession, url: str, status: int) -> None:
    """Wait until a URL answers with a status; raises ``TimeoutError`` after 30 s."""
    seen = 0
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            while seen != status:
                seen = await _status(session, url)
                await asyncio.sleep(POLL_PAUSE_S)
    except TimeoutError:
        raise TimeoutError(f"{url} does not answer {status}, the last answer was {seen}") from None


async def _status(session: aiohttp.ClientSession, url: str) -> int:
    try:
        async with session.get(url) as answer:
            return answer.status
    except aiohttp.ClientError:
        return 0
