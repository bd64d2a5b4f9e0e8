"""What proves that a request did not run, for responses that say so."""

from __future__ import annotations

import enum
import typing as t

from radishbridge.entry.protocol import ResponseMetadata

MISDIRECTED = 421
UNAVAILABLE = 503
# Statuses by which callers know that their request has not run and never will.
REFUSAL_STATUSES = frozenset({408, MISDIRECTED, 429, UNAVAILABLE})
FIRST_REDIRECT = 300
FIRST_CLIENT_ERROR = 400
FIRST_SERVER_ERROR = 500


class Evidence(enum.Enum):
    """The weakest proof among a request's attempts that it did not run."""

    NOT_SENT = "not sent"
    SERVER_STATEMENT = "server statement"
    NONE = "none"


class ServerAnswer(t.NamedTuple):
    """What a server answered to one attempt.

    :param status: HTTP status.
    :param proves_not_run: the answer proves that the request did not run.
    :param connection_requests: requests sent on the connection, this one included.
    """

    status: int
    proves_not_run: bool
    connection_requests: int


class Verdict(enum.Enum):
    """What a server's answer says of the request.

    ``FOREIGN`` is an answer to another request, and ``UNPROVEN`` a refusal without proof that it is
    one of this request. After both the request may have run.
    """

    FOREIGN = "foreign"
    RESPONSE = "response"
    SHED = "shed"
    MISDIRECTED = "misdirected"
    UNPROVEN = "unproven"


class Judgement(t.NamedTuple):
    """A verdict on a server's answer.

    :param reason: why the answer is foreign or proves nothing; empty for other verdicts.
    :param is_servers_fault: the server should not have sent such a refusal.
    """

    verdict: Verdict
    reason: str = ""
    is_servers_fault: bool = False

    @property
    def is_late_copy(self) -> bool:
        """Whether the answer may be a late copy of the one to another request."""
        return self.verdict is Verdict.UNPROVEN and not self.is_servers_fault

    @property
    def proves_not_run(self) -> bool:
        """Whether the request did not run and never will."""
        return self.verdict in (Verdict.SHED, Verdict.MISDIRECTED)


_OTHER_ID = Judgement(Verdict.FOREIGN, "the response belongs to another request", True)
_NO_ID = Judgement(Verdict.FOREIGN, "the response has no request id", True)
_RESPONSE = Judgement(Verdict.RESPONSE)
_SHED = Judgement(Verdict.SHED)
_MISDIRECTED = Judgement(Verdict.MISDIRECTED)
_STATUS_ALONE = Judgement(
    Verdict.UNPROVEN, "the server did not state that the request did not run", True
)
_CONTRADICTION = Judgement(
    Verdict.UNPROVEN,
    "the server states that the request did not run, but its status does not",
    True,
)
# No fault of the server, or callers could have servers ejected by using an id again.
_ID_USED_AGAIN = Judgement(
    Verdict.UNPROVEN, "the refusal may be that of another request with the same id"
)


def judge(
    status: int, metadata: ResponseMetadata, request_id: str, server: str, id_used_again: bool
) -> Judgement:
    """Decide whether an answer is one to a request, and proves that the request did not run.

    An answer without the request's id proves nothing, as it may answer an earlier one. With the id,
    the server's statement proves it, and so does the name of another server with status 421, by
    which servers reject requests for others. A status alone proves nothing: it may come from a
    server that ran the request, or from something in front of it. A statement with a status that
    is no refusal contradicts itself; with a success the request ran.

    :param server: name of the server that the request was meant for.
    :param id_used_again: another request with the same id was sent, whose refusal this may be.
    """
    if metadata.request_id != request_id:
        return _OTHER_ID if metadata.request_id else _NO_ID
    if metadata.not_run:
        is_refusal = FIRST_CLIENT_ERROR <= status < FIRST_SERVER_ERROR or status == UNAVAILABLE
        if not is_refusal:
            return _RESPONSE if status < FIRST_REDIRECT else _CONTRADICTION
    elif status not in REFUSAL_STATUSES:
        return _RESPONSE
    elif status != MISDIRECTED or metadata.server in ("", server):
        return _STATUS_ALONE
    if id_used_again:
        return _ID_USED_AGAIN
    return _MISDIRECTED if status == MISDIRECTED else _SHED
