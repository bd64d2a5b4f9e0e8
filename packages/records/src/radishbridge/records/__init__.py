"""Typed records and their schemas, result codes, settings and validation."""

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
from radishbridge.records.decoding import DECODE_ERRORS, shorten
from radishbridge.records.digest import key_digest
from radishbridge.records.explanations import (
    DataAges,
    ExplainedRate,
    ExplainedServer,
    RequestExplanation,
)
from radishbridge.records.failures import Failure
from radishbridge.records.fields import FieldFault, FieldRule, SelfChecking, is_address
from radishbridge.records.jsonc import Document, check_document, load_document, parse_document
from radishbridge.records.merge import merge_spec
from radishbridge.records.record import (
    Record,
    StoredValue,
    decode_record,
    encode_edit,
    encode_record,
    encode_tombstone,
)
from radishbridge.records.scan import decode_or_none, is_deeper_than, split_array, split_object
from radishbridge.records.schemas import SCHEMA_VERSIONS, RateV1, ServiceV1, body_type, upgrade_spec
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
from radishbridge.records.validation import Lookup, validate_body

__all__ = [
    "CODE_INFO",
    "DECODE_ERRORS",
    "KINDS",
    "SCHEMA_VERSIONS",
    "Backend",
    "BurnCount",
    "BurnReport",
    "Candidate",
    "ClientBlocks",
    "CodeInfo",
    "DataAges",
    "Document",
    "Drain",
    "Execution",
    "ExplainedRate",
    "ExplainedServer",
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
    "Lookup",
    "Move",
    "PeerSettings",
    "Rate",
    "RateV1",
    "Record",
    "RecordBody",
    "RejectedRecord",
    "RequestExplanation",
    "ResultCode",
    "Route",
    "SelfChecking",
    "Service",
    "ServiceV1",
    "Settings",
    "Site",
    "StoreSettings",
    "StoredValue",
    "Workspace",
    "body_type",
    "check_document",
    "check_value",
    "decode_or_none",
    "decode_record",
    "encode_edit",
    "encode_record",
    "encode_tombstone",
    "find_faults",
    "is_address",
    "is_deeper_than",
    "key_digest",
    "load_document",
    "load_settings",
    "merge_spec",
    "parse_document",
    "shorten",
    "split_array",
    "split_object",
    "unknown_fields",
    "upgrade_spec",
    "validate_body",
]
