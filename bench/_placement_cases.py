"""Histories of a service's servers, and the objects that change their server in each."""

from __future__ import annotations

import collections
import random
import typing as t

import msgspec

from radishbridge.steering import Selector, Server, ServerCriteria, SlowStart

SERVICE = "catalogue"
REGIONS = ("east", "middle", "west")
# Data centres, with their region and their part of the servers: the distribution that the
# operators of the two overloaded deployments have (1, 4 and 5 of 11 servers by region).
DATA_CENTERS = (
    "east-a",
    *(f"middle-{name}" for name in "abcd"),
    *(f"west-{name}" for name in "abcdef"),
)
SLOTS = 9
# Interval in seconds between two summaries, at which waiting servers get a place.
TICK_S = 0.5
# Causes of a move: the object's server is out of use; it goes to a server that had no objects; the
# weight of a region changed; none of these.
CAUSES = ("forced", "added", "weight", "noise")


class Result(msgspec.Struct):
    """Objects that changed their server, as parts of all objects.

    :param least: the least possible: the sum of the parts of the slots that were removed or added.
    :param moved: moves by cause, each change of an object's server counted.
    :param least_net: the least possible of ``net``.
    :param net: objects whose server afterwards differs from the one before, or from its
        replacement.
    :param share_error: largest deviation of a server's objects from its part of the slots.
    :param disagreement: objects that a host that has just started ranks differently.
    :param recorded: the same if that host reads the places from the store.
    """

    least: float
    moved: dict[str, float]
    least_net: float
    net: float
    share_error: float
    disagreement: float
    recorded: float

    @property
    def total(self) -> float:
        """Return all moves."""
        return sum(self.moved.values())


