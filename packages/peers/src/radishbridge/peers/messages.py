"""Typed messages between hosts."""

from __future__ import annotations

import msgspec


class Envelope(msgspec.Struct, kw_only=True, array_like=True):
    """What surrounds each message.

    :param sender: name of the sending host.
    :param incarnation: differs for each start of the sending process.
    :param sequence: grows by one with each message of the incarnation.
    :param body: the message in MessagePack.
    """

    sender: str
    incarnation: int
    sequence: int
    body: msgspec.Raw


class Heartbeat(msgspec.Struct, kw_only=True, tag="heartbeat"):
    """A sign of life.

    :param revision: revision of the configuration the sender holds.
    """

    revision: int
    leaving: bool = False


class HostAddress(msgspec.Struct, kw_only=True, frozen=True):
    """Where a host is and on which ``IP:port`` it takes messages from other hosts."""

    name: str
    region: str
    data_center: str
    address: str
    leaving: bool = False


class DirectoryUpdate(msgspec.Struct, kw_only=True, tag="directory"):
    """The platform's list of hosts, passed on by a relay that has just read it."""

    hosts: list[HostAddress]


class RelayedObject(msgspec.Struct, kw_only=True, tag="object"):
    """An object of the store passed on; ``value`` is its JSON text."""

    kind: str
    name: str
    version: int
    value: bytes


class TokenRequest(msgspec.Struct, kw_only=True, tag="token-request"):
    """Asks another holder for tokens of a share.

    :param deadline: the asker's own monotonic time after which it discards the answer; the
        answering host only echoes it.
    """

    quantity: str
    request_id: int
    amount: float
    deadline: float


class TokenTransfer(msgspec.Struct, kw_only=True, tag="token-transfer"):
    """Tokens that the sender has debited before it sent them."""

    quantity: str
    request_id: int
    amount: float
    deadline: float


PeerMessage = Heartbeat | DirectoryUpdate | RelayedObject | TokenRequest | TokenTransfer
