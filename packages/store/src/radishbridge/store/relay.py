"""Relays the configuration between hosts, so that few hosts watch the store."""

from __future__ import annotations

import asyncio
import random
import time
import typing as t

import msgspec

from radishbridge.peers import RELAYS_PER_DATA_CENTER, Peer, PeerMesh, ProofAnswer, rank
from radishbridge.records import Failure
from radishbridge.store.exchange import DigestExchange, make_relay_message
from radishbridge.store.feed import ReplicaFeed, Sleep, StoreContact
from radishbridge.store.freshness import Freshness, StoreReport
from radishbridge.store.proofs import ProofExchange
from radishbridge.store.protocol import ObjectStore, StoredObject
from radishbridge.store.replica import Replica

TICK_INTERVAL_S = 0.25


class RelaySettings(msgspec.Struct, kw_only=True, frozen=True):
    """A host's location and its relay intervals, in seconds.

    :param start_grace_s: how long a starting host waits for heartbeats of other hosts.
    :param proof_interval_s: between requests for a proof of freshness.
    :param cut_off_proof_interval_s: age of the last proof from which a relay counts as cut off
        from the store, and the interval of its requests for a proof from then on.
    :param exchange_interval_s: between digest exchanges while the copy is complete.
    :param initial_exchange_interval_s: between digest exchanges until the copy is complete.
    :param relay_timeout_s: time without an answer from a relay after which the next host in the
        ranking watches the store.
    :param takeover_stagger_s: additional time for each further host in the ranking.
    """

    host: str
    region: str
    data_center: str
    store_region: str
    start_grace_s: float = 1.0
    proof_interval_s: float = 1.0
    cut_off_proof_interval_s: float = 2.0
    exchange_interval_s: float = 5.0
    initial_exchange_interval_s: float = 0.5
    relay_timeout_s: float = 3.0
    takeover_stagger_s: float = 1.0


