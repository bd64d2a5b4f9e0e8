"""Spreads the configuration over the mesh, so that few hosts watch the store."""

from __future__ import annotations

import asyncio
import random
import time
import typing as t

import msgspec

from radishbridge.peers import RELAYS_PER_DATA_CENTER, Peer, PeerMesh, ProofAnswer, rank
from radishbridge.records import Failure
from radishbridge.store.exchange import DigestExchange, relayed
from radishbridge.store.feed import ReplicaFeed, Sleep, StoreContact
from radishbridge.store.freshness import Freshness, Witness
from radishbridge.store.proofs import ProofExchange
from radishbridge.store.protocol import ObjectStore, StoredObject
from radishbridge.store.replica import Replica

TICK_S = 0.25


class RelaySettings(msgspec.Struct, kw_only=True, frozen=True):
    """Where a host is, and the times of its relaying in seconds.

    :param start_grace_s: wait after the start for other hosts to be heard.
    :param ask_s: between requests for a proof.
    :param cut_off_ask_s: between requests for a proof by a relay that the store does not answer.
    :param exchange_s: between digest exchanges while the copy is complete.
    :param start_exchange_s: between digest exchanges before that.
    :param silence_s: silence of the relays after which the next host watches.
    :param stagger_s: further silence for each host further down the order.
    """

    host: str
    region: str
    data_center: str
    store_region: str
    start_grace_s: float = 1.0
    ask_s: float = 1.0
    cut_off_ask_s: float = 2.0
    exchange_s: float = 5.0
    start_exchange_s: float = 0.5
    silence_s: float = 3.0
    stagger_s: float = 1.0


