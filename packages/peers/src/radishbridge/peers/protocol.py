"""The interface through which other packages exchange messages with hosts."""

from __future__ import annotations

import typing as t

from radishbridge.peers.messages import PeerMessage


class Peer:
    """What is known of another host from its messages.

    ``incarnation`` identifies one run of the peer's process, 0 before its first message.
    ``last_message_at`` is the monotonic time of its last accepted message in seconds. ``revision``
    and ``leaving`` are those of its last heartbeat.
    """

    __slots__ = (
        "data_center",
        "incarnation",
        "last_message_at",
        "leaving",
        "name",
        "region",
        "revision",
    )

    def __init__(self, name: str, region: str, data_center: str) -> None:
        self.name = name
        self.region = region
        self.data_center = data_center
        self.incarnation = 0
        self.last_message_at = float("-inf")
        self.revision = 0
        self.leaving = False


# The second argument has the message type that the handler is subscribed to.
Handler = t.Callable[[Peer, t.Any], None]


class PeerMesh(t.Protocol):
    """Sends typed messages to other hosts and knows which of them are alive."""

    def send(self, host: str, message: PeerMessage) -> bool:
        """Queue a message; return ``False`` if the host is unknown or its queue is full."""

    def subscribe(self, message_type: type[PeerMessage], handler: Handler) -> None:
        """Call a handler for each message of a type."""

    def live(self) -> list[Peer]:
        """Return the peers that sent a message within the liveness timeout, without this host."""