class World:
    """One host's selector in virtual time, and the server of each object.

    :param least: the least possible moves of the history so far.
    :param least_net: the least possible moves without those of a server to its replacement, or away
        from a server and back.
    :param replacements: names of replacements by the name of the server that they replace.
    """

    def __init__(self, count: int, objects: int, by_place: bool, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.number = 0
        self.least = 0.0
        self.least_net = 0.0
        self.replacements: dict[str, str] = {}
        self.moved: collections.Counter[str] = collections.Counter()
        self.criteria = [
            ServerCriteria(SERVICE, str(number), None, None) for number in range(objects)
        ]
        self.by_place = by_place
        self.selector = Selector(SlowStart("host", 1.5, 5.0), REGIONS[0])
        for index in range(count):
            self.put(self.new_server(DATA_CENTERS[index % len(DATA_CENTERS)]))
        if by_place:
            self.selector.record_pace(SERVICE)
        self.servers = self.read_servers()
        self.usable = self.read_usable()
        self.initial = dict(self.servers)

    def new_server(self, data_center: str, address: str = "", slots: int = SLOTS) -> Server:
        """Return a server that starts now under a new name."""
        self.number += 1
        return Server(
            name=f"server-{self.rng.getrandbits(40):010x}",
            incarnation=int(self.now * 1000) + self.number,
            service=SERVICE,
            address=address or f"10.0.{self.number // 250}.{self.number % 250}:80",
            region=data_center.split("-")[0],
            data_center=data_center,
            version="v1",
            slots=slots,
        )

    def put(self, server: Server) -> None:
        """Apply a new entry or a change of one."""
        self.selector.put(server, self.now)

    def live(self) -> list[Server]:
        """Return the servers that are not draining."""
        return [
            state.server for state in self.selector.states.values() if not state.server.draining
        ]

    def part(self, server: Server) -> float:
        """Return a server's part of all slots in use, as they were when last measured."""
        return server.slots / max(1, sum(self.usable.values()))

    def read_usable(self) -> dict[str, int]:
        """Return the slots of the servers that take requests, by name."""
        return {
            state.server.name: state.server.slots for state in self.selector.usable_servers(SERVICE)
        }

    def read_servers(self) -> dict[str, str]:
        """Return the first server of each object."""
        return {
            criteria.key: self.selector._ranking(criteria)[0].server.name
            for criteria in self.criteria
        }

    def step(self, seconds: float = TICK_S, weights_changed: bool = False) -> None:
        """Let time pass, and count the objects that have changed their server."""
        end = self.now + seconds
        self.measure(weights_changed)
        while self.now + TICK_S <= end + 1e-9:
            self.now += TICK_S
            self.selector.settle_places(self.now)
            if not self.selector.rankings:
                self.measure(weights_changed)

    def measure(self, weights_changed: bool = False) -> None:
        """Count the objects that have changed their server since the last measurement."""
        servers, usable = self.read_servers(), self.read_usable()
        had_objects = set(self.servers.values())
        for key, name in servers.items():
            before = self.servers[key]
            if before == name:
                continue
            if before not in usable:
                cause = "forced"
            elif weights_changed:
                cause = "weight"
            else:
                cause = "noise" if name in had_objects else "added"
            self.moved[cause] += 1
        self.servers, self.usable = servers, usable

    def result(self) -> Result:
        """Return what was counted."""
        count = len(self.criteria)
        objects = collections.Counter(self.servers.values())
        slots = sum(self.usable.values())
        return Result(
            least=self.least,
            moved={cause: self.moved[cause] / count for cause in CAUSES},
            net=self.net_moves(),
            least_net=self.least_net,
            share_error=max(
                abs(objects[name] / count / (part / slots) - 1.0)
                for name, part in self.usable.items()
            ),
            disagreement=self.disagreement(with_record=False),
            recorded=self.disagreement(with_record=True),
        )

    def net_moves(self) -> float:
        """Return the part of the objects whose server is not the first one or its replacement."""
        final = {key: self._replacement_of(name) for key, name in self.initial.items()}
        moved = sum(final[key] != name for key, name in self.servers.items())
        return moved / len(self.criteria)

    def _replacement_of(self, name: str) -> str:
        while name in self.replacements:
            name = self.replacements[name]
        return name

    def disagreement(self, with_record: bool) -> float:
        """Return the part of the objects that a host that starts now ranks differently.

        :param with_record: it reads the places that this host would record in the store.
        """
        other = Selector(SlowStart("other", 1.5, 5.0), REGIONS[0])
        other.weights = self.selector.weights
        other.set_drained(self.selector.drained)
        for state in self.selector.states.values():
            other.put(state.server, self.now)
        if self.by_place:
            if with_record:
                other.adopt_places(SERVICE, self.selector.places.books[SERVICE].record())
            other.record_pace(SERVICE)
        differ = sum(
            other._ranking(criteria)[0].server.name != self.servers[criteria.key]
            for criteria in self.criteria
        )
        return differ / len(self.criteria)


def add_one(world: World) -> None:
    """One server is added."""
    add(world, world.rng.choice(DATA_CENTERS))
    world.step(5.0)


def add(world: World, data_center: str) -> None:
    """Add a server and count its part."""
    server = world.new_server(data_center)
    world.put(server)
    added = server.slots / (sum(world.usable.values()) + server.slots)
    world.least += added
    world.least_net += added


def remove_one(world: World) -> None:
    """One server is removed."""
    remove(world, world.rng.choice(world.live()))
    world.step(5.0)


def remove(world: World, server: Server) -> None:
    """Remove a server and count its part."""
    world.least += world.part(server)
    world.least_net += world.part(server)
    world.selector.remove(server.name)


def replace_with_overlap(world: World, old: Server, overlap_s: float = 1.0) -> None:
    """Register a replacement, then drain the old server, then remove it."""
    new = world.new_server(old.data_center)
    world.put(new)
    world.step(overlap_s)
    world.least += world.part(old)
    world.replacements[old.name] = new.name
    world.put(msgspec.structs.replace(old, draining=True))
    world.step(1.0)
    world.selector.remove(old.name)
    world.step(1.0)


def replace_with_gap(world: World, old: Server, gap_s: float = 2.0) -> None:
    """Drain and remove a server, then register its replacement."""
    world.least += world.part(old)
    world.put(msgspec.structs.replace(old, draining=True))
    world.step(1.0)
    world.selector.remove(old.name)
    world.step(gap_s)
    new = world.new_server(old.data_center)
    world.replacements[old.name] = new.name
    world.put(new)
    world.least += new.slots / (sum(world.usable.values()) + new.slots)
    world.step(1.0)


def crash(world: World, gap_s: float, same_address: bool) -> None:
    """One server crashes, and another starts in its data centre."""
    old = world.rng.choice(world.live())
    world.least += world.part(old)
    world.selector.remove(old.name)
    world.step(gap_s)
    new = world.new_server(old.data_center, old.address if same_address else "")
    world.replacements[old.name] = new.name
    world.put(new)
    world.least += new.slots / (sum(world.usable.values()) + new.slots)
    world.step(5.0)


def crash_at_same_address(world: World) -> None:
    """A server crashes and returns at its address under a new name."""
    crash(world, 3.0, same_address=True)


def crash_at_new_address(world: World) -> None:
    """A server crashes and returns at another address."""
    crash(world, 3.0, same_address=False)


def replace_one(world: World) -> None:
    """A replacement is registered, then the old server drains."""
    replace_with_overlap(world, world.rng.choice(world.live()))
    world.step(5.0)


def add_quarter(world: World) -> None:
    """A quarter more servers appear within two seconds."""
    count = len(world.live())
    added = max(1, count // 4)
    for index in range(added):
        world.put(world.new_server(DATA_CENTERS[index % len(DATA_CENTERS)]))
        world.step(2.0 / added // TICK_S * TICK_S)
    world.least += added / (count + added)
    world.least_net += added / (count + added)
    world.step(5.0)


def release_with_overlap(world: World) -> None:
    """All servers are replaced, each after its replacement was registered."""
    for old in sorted(world.live(), key=lambda server: server.name):
        replace_with_overlap(world, old)
    world.step(5.0)


def release_with_gap(world: World) -> None:
    """All servers are replaced, each drained before its replacement is registered."""
    for old in sorted(world.live(), key=lambda server: server.name):
        replace_with_gap(world, old)
    world.step(5.0)


def drain_data_center(world: World) -> None:
    """A data centre is out of use for 8 s."""
    part = sum(world.part(server) for server in world.live() if server.data_center == "west-a")
    world.least += 2.0 * part
    world.selector.set_drained({"west-a"})
    world.step(8.0)
    world.selector.set_drained(())
    world.step(5.0)


def flap(world: World) -> None:
    """A server goes and returns five times under its name, with a new start."""
    server = world.rng.choice(world.live())
    for number in range(5):
        world.least += 2.0 * world.part(server)
        world.selector.remove(server.name)
        world.step(1.0)
        server = msgspec.structs.replace(server, incarnation=server.incarnation + number + 1)
        world.put(server)
        world.step(2.0)
    world.step(5.0)


def recover_store(world: World) -> None:
    """A quarter of the entries vanish after an outage of the store and are written again."""
    lost = world.rng.sample(world.live(), max(1, len(world.live()) // 4))
    world.least += 2.0 * sum(world.part(server) for server in lost)
    for server in lost:
        world.selector.remove(server.name)
    world.step(2.0)
    for server in world.rng.sample(lost, len(lost)):
        world.put(server)
    world.step(5.0)


def change_region_weight(world: World) -> None:
    """Home-bound requests fill half of a region's slots for 10 s."""
    slots = world.selector.slots_by_region(SERVICE)
    total = sum(slots.values())
    part = slots["west"] / total
    # The weight of the region falls to 0.5 and returns.
    world.least += 2.0 * (part - 0.5 * part / (1.0 - 0.5 * part))
    for load in (0.45, 0.0):
        for _ in range(20):
            world.selector.update_weights(SERVICE, {"west": load * slots["west"]}, world.now)
            world.step(TICK_S, weights_changed=True)


CASES: dict[str, t.Callable[[World], None]] = {
    "one added": add_one,
    "one removed": remove_one,
    "replaced, new one first": replace_one,
    "crash, same address": crash_at_same_address,
    "crash, new address": crash_at_new_address,
    "a quarter added": add_quarter,
    "release, new one first": release_with_overlap,
    "release, old one first": release_with_gap,
    "data centre drained and back": drain_data_center,
    "flapping server": flap,
    "store that recovers": recover_store,
    "weight of a region": change_region_weight,
}