class Relay:
    """Keeps this host's replica up to date, from the store or from other hosts.

    Two hosts of each data centre, chosen by rendezvous hashing, follow the store and pass on
    what is new. The others listen, ask for proofs, compare digests, and follow the store
    themselves only if no host that does answers them.

    :param clock: monotonic clock in seconds, the replica's own.
    """

    __slots__ = (
        "ask_at",
        "clock",
        "exchange",
        "exchange_at",
        "feed",
        "feed_task",
        "freshness",
        "heard_at",
        "mesh",
        "proofs",
        "randomness",
        "replica",
        "settings",
        "sleep",
        "started_at",
    )

    def __init__(
        self,
        settings: RelaySettings,
        store: ObjectStore,
        replica: Replica,
        mesh: PeerMesh,
        randomness: random.Random,
        freshness: Freshness | None = None,
        clock: t.Callable[[], float] = time.monotonic,
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        self.settings = settings
        self.replica = replica
        self.mesh = mesh
        self.randomness = randomness
        self.freshness = freshness or Freshness(replica, settings.store_region)
        self.clock = clock
        self.sleep = sleep
        self.feed = ReplicaFeed(
            store, replica, randomness, taken=self._pass_on, failed=self._read_hosts, sleep=sleep
        )
        self.feed_task: asyncio.Task[None] | None = None
        self.exchange = DigestExchange(replica, mesh, self._taken_from)
        self.proofs = ProofExchange(
            self.freshness, mesh, clock, self._contact, self.is_watching, self._answered
        )
        self.started_at = self.heard_at = clock()
        self.ask_at = self.exchange_at = clock()

    async def run(self) -> None:
        """Run until cancelled."""
        try:
            while True:
                self.tick(self.clock())
                await self.sleep(TICK_S)
        finally:
            self._stop_feed()

    def tick(self, now: float) -> None:
        """Do what is due.

        :param now: monotonic time in seconds.
        """
        self._set_watching(self.must_watch(now))
        self._note_own_contact()
        if now >= self.ask_at:
            self.ask_at = now + self._ask_for_proofs(now) * self._jitter()
        if now >= self.exchange_at:
            self.exchange_at = now + self._compare_digests() * self._jitter()

    def relays(self) -> list[str]:
        """Return this data centre's hosts, the two that relay first."""
        live = [
            peer.name
            for peer in self.mesh.live()
            if peer.data_center == self.settings.data_center and not peer.leaving
        ]
        return rank(self.settings.data_center, {*live, self.settings.host})

    def must_watch(self, now: float) -> bool:
        """Return whether this host is to follow the store itself."""
        order = self.relays()
        if len(order) == 1 and now - self.started_at < self.settings.start_grace_s:
            return False
        position = order.index(self.settings.host)
        if position < RELAYS_PER_DATA_CENTER:
            return True
        extra_s = (position - RELAYS_PER_DATA_CENTER) * self.settings.stagger_s
        return now - self.heard_at > self.settings.silence_s + extra_s

    def is_watching(self) -> bool:
        """Return whether this host follows the store itself."""
        return self.feed_task is not None

    def _ask_for_proofs(self, now: float) -> float:
        order = self.relays()
        if self.settings.host not in order[:RELAYS_PER_DATA_CENTER]:
            self._ask_relays(now, order)
        if self.is_watching() and now - self.replica.fresh_at > self.settings.cut_off_ask_s:
            for name in sorted(self._distant_witnesses()):
                self.proofs.ask(name)
            return self.settings.cut_off_ask_s
        return self.settings.ask_s

    def _ask_relays(self, now: float, order: list[str]) -> None:
        self.proofs.ask(self.randomness.choice(order[:RELAYS_PER_DATA_CENTER]))
        # A host that took over for silent relays is found by asking around.
        if now - self.heard_at > self.settings.silence_s / 2:
            self.proofs.ask(self.randomness.choice(order))

    def _distant_witnesses(self) -> set[str]:
        # All that watch in the store's region, so that one of them that reaches it is heard.
        live = self.mesh.live()
        near_store = [one for one in live if one.region == self.settings.store_region]
        others = [one.name for one in live if one.region != self.settings.store_region]
        watching = {
            name
            for center in {one.data_center for one in near_store}
            for name in rank(center, [one.name for one in near_store if one.data_center == center])[
                :RELAYS_PER_DATA_CENTER
            ]
        }
        return watching | set(self.randomness.sample(others, min(1, len(others))))

    def _compare_digests(self) -> float:
        live = [peer.name for peer in self.mesh.live()]
        if live:
            self.exchange.start(self.randomness.choice(live))
        complete = self.replica.complete
        return self.settings.exchange_s if complete else self.settings.start_exchange_s

    def _answered(self, peer: Peer, answer: ProofAnswer, same: bool) -> None:
        if peer.data_center == self.settings.data_center and answer.watching:
            self.heard_at = max(self.heard_at, self.clock())
        if not same:
            self.exchange.start(peer.name)

    def _taken_from(self, peer: Peer, stored: StoredObject) -> None:
        # Objects from the same data centre have been sent to all its hosts already.
        if peer.data_center != self.settings.data_center:
            self._pass_on(stored)

    def _pass_on(self, stored: StoredObject) -> None:
        message = relayed(stored)
        for peer in self.mesh.live():
            if peer.data_center == self.settings.data_center:
                self.mesh.send(peer.name, message)

    def _set_watching(self, wanted: bool) -> None:
        if wanted and (self.feed_task is None or self.feed_task.done()):
            self.feed_task = asyncio.create_task(self.feed.run(), name="replica-feed")
        elif not wanted:
            self._stop_feed()

    def _stop_feed(self) -> None:
        if self.feed_task is not None:
            self.feed_task.cancel()
            self.feed_task = None
            self.feed.contact = StoreContact()

    def _contact(self) -> StoreContact:
        return self.feed.contact

    def _note_own_contact(self) -> None:
        contact = self.feed.contact
        if contact.answers is not None:
            witness = Witness(store_answers=contact.answers, same_copy=True, at=contact.at)
            self.freshness.note_witness(self.settings.host, self.settings.region, witness)

    async def _read_hosts(self) -> None:
        read_at = self.clock()
        hosts = await self.feed.store.hosts()
        if not isinstance(hosts, Failure):
            self.freshness.note_hosts(hosts, read_at)

    def _jitter(self) -> float:
        return self.randomness.uniform(0.9, 1.1)
