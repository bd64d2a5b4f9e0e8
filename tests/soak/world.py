"""The environment of the soak test: store, backend servers, entry hosts, callers and faults."""

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
from soak.checks import Drain, check, link_name
from soak.history import History
from soak.hosts import CONTACT_BOUND_S, SHUTDOWN_GRACE_S, Host
from soak.odd_entries import ODD_ENTRIES
from soak.proxy import Direction, Proxy
from soak.servers import Mode, Server, Statement
from soak.store import Fault, Store
from soak.usage import DELAY_S, UsageEndpoint

REGION_BY_ZONE = {"north": "east", "south": "east", "west-1": "west"}
SERVERS_PER_SERVICE = {"catalogue": 6, "orders": 4}
TENANT_RATES = {"school": (60.0, 30.0), "salon": (400.0, 100.0)}
RESTART_DELAY_S = 0.3
# Time after the last fault within which the fleet must recover (bound ``recovery``).
RECOVERY_BOUND_S = 15.0
SERVER_MODES: tuple[Mode, ...] = ("slow", "hang", "shed", "lose", "extra", "fail")
# Messages in the log of a host that went on after an error of the program.
CONTAINED_ERRORS = ("background task failed", "listener failed", "connection failed")
STATEMENTS: tuple[Statement, ...] = ("bare", "copied")
# Faults that make it unclear whether a request ran. Stops of hosts are rarer, since they excuse the
# host from promises with a time bound.
EXCHANGE_FAULTS = (*("statement", "statements", "link", "callers") * 2, "stutter")
# Fraction of the chunks after which a disturbed proxy resets the connection.
RESET_RATE = 0.05
# Stops of a process in quick succession: their number, and the longest of a stop and between two.
STUTTER_STOPS, STUTTER_S = 8, 0.25
STORE_FAULTS: tuple[Fault, ...] = ("busy", "reset", "silent")


