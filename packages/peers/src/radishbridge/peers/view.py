"""Tracks other hosts by their messages: incarnation, message order and liveness."""

from __future__ import annotations

from radishbridge.peers.messages import Envelope
from radishbridge.peers.protocol import Peer

LIVENESS_TIMEOUT_HEARTBEATS = 2.5


class PeerView:
    """The known peers by name, with the last sequence number accepted from each.

    :param liveness_timeout_s: seconds without a message after which a peer is not live.
    """

    __slots__ = ("last_sequences", "liveness_timeout_s", "peers")

    def __init__(self, liveness_timeout_s: float) -> None:
        self.liveness_timeout_s = liveness_timeout_s
        self.peers: dict[str, Peer] = {}
        self.last_sequences: dict[str, int] = {}

    def accept(self, envelope: Envelope, now: float) -> Peer | None:
        """Record a message unless it is to be dropped.

        :param now: monotonic time in seconds.
        :return: its sender, or ``None`` if the message is a duplicate, comes from an earlier
            incarnation or from an unknown host.
        """
        peer = self.peers.get(envelope.sender)
        if peer is None:
            return None
        if envelope.incarnation != peer.incarnation:
            if not self._accepts_incarnation(peer, envelope.incarnation, now):
                return None
            peer.incarnation = envelope.incarnation
            self.last_sequences[peer.name] = 0
        if envelope.sequence <= self.last_sequences[peer.name]:
            return None
        self.last_sequences[peer.name] = envelope.sequence
        peer.last_message_at = now
        return peer

    def is_live(self, peer: Peer, now: float) -> bool:
        """Return whether a peer sent a message within the liveness timeout."""
        return now - peer.last_message_at <= self.liveness_timeout_s

    def live(self, now: float) -> list[Peer]:
        """Return the peers that sent a message within the liveness timeout."""
        return [peer for peer in self.peers.values() if self.is_live(peer, now)]

    def _accepts_incarnation(self, peer: Peer, incarnation: int, now: float) -> bool:
        # Incarnations are wall-clock times. A restarted host whose clock went back has a lower one;
        # it is accepted once the previous incarnation has sent nothing for the liveness timeout.
        return incarnation > peer.incarnation or not self.is_live(peer, now)
