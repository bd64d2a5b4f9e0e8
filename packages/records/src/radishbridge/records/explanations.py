"""Explanation of a request's way on the users' platform, as hosts return it to operators."""

from __future__ import annotations

import msgspec


class ExplainedServer(msgspec.Struct, kw_only=True):
    """One backend server of the service, in the order in which servers are considered.

    :param place: id of its place; empty if objects are ranked by server name.
    :param in_flight: requests of this host at the server.
    :param occupancy: requests that it runs or queues per slot, as this host estimates.
    :param load_age_s: seconds since the server last reported its load; ``None`` if it has not.
    :param verdict: ``chosen``, ``eligible``, or why it is passed over.
    """

    server: str
    region: str
    data_center: str
    version: str
    place: str
    slots: int
    in_flight: int
    occupancy: float
    load_age_s: float | None
    verdict: str


class ExplainedRate(msgspec.Struct, kw_only=True):
    """The rate of a workspace.

    :param per_s: requests per second of all hosts together; 0 for no limit.
    :param share: fraction of the rate that this host may use.
    :param tokens: requests that this host may admit at once; ``None`` if it has no bucket of its
        own, because it has had no request of the workspace or other hosts grant its tokens.
    """

    per_s: float
    burst: float
    share: float
    tokens: float | None


class DataAges(msgspec.Struct, kw_only=True):
    """Ages of the data that the decision rests on, in seconds.

    :param summary_s: of the last summary of all hosts; ``None`` if there was none.
    :param reaches_store: the store answered this host's recent calls, if it made any.
    :param revisions: revision by kind of object up to which the host's copy is complete.
    """

    summary_s: float | None
    reaches_store: bool
    revisions: dict[str, int]


class RequestExplanation(msgspec.Struct, kw_only=True):
    """Where one host would send a request now, and why. Keys are never part of it.

    :param code: number of the result code that a refusal would have; 0 if it would be sent.
    :param reason: why it would be refused; empty if it would be sent.
    :param splits: share of the route's requests by service.
    :param versions: versions that may run it, in order of preference; an empty list stands for all.
    :param home_regions: the only regions that may run it; ``None`` for all.
    :param admitted_fraction: fraction of the requests with this one home region that are admitted.
    :param servers: the service's servers, those that may run the request first.
    """

    host: str
    code: int = 0
    reason: str = ""
    configuration_version: int = 0
    route: str = ""
    workspace: str = ""
    service: str = ""
    splits: dict[str, float] = {}
    versions: list[list[str]] = []
    home_regions: list[str] | None = None
    admitted_fraction: float = 1.0
    rate: ExplainedRate | None = None
    ages: DataAges
    servers: list[ExplainedServer] = []

    @property
    def chosen(self) -> str:
        """Return the name of the server that the request would go to; empty if there is none."""
        return next((one.server for one in self.servers if one.verdict == "chosen"), "")
