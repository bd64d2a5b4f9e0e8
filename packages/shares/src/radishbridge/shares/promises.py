"""Promises between holders that keep leases valid while the store does not answer."""

from __future__ import annotations

import asyncio
import math
import typing as t

from radishbridge.peers import Peer, PeerMesh, PeerMessage, PromiseRequest, RenewalPromise
from radishbridge.shares.lease import ShareLease
from radishbridge.shares.table import HolderKey

ASK_EVERY_S = 0.5


class PromiseExchange:
    """Asks the other holders for promises once renewals fail, and gives promises to them.

    :param clock: monotonic clock in seconds.
    """

    __slots__ = ("_asked_at", "_request_id", "clock", "lease", "mesh")

    def __init__(self, mesh: PeerMesh, lease: ShareLease, clock: t.Callable[[], float]) -> None:
        self.mesh = mesh
        self.lease = lease
        self.clock = clock
        self._request_id = 0
        self._asked_at = float("-inf")
        mesh.subscribe(PromiseRequest, self.on_request)
        mesh.subscribe(RenewalPromise, self.on_promise)

    async def run(self) -> None:
        """Ask as long as it is needed, until cancelled."""
        while True:
            self.request_promises(self.clock())
            await asyncio.sleep(ASK_EVERY_S)

    def request_promises(self, now: float) -> None:
        """Send requests if the last renewal is old."""
        if now - self.lease.renewed_at <= self.lease.times.fresh_s:
            return
        self._request_id += 1
        self._asked_at = now
        request = PromiseRequest(request_id=self._request_id, asker=self.lease.key.incarnation)
        for holder in self.lease.table.holders:
            if holder.name != self.lease.key.name:
                self.mesh.send(holder.name, request)

    def on_request(self, peer: Peer, message: PeerMessage) -> None:
        """Promise, where the store does not answer here either."""
        assert isinstance(message, PromiseRequest)
        now = self.clock()
        promise = self.lease.promise(now)
        if promise is None:
            return
        answer = RenewalPromise(
            request_id=message.request_id,
            asker=message.asker,
            units=promise.units,
            valid_s=promise.until - now,
        )
        self.mesh.send(peer.name, answer)

    def on_promise(self, peer: Peer, message: PeerMessage) -> None:
        """Take in an answer to the newest request."""
        assert isinstance(message, RenewalPromise)
        if message.asker != self.lease.key.incarnation or message.request_id != self._request_id:
            return
        if not math.isfinite(message.valid_s):
            return
        key = HolderKey(peer.name, peer.incarnation)
        now = self.clock()
        self.lease.accept_promise(key, message.units, message.valid_s, self._asked_at, now)
