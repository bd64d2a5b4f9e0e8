"""What a host has heard of the others: incarnations, order of messages, liveness."""

from __future__ import annotations

from radishbridge.peers.messages import Envelope
from radishbridge.peers.protocol import Peer

LIVENESS_HEARTBEATS = 2.5


class PeerView:
    """The peers by name with the last message heard of each.

    :param liveness_s: seconds of silence after which a peer no longer counts as alive.
    """

    __slots__ = ("liveness_s", "peers", "sequences")

    def __init__(self, liveness_s: float) -> None:
        self.liveness_s = liveness_s
        self.peers: dict[str, Peer] = {}
        self.sequences: dict[str, int] = {}

    def accept(self, envelope: Envelope, now: float) -> Peer | None:
        """Note a message.

        :param now: monotonic time in seconds.
        :return: its sender, or ``None`` where the message is a duplicate, comes from an
            earlier incarnation or from a host that is not known.
        """
        peer = self.peers.get(envelope.sender)
        if peer is None:
            return None
        if envelope.incarnation != peer.incarnation:
            if not self._may_replace(peer, envelope.incarnation, now):
                return None
            peer.incarnation = envelope.incarnation
            self.sequences[peer.name] = 0
        if envelope.sequence <= self.sequences[peer.name]:
            return None
        self.sequences[peer.name] = envelope.sequence
        peer.heard_at = now
        return peer

    def is_live(self, peer: Peer, now: float) -> bool:
        """Return whether a peer was heard within the liveness bound."""
        return now - peer.heard_at <= self.liveness_s

    def live(self, now: float) -> list[Peer]:
        """Return the peers heard within the liveness bound."""
        return [peer for peer in self.peers.values() if self.is_live(peer, now)]

    def _may_replace(self, peer: Peer, incarnation: int, now: float) -> bool:
        # Incarnations grow with the wall clock. A replacement whose clock is behind is let in
        # once its predecessor has been silent for the liveness bound.
        return incarnation > peer.incarnation or not self.is_live(peer, now)
