"""Messages between hosts, the ZeroMQ mesh that carries them, and host membership."""

from __future__ import annotations

from radishbridge.peers.connection import MeshCounters
from radishbridge.peers.directory import RELAYS_PER_DATA_CENTER, Directory
from radishbridge.peers.feed import DirectoryFeed
from radishbridge.peers.listener import ReceiveLimits
from radishbridge.peers.mesh import FRAME_BYTES_MAX, HeartbeatIntervals, ZmqMesh
from radishbridge.peers.messages import (
    BucketVersions,
    DirectoryUpdate,
    Envelope,
    Heartbeat,
    HostAddress,
    LoanReturned,
    ObjectRequest,
    ObjectVersion,
    PeerMessage,
    PromiseRequest,
    ProofAnswer,
    ProofRequest,
    RelayedObject,
    RenewalPromise,
    ReplicaDifference,
    ReplicaDigest,
    TokenRequest,
    TokenTransfer,
    UnitLoan,
)
from radishbridge.peers.protocol import Handler, Peer, PeerMesh
from radishbridge.peers.rendezvous import rank
from radishbridge.peers.view import PeerView

__all__ = [
    "FRAME_BYTES_MAX",
    "RELAYS_PER_DATA_CENTER",
    "BucketVersions",
    "Directory",
    "DirectoryFeed",
    "DirectoryUpdate",
    "Envelope",
    "Handler",
    "Heartbeat",
    "HeartbeatIntervals",
    "HostAddress",
    "LoanReturned",
    "MeshCounters",
    "ObjectRequest",
    "ObjectVersion",
    "Peer",
    "PeerMesh",
    "PeerMessage",
    "PeerView",
    "PromiseRequest",
    "ProofAnswer",
    "ProofRequest",
    "ReceiveLimits",
    "RelayedObject",
    "RenewalPromise",
    "ReplicaDifference",
    "ReplicaDigest",
    "TokenRequest",
    "TokenTransfer",
    "UnitLoan",
    "ZmqMesh",
    "rank",
]
