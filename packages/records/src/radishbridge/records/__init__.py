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
from radishbridge.records.check import check_value, find_faults, unknown_fields
from radishbridge.records.codes import CODE_INFO, CodeInfo, Execution, ResultCode
from radishbridge.records.failures import Failure
from radishbridge.records.fields import FieldFault, FieldRule, SelfChecking, is_address
from radishbridge.records.jsonc import Document, check_document, load_document, parse_document
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
    "Document",
    "Drain",
    "Execution",
    "Explanation",
    "Failure",
    "FieldFault",
    "FieldRule",
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
    "SelfChecking",
    "Service",
    "Settings",
    "Site",
    "StoreSettings",
    "StoredValue",
    "Workspace",
    "check_document",
    "check_value",
    "decode_record",
    "encode_record",
    "find_faults",
    "is_address",
    "load_document",
    "load_settings",
    "parse_document",
    "unknown_fields",
]
