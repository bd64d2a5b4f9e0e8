"""Numbered result codes shared by the daemon, the client and the documentation."""

from __future__ import annotations

import enum


class Execution(enum.Enum):
    """Whether a request with a given result code ran on a backend server."""

    RUN = "run"
    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    NOT_APPLICABLE = "not applicable"


class ResultCode(enum.IntEnum):
    """Stable result codes, documented in ``docs/RESULT-CODES.md``.

    1xx concern callers' requests, 2xx records and settings, 3xx the object store, 4xx messages
    between hosts and 5xx operators' commands.
    """

    OK = 0
    KEY_MISSING = 101
    KEY_UNKNOWN = 102
    KEY_WITHDRAWN = 103
    KEYS_STALE = 104
    SERVICE_UNKNOWN = 105
    RATE_EXCEEDED = 106
    NO_BACKEND = 107
    BACKEND_REFUSED = 108
    BACKEND_FAILED = 109
    DEADLINE_EXCEEDED = 110
    REQUEST_TOO_LARGE = 111
    REQUEST_MALFORMED = 112
    CONNECTIONS_EXCEEDED = 113
    QUEUE_FULL = 114
    POISON_REQUEST = 115
    DUPLICATE_REQUEST = 116
    CLAIM_UNAVAILABLE = 117
    HOST_STARTING = 118
    HOST_LEAVING = 119
    DEADLINE_BEFORE_SENT = 120
    REQUEST_INCOMPLETE = 121
    INTERNAL_ERROR = 122
    CALLER_GONE = 123
    ALREADY_RUN = 124
    HOST_OVERLOADED = 125
    HEAD_TOO_LARGE = 126
    HEAD_INCOMPLETE = 127
    REQUEST_CUT_OFF = 128
    RECORD_INVALID = 201
    SCHEMA_TOO_NEW = 202
    SETTINGS_INVALID = 203
    FILE_UNREADABLE = 204
    NOT_FOUND = 301
    VERSION_CONFLICT = 302
    STORE_UNAVAILABLE = 303
    WRITE_UNCLEAR = 304
    WATCH_EXPIRED = 305
    PEER_UNREACHABLE = 401
    FRAME_INVALID = 402
    LEASE_LOST = 403
    SHARE_UNAVAILABLE = 404
    USAGE = 501
    NOT_IN_FORCE = 502
    ALREADY_EXISTS = 503


class CodeInfo:
    """Description of a result code.

    :param summary: one sentence that explains the code to users.
    :param execution: whether the request ran on a backend server.
    :param http_status: status of HTTP responses with this code; 0 if there are none.
    """

    __slots__ = ("execution", "http_status", "summary")

    def __init__(self, summary: str, execution: Execution, http_status: int = 0) -> None:
        self.summary = summary
        self.execution = execution
        self.http_status = http_status


_NOT_RUN = Execution.NOT_RUN
_MAY_HAVE_RUN = Execution.MAY_HAVE_RUN
_NOT_APPLICABLE = Execution.NOT_APPLICABLE

