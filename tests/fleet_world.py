"""Entry hosts that exchange messages in memory, at a clock that tests advance."""

from __future__ import annotations

import collections

import msgspec

from radishbridge.entry import Fleet, HostEntry, ObjectCopy
from radishbridge.entry.messages import FleetMessage, FleetReport, HostStatus, Relayed
from radishbridge.peers import Peer
from radishbridge.steering import FleetShare


def make_entry(number: int) -> HostEntry:
    return HostEntry(
        peer_address=f"10.0.0.{number}:7000",
        listen=f"10.0.0.{number}:80",
        region=("east", "west")[number % 2],
        data_center=f"dc-{number % 4}",
        relays=True,
    )


def make_status(name: str = "h", **changes) -> HostStatus:
    return msgspec.structs.replace(HostStatus(name, True, False, True), **changes)


def make_report(name: str = "h", **changes) -> FleetReport:
    fields = {
        "status": make_status(name),
        "demands": {},
        "home_bound": {},
        "evidence": {},
        "crashes": [],
    }
    return FleetReport(**{**fields, **changes})


class Network:
    """Connects meshes in memory; messages are delivered when ``deliver`` is called.

    :param disconnected: hosts whose messages are lost in both directions.
    """

    def __init__(self) -> None:
        self.meshes: dict[str, Mesh] = {}
        self.sent: list[tuple[str, str, msgspec.Struct]] = []
        self.disconnected: set[str] = set()

    def deliver(self) -> None:
        sent, self.sent = self.sent, []
        self._deliver(sent)
        # A relay passes a message on within milliseconds, far less than the time between two calls.
        final = [one for one in self.sent if isinstance(one[2], Relayed) and one[2].is_final]
        self.sent = [one for one in self.sent if one not in final]
        self._deliver(final)

    def _deliver(self, sent: list[tuple[str, str, msgspec.Struct]]) -> None:
        for sender, target, message in sent:
            if target in self.meshes and not {sender, target} & self.disconnected:
                self.meshes[target].receive(sender, message)


class Mesh:
    """One host's end of a ``Network``."""

    def __init__(self, name: str, network: Network) -> None:
        self.name = name
        self.network = network
        self.handlers = collections.defaultdict(list)
        network.meshes[name] = self

    def subscribe(self, message_type, handler) -> None:
        self.handlers[message_type].append(handler)

    def update_directory(self, hosts) -> None:
        self.hosts = list(hosts)

    def send(self, host: str, message: msgspec.Struct) -> bool:
        if host not in {one.name for one in self.hosts}:
            return False
        decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=FleetMessage)
        self.network.sent.append((self.name, host, decoded))
        return True

    def receive(self, sender: str, message: msgspec.Struct) -> None:
        if sender not in {host.name for host in self.hosts}:
            self.on_unknown_sender(sender)
            return
        for handler in self.handlers[type(message)]:
            handler(Peer(sender, "", ""), message)


class Hosts:
    """A fleet whose hosts are all registered with each other."""

    def __init__(self, count: int) -> None:
        self.now = 0.0
        self.network = Network()
        self.entries = {
            make_entry(number).peer_address: make_entry(number) for number in range(count)
        }
        self.fleets = [self.start(number) for number in range(count)]

    def start(self, number: int) -> Fleet:
        own = make_entry(number)
        mesh = Mesh(own.peer_address, self.network)
        fleet_share = FleetShare(0.0)
        fleet = Fleet(
            own,
            mesh,
            ObjectCopy(),
            fleet_share,
            [],
            lambda: make_status(own.peer_address),
            lambda: make_report(own.peer_address, demands={"school": 2.0}),
            lambda: self.now,
        )
        fleet.update_hosts(self.entries)
        return fleet

    def step(self) -> int:
        """Let each host send its report and summary once, and return the number of messages."""
        self.now += 0.2
        for fleet in self.fleets:
            if fleet.own.peer_address not in self.network.disconnected:
                fleet.step(self.now)
        count = len(self.network.sent)
        self.network.deliver()
        return count

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds / 0.2)):
            self.step()
