"""Messages between hosts, the mesh that carries them and the view of live hosts."""

from __future__ import annotations

from radishbridge.peers.directory import RELAYS_PER_DATA_CENTER, Directory
from radishbridge.peers.feed import DirectoryFeed
from radishbridge.peers.link import MeshCounters
from radishbridge.peers.mesh import MeshTiming, ZmqMesh
from radishbridge.peers.messages import (
    DirectoryUpdate,
    Envelope,
    Heartbeat,
    HostAddress,
    LoanReturned,
    PeerMessage,
    PromiseRequest,
    RelayedObject,
    RenewalPromise,
    SharePiece,
    TokenRequest,
    TokenTransfer,
)
from radishbridge.peers.protocol import Handler, Peer, PeerMesh
from radishbridge.peers.rendezvous import rank
from radishbridge.peers.view import PeerView

__all__ = [
    "RELAYS_PER_DATA_CENTER",
    "Directory",
    "DirectoryFeed",
    "DirectoryUpdate",
    "Envelope",
    "Handler",
    "Heartbeat",
    "HostAddress",
    "LoanReturned",
    "MeshCounters",
    "MeshTiming",
    "Peer",
    "PeerMesh",
    "PeerMessage",
    "PeerView",
    "PromiseRequest",
    "RelayedObject",
    "RenewalPromise",
    "SharePiece",
    "TokenRequest",
    "TokenTransfer",
    "ZmqMesh",
    "rank",
]
