"""Settings of the daemon, read from a file in JSON with comments."""

from __future__ import annotations

import pathlib
import typing as t

import json5
import msgspec

from radishbridge.records.codes import ResultCode
from radishbridge.records.failures import Failure


class StoreSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """How to reach the platform's object API.

    :param region: region in which the store runs.
    :param timeout_s: longest wait for one call, in seconds.
    """

    url: str
    region: str
    timeout_s: float = 2.0


class LogSettings(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Format and level of the log."""

    format: t.Literal["text", "json"] = "text"
    level: t.Literal["debug", "info", "warning", "error"] = "info"


class LimitSettings(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Limits on what one caller may send.

    Sizes are in bytes, times in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 2_147_483_648
    idle_s: float = 30.0
    key_freshness_s: float = 5.0
    shutdown_s: float = 30.0
    shutdown_lookup_s: float = 5.0


class PeerSettings(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Keys for encryption and authentication between hosts, in pyzmq's Z85 text form.

    Without keys the traffic between hosts is neither encrypted nor authenticated.
    """

    public_key: str = ""
    secret_key: str = ""
    accepted_keys: list[str] = []


class Settings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """All settings of one host; addresses are ``IP:port``."""

    host: str
    region: str
    data_center: str
    listen: str
    admin_listen: str
    peer_listen: str
    store: StoreSettings
    log: LogSettings = LogSettings()
    limits: LimitSettings = LimitSettings()
    peers: PeerSettings = PeerSettings()


def load_settings(path: pathlib.Path) -> Settings | list[Failure]:
    """Read and check a settings file.

    :return: the settings, or every fault found, each with its field and line.
    """
    try:
        document = json5.loads(path.read_text(encoding="utf-8"))
        return msgspec.convert(document, type=Settings)
    except OSError as error:
        return [Failure(ResultCode.FILE_UNREADABLE, f"{path}: {error.strerror}")]
    except Exception as error:
        return [Failure(ResultCode.SETTINGS_INVALID, f"{path}: {error}")]
