"""Messages between hosts and the view of live hosts."""

from __future__ import annotations

from radishbridge.peers.messages import (
    Envelope,
    Heartbeat,
    PeerMessage,
    PromiseRequest,
    RelayedObject,
    RenewalPromise,
    SharePiece,
    TokenRequest,
    TokenTransfer,
)
from radishbridge.peers.protocol import Handler, Peer, PeerMesh

__all__ = [
    "Envelope",
    "Handler",
    "Heartbeat",
    "Peer",
    "PeerMesh",
    "PeerMessage",
    "PromiseRequest",
    "RelayedObject",
    "RenewalPromise",
    "SharePiece",
    "TokenRequest",
    "TokenTransfer",
]