class World:
    """All components of a soak test, and the faults that may be injected into them."""

    host_type: type[Host] = Host

    def __init__(
        self,
        seed: int,
        hosts: int,
        directory: pathlib.Path,
        check_timing: bool = True,
        reports_usage: bool = False,
    ) -> None:
        self.usage = UsageEndpoint() if reports_usage else None
        self.seed = seed
        self.check_timing = check_timing
        self.rng = random.Random(seed)
        self.history = History()
        self.store = Store(random.Random(seed))
        self.servers: list[Server] = []
        self.stopped_servers: list[Server] = []
        self.keys = {
            f"{tenant}-{number}": Key(f"{tenant}-{number}", tenant)
            for tenant in TENANT_RATES
            for number in range(6)
        }
        self.configuration_version = 1
        self.drains: list[Drain] = []
        self.host_count = hosts
        self.hosts: list[Host] = []
        self.directory = directory
        self.server_numbers = iter(range(10_000))
        self.tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def running(self) -> t.AsyncIterator[None]:
        """Start all components, and stop them on exit."""
        runner = web.AppRunner(self.store.application(), shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        address = runner.addresses[0][:2]
        usage_address = "" if self.usage is None else await self.usage.start()
        for service, count in SERVERS_PER_SERVICE.items():
            for _ in range(count):
                await self.add_server(service)
        await self.store.put("config", "main", spec=self.configuration())
        base = free_ports(1)[0]
        for number in range(self.host_count):
            host = self.host_type(
                number, base, REGION_BY_ZONE, address, self.directory, self.history, usage_address
            )
            await host.prepare()
            host.start()
            self.hosts.append(host)
        try:
            yield
        finally:
            for host in self.hosts:
                host.kill()
                await host.store_proxy.stop()
                await host.caller_proxy.stop()
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            for server in [*self.servers, *self.stopped_servers]:
                await server.stop()
            await runner.cleanup()
            if self.usage is not None:
                await self.usage.stop()

    def configuration(self) -> dict[str, t.Any]:
        """Return the operators' configuration with the keys that are valid now."""

        def resource(resource_kind: str, name: str, /, **spec: t.Any) -> dict[str, t.Any]:
            return {"resourceKind": resource_kind, "metadata": {"name": name}, "spec": spec}

        route = {"host": HOST_NAME, "timeout": "1500ms", "targetLatency": "200ms", "attempts": 2}
        valid_keys = [key for key in self.keys.values() if not key.revoked_at]
        return {
            "version": f"{self.configuration_version:08x}",
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
                *(resource("services", name, warmupPerS=20) for name in SERVERS_PER_SERVICE),
                *(
                    resource(
                        "tenants",
                        name,
                        apiKeys=[key.value for key in valid_keys if key.tenant == name],
                        ratePerS=rate,
                        burst=burst,
                    )
                    for name, (rate, burst) in TENANT_RATES.items()
                ),
            ],
        }

    async def add_server(self, service: str) -> None:
        """Start a server and register it."""
        number = next(self.server_numbers)
        zone = sorted(REGION_BY_ZONE)[number % len(REGION_BY_ZONE)]
        server = Server(f"i-{number}", service, zone, self.history)
        server.rng.seed(f"{self.seed}-{server.name}")
        await server.start()
        self.servers.append(server)
        await self.store.put("servers", server.name, spec=server.registration())

    # The seed decides which of the faults below are injected. Each method returns once its fault
    # has started; the fault ends by itself.

    def stop_host(self) -> None:
        """Stop a host with SIGTERM and start it again."""
        self._start_task(self._restart(self.rng.choice(self.hosts), signal.SIGTERM))

    def kill_host(self) -> None:
        """Kill a host and start it again."""
        self._start_task(self._restart(self.rng.choice(self.hosts), signal.SIGKILL))

    def kill_all_hosts(self) -> None:
        """Kill all hosts at the same time and start them again."""
        for host in self.hosts:
            self._start_task(self._restart(host, signal.SIGKILL))

    def pause_host(self) -> None:
        """Pause a host's process for a while."""
        self._start_task(self._pause(self.rng.choice(self.hosts), self.rng.uniform(0.3, 4.0)))

    def reload_host(self) -> None:
        """Make a host reload its settings."""
        self.rng.choice(self.hosts).signal(signal.SIGHUP, 0.0)

    def cut_host_from_store(self) -> None:
        """Block a host's connections to the store, possibly after a reset."""
        host = self.rng.choice(self.hosts)
        duration_s = self.rng.uniform(1.0, 5.0)
        self.history.record_disturbance(host.name, duration_s + CONTACT_BOUND_S)
        if self.rng.random() < 0.5:
            host.store_proxy.reset()
        directions = {*Direction} if self.rng.random() < 0.5 else {self.rng.choice(list(Direction))}
        self._start_task(self._block(host.store_proxy.blocked_directions, directions, duration_s))

    def fail_store(self) -> None:
        """Make the store refuse, reset or ignore all calls for a while."""
        self._start_task(self._change_store("fault", self.rng.choice(STORE_FAULTS), ""))

    def slow_store(self) -> None:
        """Delay all calls of the store for a while."""
        self._start_task(self._change_store("delay_s", self.rng.uniform(0.1, 0.5), 0.0))

    def lose_store_answers(self) -> None:
        """Make the store lose the responses to half of the writes for a while."""
        self._start_task(self._change_store("lost_response_rate", 0.5, 0.0))

    def compact_store(self) -> None:
        """Make the store discard its history."""
        self._start_task(self.store.compact())

    def change_server_mode(self) -> None:
        """Make a server misbehave for a while."""
        server = self.rng.choice(self.servers)
        self._start_task(self._change_server_mode(server, self.rng.choice(SERVER_MODES)))

    def crash_server(self) -> None:
        """Crash a server; its registration is removed later, and another server starts."""
        self._start_task(self._crash(self.rng.choice(self.servers)))

    def drain_server(self) -> None:
        """Drain a server and replace it, if its service has more than 3."""
        service = self.rng.choice(list(SERVERS_PER_SERVICE))
        servers = [server for server in self.servers if server.service == service]
        if len(servers) > 3:
            self._start_task(self._drain(servers[0]))

    def disturb_link(self) -> None:
        """Block, reset or delay the link to a server; a block affects one or both directions."""
        server = self.rng.choice(self.servers)
        proxy = server.proxy
        kind = self.rng.choice(["silent", "one way", "reset", "slow"])
        duration_s = self.rng.uniform(0.5, 4.0)
        self.history.record_disturbance(link_name(server.name), duration_s + CONTACT_BOUND_S)
        if kind == "reset":
            proxy.reset()
        elif kind == "slow":
            self._start_task(self._delay_proxy(proxy, duration_s))
        else:
            directions = {*Direction} if kind == "silent" else {self.rng.choice(list(Direction))}
            self._start_task(self._block(proxy.blocked_directions, directions, duration_s))

    def revoke_key(self) -> None:
        """Revoke a key, if more than 4 are valid."""
        valid_keys = [key for key in self.keys.values() if not key.revoked_at]
        if len(valid_keys) > 4:
            self._start_task(self._revoke(self.rng.choice(valid_keys)))

    def write_odd_entry(self) -> None:
        """Write odd entries among those of the backend servers, and remove them after a while."""
        for text in self.rng.sample(list(ODD_ENTRIES.values()), 3):
            self._start_task(self._write_odd_entry(text))

    async def run_faults(self, seconds: float, caller_count: int) -> list[str]:
        """Inject faults for a time, wait for the recovery, and return the broken promises."""
        faults = [
            self.stop_host,
            self.kill_host,
            self.pause_host,
            self.reload_host,
            self.cut_host_from_store,
            self.fail_store,
            self.slow_store,
            self.lose_store_answers,
            self.compact_store,
            self.change_server_mode,
            self.crash_server,
            self.drain_server,
            self.disturb_link,
            self.revoke_key,
            self.write_odd_entry,
        ]
        callers = Callers(self.hosts, self.keys, self.history, self.seed, misbehave=True)
        callers_task = asyncio.create_task(callers.run(caller_count))
        notices_task = asyncio.create_task(self._give_notices())
        exchanges_task = asyncio.create_task(self._disturb_exchanges())
        await asyncio.sleep(CONTACT_BOUND_S)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            fault = self.kill_all_hosts if self.rng.random() < 0.03 else self.rng.choice(faults)
            self.history.add_note(fault.__name__)
            fault()
            await asyncio.sleep(self.rng.expovariate(1.0 / 0.7))
        notices_task.cancel()
        exchanges_task.cancel()
        while self.tasks:
            await asyncio.sleep(0.1)
        undisturbed_from = time.monotonic() + RECOVERY_BOUND_S
        await asyncio.sleep(RECOVERY_BOUND_S + 2.0)
        callers.stopping = True
        await callers_task
        if self.usage is not None:
            await asyncio.sleep(DELAY_S)
        violations = check(
            self.history, self.keys, TENANT_RATES, self.drains, undisturbed_from, self.check_timing
        )
        return [*violations, *self.usage_violations(), *self.contained_errors()]

    def usage_violations(self) -> list[str]:
        """Return the rules that the usage reports have broken, and note what is wrong in them."""
        if self.usage is None:
            return []
        offset_s = time.time() - time.monotonic()
        runs = [(run.tenant, run.at + offset_s) for run in self.history.executions]
        accuracy = self.usage.accuracy(runs)
        wrong = {window: fault for window, fault in accuracy.items() if fault}
        self.history.notes.extend(f"USAGE {window}: {fault}" for window, fault in wrong.items())
        print(f"usage: {len(accuracy)} windows, {len(wrong)} missing or wrong: {wrong}")
        return self.usage.violations()

    def contained_errors(self) -> list[str]:
        """Return the errors of background tasks in the hosts' logs."""
        return [
            f"ERROR {host.name}: {line[:300]}"
            for host in self.hosts
            for line in host.log_path.read_text(errors="replace").splitlines()
            if any(f'"message":"{message}"' in line for message in CONTAINED_ERRORS)
        ]

    def _start_task(self, coroutine: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _give_notices(self) -> None:
        # Drawn apart from the other faults, whose order belongs to the seed.
        rng = random.Random(f"notices-{self.seed}")
        while True:
            await asyncio.sleep(rng.expovariate(1.0 / 1.5))
            server = rng.choice(self.servers)
            if rng.random() < 0.5:
                self.history.add_note(f"{server.name} asks for a pause")
                server.paused_until = time.monotonic() + rng.uniform(0.5, 4.0)
            elif self._may_leave(server):
                self.history.add_note(f"{server.name} leaves")
                self._start_task(self._leave(server))

    async def _disturb_exchanges(self) -> None:
        """Make servers, links and processes do what makes it unclear whether a request ran."""
        rng = random.Random(f"exchanges-{self.seed}")
        while True:
            await asyncio.sleep(rng.expovariate(1.0 / 0.7))
            duration_s = rng.uniform(0.5, 4.0)
            kind = rng.choice(EXCHANGE_FAULTS)
            statement = rng.choice(STATEMENTS)
            server, host = rng.choice(self.servers), rng.choice(self.hosts)
            proxy = server.proxy if kind == "link" else host.caller_proxy
            reset_rate = rng.choice([0.0, RESET_RATE])
            self.history.add_note(f"{kind} {statement} {server.name} {host.name} {duration_s:.1f}")
            if kind == "statement":
                self._start_task(self._change_statement([server], statement, duration_s))
            elif kind == "statements":
                servers = [one for one in self.servers if one.service == server.service]
                self._start_task(self._change_statement(servers, statement, duration_s))
            elif kind == "stutter":
                self._start_task(self._stutter(host, rng))
            else:
                if kind == "link":
                    link = link_name(server.name)
                    self.history.record_disturbance(link, duration_s + CONTACT_BOUND_S)
                proxy.rng.seed(rng.random())
                self._start_task(self._cut_proxy(proxy, reset_rate, duration_s))

    def _may_leave(self, server: Server) -> bool:
        others = [
            one for one in self.servers if one.service == server.service and not one.is_leaving
        ]
        return len(others) > 2

    async def _leave(self, server: Server) -> None:
        """Let a server say that it leaves, and start it again under its id some seconds later."""
        server.is_leaving = True
        await asyncio.sleep(5.0)
        if server not in self.servers:
            return
        self.servers.remove(server)
        self.stopped_servers.append(server)
        await server.stop()
        successor = Server(server.name, server.service, server.data_center, self.history)
        await successor.start()
        self.servers.append(successor)
        await self.store.put("servers", successor.name, spec=successor.registration())

    async def _restart(self, host: Host, signal_number: signal.Signals) -> None:
        # Another fault may end this process and start the next one between two polls.
        process = host.process
        host.signal(signal_number, SHUTDOWN_GRACE_S + CONTACT_BOUND_S)
        for _ in range(int((SHUTDOWN_GRACE_S + 1.0) / 0.05)):
            if process is None or process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        else:
            self.history.notes.append(f"LATE {host.name} still runs after {SHUTDOWN_GRACE_S} s")
            host.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        if not host.is_running:
            host.start()

    async def _pause(self, host: Host, duration_s: float) -> None:
        host.signal(signal.SIGSTOP, duration_s + CONTACT_BOUND_S)
        await asyncio.sleep(duration_s)
        host.signal(signal.SIGCONT, CONTACT_BOUND_S)

    async def _block(
        self, blocked_directions: set[Direction], directions: set[Direction], duration_s: float
    ) -> None:
        blocked_directions |= directions
        await asyncio.sleep(duration_s)
        blocked_directions -= directions

    async def _delay_proxy(self, proxy: Proxy, duration_s: float) -> None:
        proxy.delay_s = 0.1
        await asyncio.sleep(duration_s)
        proxy.delay_s = 0.0

    async def _cut_proxy(self, proxy: Proxy, reset_rate: float, duration_s: float) -> None:
        proxy.cuts, proxy.reset_rate = True, reset_rate
        await asyncio.sleep(duration_s)
        proxy.cuts, proxy.reset_rate = False, 0.0

    async def _stutter(self, host: Host, rng: random.Random) -> None:
        for _ in range(STUTTER_STOPS):
            await self._pause(host, rng.uniform(0.0, STUTTER_S))
            await asyncio.sleep(rng.uniform(0.0, STUTTER_S))

    async def _change_statement(
        self, servers: list[Server], statement: Statement, duration_s: float
    ) -> None:
        for server in servers:
            server.statement = statement
        await asyncio.sleep(duration_s)
        for server in servers:
            server.statement = "true"

    async def _change_store(self, name: str, value: t.Any, normal: t.Any) -> None:
        duration_s = self.rng.uniform(0.5, 5.0)
        self.history.record_disturbance("store", duration_s + CONTACT_BOUND_S)
        setattr(self.store, name, value)
        await asyncio.sleep(duration_s)
        setattr(self.store, name, normal)

    async def _change_server_mode(self, server: Server, mode: Mode) -> None:
        server.mode = mode
        await asyncio.sleep(self.rng.uniform(1.0, 5.0))
        server.mode = "normal"

    async def _crash(self, server: Server) -> None:
        if server not in self.servers:
            return
        self.servers.remove(server)
        self.stopped_servers.append(server)
        await server.stop()
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        await self.store.remove("servers", server.name)
        await self.add_server(server.service)

    async def _drain(self, server: Server) -> None:
        self.servers.remove(server)
        self.stopped_servers.append(server)
        await self.store.put("servers", server.name, spec=server.registration("draining"))
        self.drains.append(Drain(server.name, time.monotonic()))
        await asyncio.sleep(4.0)
        await self.store.remove("servers", server.name)
        await server.stop()
        await self.add_server(server.service)

    async def _write_odd_entry(self, text: str) -> None:
        name = f"odd-{next(self.server_numbers)}"
        await self.store.put_text("servers", name, text.replace('"name":"odd', f'"name":"{name}'))
        await asyncio.sleep(self.rng.uniform(0.5, 8.0))
        await self.store.remove("servers", name)

    async def _revoke(self, key: Key) -> None:
        self.keys[key.value] = key._replace(revoked_at=time.monotonic())
        self.configuration_version += self.rng.randrange(1, 4)
        await self.store.put("config", "main", spec=self.configuration())
