"""The running soak: store, backend servers, entry hosts, callers and the faults between them."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
import signal
import time
import typing as t

from aiohttp import web

from radishbridge_standin.processes import free_ports
from soak.callers import HOST_NAME, Callers, Key
from soak.checks import Drain, check, link
from soak.hosts import CONTACT_S, GRACE_S, Host
from soak.ledger import Ledger
from soak.proxy import Way
from soak.servers import Mode, Server
from soak.store import Fault, Store

ZONES = {"north": "east", "south": "east", "west-1": "west"}
SERVICES = {"catalogue": 6, "orders": 4}
TENANTS = {"school": (60.0, 30.0), "salon": (400.0, 100.0)}
RESTART_S = 0.3
# Time in seconds after the last fault in which all has to be well again (bound ``recovery``).
RECOVERY_S = 15.0
SERVER_MODES: tuple[Mode, ...] = ("slow", "hang", "shed", "lose", "extra", "fail")
STORE_FAULTS: tuple[Fault, ...] = ("busy", "reset", "silent")


class World:
    """Everything that runs, and the faults that may be injected."""

    def __init__(self, seed: int, hosts: int, directory: pathlib.Path, timed: bool = True) -> None:
        self.seed = seed
        self.timed = timed
        self.rng = random.Random(seed)
        self.ledger = Ledger()
        self.store = Store(random.Random(seed))
        self.servers: list[Server] = []
        self.gone: list[Server] = []
        self.keys = {
            f"{tenant}-{number}": Key(f"{tenant}-{number}", tenant)
            for tenant in TENANTS
            for number in range(6)
        }
        self.version = 1
        self.drains: list[Drain] = []
        self.host_count = hosts
        self.hosts: list[Host] = []
        self.directory = directory
        self.numbers = iter(range(10_000))
        self.tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def running(self) -> t.AsyncIterator[None]:
        """Start everything, and end it."""
        runner = web.AppRunner(self.store.application(), shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        address = runner.addresses[0][:2]
        for service, count in SERVICES.items():
            for _ in range(count):
                await self.add_server(service)
        await self.store.put("config", "main", spec=self.manifest())
        base = free_ports(1)[0]
        for number in range(self.host_count):
            host = Host(number, base, ZONES, address, self.directory, self.ledger)
            await host.prepare()
            host.start()
            self.hosts.append(host)
        try:
            yield
        finally:
            for host in self.hosts:
                host.end()
                await host.store_proxy.stop()
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            for server in [*self.servers, *self.gone]:
                await server.stop()
            await runner.cleanup()

    def manifest(self) -> dict[str, t.Any]:
        """Return the operators' configuration."""

        def resource(of: str, name: str, /, **spec: t.Any) -> dict[str, t.Any]:
            return {"resourceKind": of, "metadata": {"name": name}, "spec": spec}

        route = {"host": HOST_NAME, "timeout": "1500ms", "targetLatency": "200ms", "attempts": 2}
        good = [key for key in self.keys.values() if not key.revoked_at]
        return {
            "version": f"{self.version:08x}",
            "resources": [
                resource(
                    "routes",
                    "devices",
                    pathPrefix="/devices/",
                    kind="safe",
                    service="catalogue",
                    sessionAffinity=True,
                    **route,
                ),
                resource(
                    "routes",
                    "orders",
                    pathPrefix="/orders/",
                    kind="unsafe",
                    service="orders",
                    **route,
                ),
                *(resource("services", name, warmupPerS=20) for name in SERVICES),
                *(
                    resource(
                        "tenants",
                        name,
                        apiKeys=[key.value for key in good if key.tenant == name],
                        ratePerS=rate,
                        burst=burst,
                    )
                    for name, (rate, burst) in TENANTS.items()
                ),
            ],
        }

    async def add_server(self, service: str) -> None:
        """Start a server and register it."""
        number = next(self.numbers)
        zone = sorted(ZONES)[number % len(ZONES)]
        server = Server(f"i-{number}", service, zone, self.ledger)
        await server.start()
        self.servers.append(server)
        await self.store.put("servers", server.name, spec=server.entry())

    # The faults below are chosen by seed; each returns after it has begun, and ends by itself.

    def stop_host(self) -> None:
        """Stop a host as planned and start it again."""
        self._later(self._restart(self.rng.choice(self.hosts), signal.SIGTERM))

    def kill_host(self) -> None:
        """Kill a host and start it again."""
        self._later(self._restart(self.rng.choice(self.hosts), signal.SIGKILL))

    def kill_all_hosts(self) -> None:
        """Kill all hosts at once."""
        for host in self.hosts:
            self._later(self._restart(host, signal.SIGKILL))

    def pause_host(self) -> None:
        """Let a host stand still for a while."""
        self._later(self._pause(self.rng.choice(self.hosts), self.rng.uniform(0.3, 4.0)))

    def reload_host(self) -> None:
        """Tell a host that its settings have changed."""
        self.rng.choice(self.hosts).signal(signal.SIGHUP, 0.0)

    def cut_host_from_store(self) -> None:
        """Silence or reset a host's connections to the store."""
        host = self.rng.choice(self.hosts)
        for_s = self.rng.uniform(1.0, 5.0)
        self.ledger.disturb(host.name, for_s + CONTACT_S)
        if self.rng.random() < 0.5:
            host.store_proxy.reset()
        ways = {*Way} if self.rng.random() < 0.5 else {self.rng.choice(list(Way))}
        self._later(self._block(host.store_proxy.blocked, ways, for_s))

    def fail_store(self) -> None:
        """Let the store refuse, reset or ignore all calls."""
        self._later(self._set_store("fault", self.rng.choice(STORE_FAULTS), ""))

    def slow_store(self) -> None:
        """Let the store answer late."""
        self._later(self._set_store("delay_s", self.rng.uniform(0.1, 0.5), 0.0))

    def lose_store_answers(self) -> None:
        """Let the store do writes and not answer them."""
        self._later(self._set_store("lose", 0.5, 0.0))

    def forget_history(self) -> None:
        """Let the store drop its history."""
        self._later(self.store.forget_history())

    def spoil_server(self) -> None:
        """Let a server misbehave for a while."""
        server = self.rng.choice(self.servers)
        self._later(self._spoil(server, self.rng.choice(SERVER_MODES)))

    def crash_server(self) -> None:
        """Crash a server; its entry lapses, and another one starts."""
        self._later(self._crash(self.rng.choice(self.servers)))

    def drain_server(self) -> None:
        """Let a server leave as planned."""
        service = self.rng.choice(list(SERVICES))
        of_service = [server for server in self.servers if server.service == service]
        if len(of_service) > 3:
            self._later(self._drain(of_service[0]))

    def disturb_link(self) -> None:
        """Silence, cut one way, reset or slow the link to a server."""
        server = self.rng.choice(self.servers)
        proxy = server.proxy
        kind = self.rng.choice(["silent", "one way", "reset", "slow"])
        for_s = self.rng.uniform(0.5, 4.0)
        self.ledger.disturb(link(server.name), for_s + CONTACT_S)
        if kind == "reset":
            proxy.reset()
        elif kind == "slow":
            self._later(self._slow(proxy, for_s))
        else:
            ways = {*Way} if kind == "silent" else {self.rng.choice(list(Way))}
            self._later(self._block(proxy.blocked, ways, for_s))

    def revoke_key(self) -> None:
        """Withdraw a key."""
        good = [key for key in self.keys.values() if not key.revoked_at]
        if len(good) > 4:
            self._later(self._revoke(self.rng.choice(good)))

    async def play(self, seconds: float, caller_count: int) -> list[str]:
        """Inject faults for a time, wait for the recovery, and return broken promises."""
        faults = [
            self.stop_host,
            self.kill_host,
            self.pause_host,
            self.reload_host,
            self.cut_host_from_store,
            self.fail_store,
            self.slow_store,
            self.lose_store_answers,
            self.forget_history,
            self.spoil_server,
            self.crash_server,
            self.drain_server,
            self.disturb_link,
            self.revoke_key,
        ]
        callers = Callers(self.hosts, self.keys, self.ledger, self.seed)
        calling = asyncio.create_task(callers.run(caller_count))
        await asyncio.sleep(CONTACT_S)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            fault = self.kill_all_hosts if self.rng.random() < 0.03 else self.rng.choice(faults)
            self.ledger.note(fault.__name__)
            fault()
            await asyncio.sleep(self.rng.expovariate(1.0 / 0.7))
        while self.tasks:
            await asyncio.sleep(0.1)
        calm_from = time.monotonic() + RECOVERY_S
        await asyncio.sleep(RECOVERY_S + 2.0)
        callers.stopping = True
        await calling
        return check(self.ledger, self.keys, TENANTS, self.drains, calm_from, self.timed)

    def _later(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _restart(self, host: Host, number: signal.Signals) -> None:
        # Another fault may end this process and start the next one between two looks.
        process = host.process
        host.signal(number, GRACE_S + CONTACT_S)
        for _ in range(int((GRACE_S + 1.0) / 0.05)):
            if process is None or process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        else:
            self.ledger.notes.append(f"LATE {host.name} still runs after {GRACE_S} s")
            host.end()
        await asyncio.sleep(RESTART_S)
        if not host.is_running:
            host.start()

    async def _pause(self, host: Host, for_s: float) -> None:
        host.signal(signal.SIGSTOP, for_s + CONTACT_S)
        await asyncio.sleep(for_s)
        host.signal(signal.SIGCONT, CONTACT_S)

    async def _block(self, blocked: set[Way], ways: set[Way], for_s: float) -> None:
        blocked |= ways
        await asyncio.sleep(for_s)
        blocked -= ways

    async def _slow(self, proxy: t.Any, for_s: float) -> None:
        proxy.delay_s = 0.1
        await asyncio.sleep(for_s)
        proxy.delay_s = 0.0

    async def _set_store(self, name: str, value: t.Any, usual: t.Any) -> None:
        for_s = self.rng.uniform(0.5, 5.0)
        self.ledger.disturb("store", for_s + CONTACT_S)
        setattr(self.store, name, value)
        await asyncio.sleep(for_s)
        setattr(self.store, name, usual)

    async def _spoil(self, server: Server, mode: Mode) -> None:
        server.mode = mode
        await asyncio.sleep(self.rng.uniform(1.0, 5.0))
        server.mode = "well"

    async def _crash(self, server: Server) -> None:
        if server not in self.servers:
            return
        self.servers.remove(server)
        self.gone.append(server)
        await server.stop()
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        await self.store.remove("servers", server.name)
        await self.add_server(server.service)

    async def _drain(self, server: Server) -> None:
        self.servers.remove(server)
        self.gone.append(server)
        await self.store.put("servers", server.name, spec=server.entry("draining"))
        self.drains.append(Drain(server.name, time.monotonic()))
        await asyncio.sleep(4.0)
        await self.store.remove("servers", server.name)
        await server.stop()
        await self.add_server(server.service)

    async def _revoke(self, key: Key) -> None:
        self.keys[key.value] = key._replace(revoked_at=time.monotonic())
        self.version += self.rng.randrange(1, 4)
        await self.store.put("config", "main", spec=self.manifest())
