"""The interface of the mesh of hosts, as the rest of the system sees it."""

from __future__ import annotations

import typing as t

from radishbridge.peers.messages import PeerMessage


class Peer:
    """Another host as this one sees it.

    :param incarnation: differs for each start of the peer's process; 0 where not yet heard.
    :param heard_at: monotonic time of its last message, in seconds.
    """

    __slots__ = ("data_center", "heard_at", "incarnation", "leaving", "name", "region", "revision")

    def __init__(self, name: str, region: str, data_center: str) -> None:
        self.name = name
        self.region = region
        self.data_center = data_center
        self.incarnation = 0
        self.heard_at = float("-inf")
        self.revision = 0
        self.leaving = False


# Handlers take the message type they subscribe to.
Handler = t.Callable[[Peer, t.Any], None]


class PeerMesh(t.Protocol):
    """Sends typed messages to other hosts and knows which of them are alive."""

    def send(self, host: str, message: PeerMessage) -> bool:
        """Queue a message; ``False`` where the host is unknown or its queue is full."""

    def subscribe(self, message_type: type[PeerMessage], handler: Handler) -> None:
        """Call a handler for each message of a type."""

    def live(self) -> list[Peer]:
        """Return the peers heard within the liveness bound, this host not among them."""