class Relay:
    """Keeps this host's replica up to date, from the store or from other hosts.

    Two relays in each data centre, chosen by rendezvous hashing, follow the store and send changes
    to the other hosts. Those request proofs and compare digests, and follow the store themselves
    only if no host that follows it answers them.

    :param clock: monotonic clock in seconds, the same as the replica's.
    """

    __slots__ = (
        "clock",
        "digest_exchange",
        "feed",
        "feed_task",
        "freshness",
        "mesh",
        "next_exchange_at",
        "next_proof_request_at",
        "proof_exchange",
        "randomness",
        "relay_answered_at",
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
            store,
            replica,
            randomness,
            object_listener=self._broadcast,
            failure_listener=self._read_hosts,
            sleep=sleep,
        )
        self.feed_task: asyncio.Task[None] | None = None
        self.digest_exchange = DigestExchange(
            replica, mesh, self._on_peer_object, self._on_complete
        )
        self.proof_exchange = ProofExchange(
            self.freshness,
            mesh,
            clock,
            self._store_contact,
            self.is_watching,
            self._on_proof_answer,
        )
        self.started_at = self.relay_answered_at = clock()
        self.next_proof_request_at = self.next_exchange_at = clock()

    async def run(self) -> None:
        """Run until cancelled."""
        try:
            while True:
                self.tick(self.clock())
                await self.sleep(TICK_INTERVAL_S)
        finally:
            self._stop_feed()

    def tick(self, now: float) -> None:
        """Start or stop to follow the store, and start the proof and digest exchanges that are due.

        :param now: monotonic time in seconds.
        """
        self._set_watching(self.should_watch(now))
        self._report_own_contact()
        if now >= self.next_proof_request_at:
            self.next_proof_request_at = now + self._request_proofs(now) * self._jitter()
        if now >= self.next_exchange_at:
            self.next_exchange_at = now + self._compare_digests() * self._jitter()

    def rank_hosts(self) -> list[str]:
        """Return this data centre's hosts by rank; the first two are its relays."""
        live = [
            peer.name
            for peer in self.mesh.live()
            if peer.data_center == self.settings.data_center and not peer.leaving
        ]
        return rank(self.settings.data_center, {*live, self.settings.host})

    def should_watch(self, now: float) -> bool:
        """Return whether this host should follow the store itself.

        :param now: monotonic time in seconds.
        """
        ranking = self.rank_hosts()
        if len(ranking) == 1 and now - self.started_at < self.settings.start_grace_s:
            return False
        position = ranking.index(self.settings.host)
        if position < RELAYS_PER_DATA_CENTER:
            return True
        stagger_s = (position - RELAYS_PER_DATA_CENTER) * self.settings.takeover_stagger_s
        return now - self.relay_answered_at > self.settings.relay_timeout_s + stagger_s

    def is_watching(self) -> bool:
        """Return whether this host follows the store itself."""
        return self.feed_task is not None

    def _request_proofs(self, now: float) -> float:
        """Request proofs; return the time until the next requests, in seconds."""
        ranking = self.rank_hosts()
        if self.settings.host not in ranking[:RELAYS_PER_DATA_CENTER]:
            self._request_relay_proofs(now, ranking)
        if (
            self.is_watching()
            and now - self.replica.fresh_at > self.settings.cut_off_proof_interval_s
        ):
            for name in sorted(self._choose_proof_sources()):
                self.proof_exchange.request_proof(name)
            return self.settings.cut_off_proof_interval_s
        return self.settings.proof_interval_s

    def _request_relay_proofs(self, now: float, ranking: list[str]) -> None:
        self.proof_exchange.request_proof(self.randomness.choice(ranking[:RELAYS_PER_DATA_CENTER]))
        # A host that has taken over from silent relays is found by requests to random hosts.
        if now - self.relay_answered_at > self.settings.relay_timeout_s / 2:
            self.proof_exchange.request_proof(self.randomness.choice(ranking))

    def _choose_proof_sources(self) -> set[str]:
        # All relays in the store's region, so that one that still reaches the store is among them,
        # and a random host of another region.
        live = self.mesh.live()
        near_store = [peer for peer in live if peer.region == self.settings.store_region]
        others = [peer.name for peer in live if peer.region != self.settings.store_region]
        relays_near_store = {
            name
            for center in {peer.data_center for peer in near_store}
            for name in rank(
                center, [peer.name for peer in near_store if peer.data_center == center]
            )[:RELAYS_PER_DATA_CENTER]
        }
        return relays_near_store | set(self.randomness.sample(others, min(1, len(others))))

    def _compare_digests(self) -> float:
        """Send the digest to a random host; return the time until the next one, in seconds."""
        live = [peer.name for peer in self.mesh.live()]
        if live:
            self.digest_exchange.send_digest(self.randomness.choice(live))
        complete = self.replica.complete
        return (
            self.settings.exchange_interval_s
            if complete
            else self.settings.initial_exchange_interval_s
        )

    def _on_proof_answer(self, peer: Peer, answer: ProofAnswer, same_copy: bool) -> None:
        if peer.data_center == self.settings.data_center and answer.watching:
            self.relay_answered_at = max(self.relay_answered_at, self.clock())
        if not same_copy:
            self.digest_exchange.send_digest(peer.name)

    def _on_peer_object(self, peer: Peer, stored: StoredObject) -> None:
        # The sender has sent objects from this data centre to all its hosts already.
        if peer.data_center != self.settings.data_center:
            self._broadcast(stored)

    def _on_complete(self, peer: Peer) -> None:
        # Without a proof, the host would report that it is ready but refuse requests that
        # need a key until the next request for a proof, up to a second later.
        self.proof_exchange.request_proof(peer.name)

    def _broadcast(self, stored: StoredObject) -> None:
        message = make_relay_message(stored)
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

    def _store_contact(self) -> StoreContact:
        return self.feed.contact

    def _report_own_contact(self) -> None:
        contact = self.feed.contact
        if contact.store_answers is not None:
            report = StoreReport(
                store_answers=contact.store_answers, same_copy=True, observed_at=contact.observed_at
            )
            self.freshness.record_report(self.settings.host, self.settings.region, report)

    async def _read_hosts(self) -> None:
        read_at = self.clock()
        hosts = await self.feed.store.hosts()
        if not isinstance(hosts, Failure):
            self.freshness.update_hosts(hosts, read_at)

    def _jitter(self) -> float:
        return self.randomness.uniform(0.9, 1.1)
