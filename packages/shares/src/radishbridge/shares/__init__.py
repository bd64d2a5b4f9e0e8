"""Rate limits that hold over all hosts, enforced by leases on shares of each limit."""

from __future__ import annotations

from radishbridge.shares.account import Loan, LoanGrant, ShareAccount
from radishbridge.shares.admission import ShareAdmission
from radishbridge.shares.bucket import TokenBucket
from radishbridge.shares.exchange import CapacityRequest, ShareExchange
from radishbridge.shares.lease import Promise, ShareLease, ShareTimes
from radishbridge.shares.membership import ShareMembership
from radishbridge.shares.promises import PromiseExchange
from radishbridge.shares.protocol import Admission
from radishbridge.shares.table import (
    TABLE_KIND,
    TABLE_NAME,
    TOTAL_UNITS,
    Holder,
    HolderKey,
    ShareTable,
    decode_table,
    encode_table,
)

__all__ = [
    "TABLE_KIND",
    "TABLE_NAME",
    "TOTAL_UNITS",
    "Admission",
    "CapacityRequest",
    "Holder",
    "HolderKey",
    "Loan",
    "LoanGrant",
    "Promise",
    "PromiseExchange",
    "ShareAccount",
    "ShareAdmission",
    "ShareExchange",
    "ShareLease",
    "ShareMembership",
    "ShareTable",
    "ShareTimes",
    "TokenBucket",
    "decode_table",
    "encode_table",
]
