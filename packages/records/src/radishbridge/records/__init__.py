"""Typed records, schema versions, result codes and settings."""

from __future__ import annotations

from radishbridge.records.admin import (
    BurnCount,
    BurnReport,
    Candidate,
    Explanation,
    HostStatus,
    InForce,
    RejectedRecord,
)
from radishbridge.records.codes import CODE_INFO, CodeInfo, Execution, ResultCode
from radishbridge.records.digest import key_digest
from radishbridge.records.failures import Failure
from radishbridge.records.record import (
    SCHEMA_VERSIONS,
    Record,
    StoredValue,
    decode_record,
    encode_record,
)
from radishbridge.records.settings import (
    LimitSettings,
    LogSettings,
    PeerSettings,
    Settings,
    StoreSettings,
    load_settings,
)
from radishbridge.records.types import (
    KINDS,
    Backend,
    ClientBlocks,
    Drain,
    Key,
    Link,
    Move,
    Rate,
    RecordBody,
    Route,
    Service,
    Site,
    Workspace,
)

__all__ = [
    "CODE_INFO",
    "KINDS",
    "SCHEMA_VERSIONS",
    "Backend",
    "BurnCount",
    "BurnReport",
    "Candidate",
    "ClientBlocks",
    "CodeInfo",
    "Drain",
    "Execution",
    "Explanation",
    "Failure",
    "HostStatus",
    "InForce",
    "Key",
    "LimitSettings",
    "Link",
    "LogSettings",
    "Move",
    "PeerSettings",
    "Rate",
    "Record",
    "RecordBody",
    "RejectedRecord",
    "ResultCode",
    "Route",
    "Service",
    "Settings",
    "Site",
    "StoreSettings",
    "StoredValue",
    "Workspace",
    "decode_record",
    "encode_record",
    "key_digest",
    "load_settings",
]