CODE_INFO: dict[ResultCode, CodeInfo] = {
    ResultCode.OK: CodeInfo("The operation succeeded.", Execution.RUN, 200),
    ResultCode.KEY_MISSING: CodeInfo("The request carries no key.", _NOT_RUN, 401),
    ResultCode.KEY_UNKNOWN: CodeInfo("The key is not known.", _NOT_RUN, 401),
    ResultCode.KEY_WITHDRAWN: CodeInfo("The key was withdrawn.", _NOT_RUN, 401),
    ResultCode.KEYS_STALE: CodeInfo(
        "The host cannot prove that its keys are fresh.", _NOT_RUN, 503
    ),
    ResultCode.SERVICE_UNKNOWN: CodeInfo("No service has this path.", _NOT_RUN, 404),
    ResultCode.RATE_EXCEEDED: CodeInfo("The workspace is over its rate.", _NOT_RUN, 429),
    ResultCode.NO_BACKEND: CodeInfo("No backend server can take the request.", _NOT_RUN, 503),
    ResultCode.BACKEND_REFUSED: CodeInfo(
        "Backend servers refused the request before running it.", _NOT_RUN, 503
    ),
    ResultCode.BACKEND_FAILED: CodeInfo(
        "The backend server failed while it had the request.", _MAY_HAVE_RUN, 502
    ),
    ResultCode.DEADLINE_EXCEEDED: CodeInfo("The deadline passed.", _MAY_HAVE_RUN, 504),
    ResultCode.REQUEST_TOO_LARGE: CodeInfo("A size limit was exceeded.", _NOT_RUN, 413),
    ResultCode.REQUEST_MALFORMED: CodeInfo("The request is malformed.", _NOT_RUN, 400),
    ResultCode.CONNECTIONS_EXCEEDED: CodeInfo(
        "The workspace has too many connections to this host.", _NOT_RUN, 429
    ),
    ResultCode.QUEUE_FULL: CodeInfo("The queue of the workspace is full.", _NOT_RUN, 503),
    ResultCode.POISON_REQUEST: CodeInfo(
        "The same request has crashed backend servers.", _NOT_RUN, 422
    ),
    ResultCode.DUPLICATE_REQUEST: CodeInfo(
        "A request with this idempotency key has been accepted before.", _MAY_HAVE_RUN, 409
    ),
    ResultCode.CLAIM_UNAVAILABLE: CodeInfo(
        "The idempotency key could not be claimed.", _NOT_RUN, 503
    ),
    ResultCode.HOST_STARTING: CodeInfo("The host has no full configuration yet.", _NOT_RUN, 503),
    ResultCode.HOST_LEAVING: CodeInfo("The host is shutting down.", _NOT_RUN, 503),
    ResultCode.DEADLINE_BEFORE_SENT: CodeInfo(
        "The deadline passed before the request was sent to a backend server.", _NOT_RUN, 504
    ),
    ResultCode.REQUEST_INCOMPLETE: CodeInfo(
        "The body of the request did not arrive whole.", _NOT_RUN, 408
    ),
    ResultCode.INTERNAL_ERROR: CodeInfo("The host failed on the request.", _MAY_HAVE_RUN, 500),
    ResultCode.CALLER_GONE: CodeInfo("The caller went away before its answer.", _MAY_HAVE_RUN, 499),
    ResultCode.ALREADY_RUN: CodeInfo(
        "A request with this idempotency key has run before.", Execution.RUN, 409
    ),
    ResultCode.HOST_OVERLOADED: CodeInfo("The host has no room for the request.", _NOT_RUN, 503),
    ResultCode.HEAD_TOO_LARGE: CodeInfo(
        "The head of the request is over the size limit.", _NOT_RUN, 431
    ),
    ResultCode.HEAD_INCOMPLETE: CodeInfo(
        "The head of the request did not arrive in time.", _NOT_RUN, 408
    ),
    ResultCode.REQUEST_CUT_OFF: CodeInfo(
        "The body of the request ended early while a backend server had a part of it.",
        _MAY_HAVE_RUN,
        502,
    ),
    ResultCode.RECORD_INVALID: CodeInfo("A record has an invalid field.", _NOT_APPLICABLE),
    ResultCode.SCHEMA_TOO_NEW: CodeInfo(
        "A record's schema version is newer than known.", _NOT_APPLICABLE
    ),
    ResultCode.SETTINGS_INVALID: CodeInfo("A settings file has an invalid field.", _NOT_APPLICABLE),
    ResultCode.FILE_UNREADABLE: CodeInfo("A file cannot be read or parsed.", _NOT_APPLICABLE),
    ResultCode.NOT_FOUND: CodeInfo("No such record.", _NOT_APPLICABLE),
    ResultCode.VERSION_CONFLICT: CodeInfo(
        "The record was changed by someone else.", _NOT_APPLICABLE
    ),
    ResultCode.STORE_UNAVAILABLE: CodeInfo("The object store does not answer.", _NOT_APPLICABLE),
    ResultCode.WRITE_UNCLEAR: CodeInfo(
        "A write may or may not have taken effect.", _NOT_APPLICABLE
    ),
    ResultCode.WATCH_EXPIRED: CodeInfo(
        "The watch starts before the kept history.", _NOT_APPLICABLE
    ),
    ResultCode.PEER_UNREACHABLE: CodeInfo("Another host does not answer.", _NOT_APPLICABLE),
    ResultCode.FRAME_INVALID: CodeInfo(
        "A message from another host is malformed.", _NOT_APPLICABLE
    ),
    ResultCode.LEASE_LOST: CodeInfo(
        "The lease is held by someone else or lapsed.", _NOT_APPLICABLE
    ),
    ResultCode.SHARE_UNAVAILABLE: CodeInfo("The host holds no valid share.", _NOT_RUN, 503),
    ResultCode.USAGE: CodeInfo("The command line is wrong.", _NOT_APPLICABLE),
    ResultCode.NOT_IN_FORCE: CodeInfo(
        "Some host does not have the change in force.", _NOT_APPLICABLE
    ),
    ResultCode.ALREADY_EXISTS: CodeInfo("A record of this name exists.", _NOT_APPLICABLE),
}
