"""Exchanges promises between holders that extend leases while the store is unreachable."""

from __future__ import annotations

import asyncio
import math
import typing as t

from radishbridge.peers import Peer, PeerMesh, PeerMessage, PromiseRequest, RenewalPromise
from radishbridge.shares.lease import ShareLease
from radishbridge.shares.table import HolderKey

REQUEST_INTERVAL_S = 0.5


class PromiseExchange:
    """Requests promises from the other holders while renewals fail, and answers their requests.

    A promise states that its sender won't write the share table for a while; see ``ShareLease``.

    :param clock: monotonic clock in seconds.
    """

    __slots__ = ("_request_id", "_requested_at", "clock", "lease", "mesh")

    def __init__(self, mesh: PeerMesh, lease: ShareLease, clock: t.Callable[[], float]) -> None:
        self.mesh = mesh
        self.lease = lease
        self.clock = clock
        self._request_id = 0
        self._requested_at = float("-inf")
        mesh.subscribe(PromiseRequest, self.on_request)
        mesh.subscribe(RenewalPromise, self.on_promise)

    async def run(self) -> None:
        """Request promises whenever renewals fail, until cancelled."""
        while True:
            self.request_promises(self.clock())
            await asyncio.sleep(REQUEST_INTERVAL_S)

    def request_promises(self, now: float) -> None:
        """Request promises from all other holders if the last renewal isn't recent."""
        if now - self.lease.renewed_at <= self.lease.times.recent_renewal_s:
            return
        self._request_id += 1
        self._requested_at = now
        request = PromiseRequest(request_id=self._request_id, asker=self.lease.key.incarnation)
        for holder in self.lease.table.holders:
            if holder.name != self.lease.key.name:
                self.mesh.send(holder.name, request)

    def on_request(self, peer: Peer, message: PeerMessage) -> None:
        """Answer with a promise if the store is unreachable from this host too."""
        assert isinstance(message, PromiseRequest)
        now = self.clock()
        promise = self.lease.make_promise(now)
        if promise is None:
            return
        answer = RenewalPromise(
            request_id=message.request_id,
            asker=message.asker,
            units=promise.units,
            valid_s=promise.expires_at - now,
        )
        self.mesh.send(peer.name, answer)

    def on_promise(self, peer: Peer, message: PeerMessage) -> None:
        """Apply a promise that answers the newest request."""
        assert isinstance(message, RenewalPromise)
        if message.asker != self.lease.key.incarnation or message.request_id != self._request_id:
            return
        if not math.isfinite(message.valid_s):
            return
        key = HolderKey(peer.name, peer.incarnation)
        now = self.clock()
        self.lease.accept_promise(key, message.units, message.valid_s, self._requested_at, now)
