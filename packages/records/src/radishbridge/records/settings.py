"""Settings of the daemon, read from a file in JSON with comments."""

from __future__ import annotations

import pathlib
import typing as t

import msgspec

from radishbridge.records.codes import ResultCode
from radishbridge.records.failures import Failure
from radishbridge.records.fields import (
    Address,
    FieldFault,
    HttpUrl,
    Name,
    NonNegativeInt,
    PositiveInt,
    Seconds,
    SecondsOrZero,
    Z85Key,
)
from radishbridge.records.jsonc import check_document, load_document


class StoreSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Location of the platform's object store.

    :param region: region in which the store runs.
    :param timeout_s: timeout of a call, in seconds.
    """

    url: HttpUrl
    region: Name
    timeout_s: Seconds = 2.0


class LogSettings(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Format and level of the log."""

    format: t.Literal["text", "json"] = "text"
    level: t.Literal["debug", "info", "warning", "error"] = "info"


class LimitSettings(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Limits of callers' connections and requests, and timeouts of shutdown.

    Sizes are in bytes, times in seconds.
    """

    header_bytes: PositiveInt = 16_384
    body_bytes: NonNegativeInt = 2_147_483_648
    idle_s: Seconds = 30.0
    key_freshness_s: Seconds = 5.0
    shutdown_s: SecondsOrZero = 30.0
    shutdown_lookup_s: SecondsOrZero = 5.0


class PeerSettings(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Keys for encryption and authentication between hosts, encoded as Z85.

    Without keys the traffic between hosts is neither encrypted nor authenticated.
    """

    public_key: Z85Key = ""
    secret_key: Z85Key = ""
    accepted_keys: list[Z85Key] = []

    def __repr__(self) -> str:
        return f"PeerSettings(public_key={self.public_key!r})"

    def faults(self) -> t.Iterator[FieldFault]:
        """Return faults in the combination of keys."""
        if bool(self.public_key) != bool(self.secret_key):
            yield FieldFault("", "public_key and secret_key must be set together")
        if self.accepted_keys and not self.secret_key:
            yield FieldFault("accepted_keys", "requires public_key and secret_key")


class Settings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of one host; addresses have the form ``IP:port``."""

    host: Name
    region: Name
    data_center: Name
    listen: Address
    admin_listen: Address
    peer_listen: Address
    store: StoreSettings
    log: LogSettings = LogSettings()
    limits: LimitSettings = LimitSettings()
    peers: PeerSettings = PeerSettings()

    def faults(self) -> t.Iterator[FieldFault]:
        """Return listeners with conflicting addresses."""
        if self.admin_listen == self.listen:
            yield FieldFault("admin_listen", "is the same as listen")
        if self.peer_listen in (self.listen, self.admin_listen):
            yield FieldFault("peer_listen", "is the same as another listener")


def load_settings(path: pathlib.Path) -> Settings | list[Failure]:
    """Read and validate a settings file.

    :return: the settings, or a failure for each fault, with its field and line number.
    """
    document = load_document(path)
    if isinstance(document, Failure):
        return [document]
    return check_document(document, Settings, ResultCode.SETTINGS_INVALID)
