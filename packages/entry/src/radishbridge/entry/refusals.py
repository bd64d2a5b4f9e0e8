"""What proves that a request did not run, for responses that say so."""

from __future__ import annotations

import enum
import typing as t

# Statuses by which callers know that their request has not run and never will.
REFUSAL_STATUSES = frozenset({408, 421, 429, 503})


class Evidence(enum.Enum):
    """The weakest proof among a request's attempts that it did not run."""

    NOT_SENT = "not sent"
    SERVER_STATEMENT = "server statement"
    SERVER_STATUS = "server status"
    NONE = "none"


class ServerAnswer(t.NamedTuple):
    """What a server answered to one attempt.

    :param status: HTTP status.
    :param states_not_run: the answer states that the request did not run.
    :param connection_requests: requests sent on the connection, this one included.
    """

    status: int
    states_not_run: bool
    connection_requests: int
