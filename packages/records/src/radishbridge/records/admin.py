"""Answers of a host's listener for operators, shared by the daemon and the client.

Each is the JSON body of one ``GET``: ``/v1/in-force/KIND/NAME``, ``/v1/status``,
``/v1/explain?path=PATH&method=METHOD&workspace=NAME&client=IP`` and ``/v1/burn``.
"""

from __future__ import annotations

import msgspec


class InForce(msgspec.Struct, kw_only=True):
    """Which version of a record a host has in force.

    :param revision: revision of the store up to which the host holds every change.
    :param version: version of the record asked for; 0 where the host has none.
    """

    host: str
    revision: int
    version: int


class RejectedRecord(msgspec.Struct, kw_only=True):
    """A record that a host keeps aside, with the result code and the reason."""

    kind: str
    name: str
    code: int
    reason: str


class HostStatus(msgspec.Struct, kw_only=True):
    """The state of one host.

    :param fresh_age_s: seconds since the configuration was last proved fresh; -1 for never.
    :param in_flight: requests being answered now.
    :param live_peers: names of the hosts that sent a message within the liveness timeout.
    :param held_leases: names of the leases the host holds.
    """

    host: str
    region: str
    data_center: str
    revision: int
    ready: bool
    leaving: bool
    fresh_age_s: float
    in_flight: int
    live_peers: list[str] = []
    held_leases: list[str] = []
    rejected: list[RejectedRecord] = []


class Candidate(msgspec.Struct, kw_only=True):
    """A backend server as the choice for one request sees it.

    :param verdict: ``eligible`` or why the backend server is passed over.
    """

    backend: str
    region: str
    data_center: str
    version: str
    slots: int
    in_flight: int
    verdict: str


class Explanation(msgspec.Struct, kw_only=True):
    """Where a request would go, and why.

    :param code: result code the request would get; 0 where it would be forwarded.
    :param steps: each decision in its order, one sentence each.
    """

    host: str
    code: int
    service: str
    route_prefix: str
    steps: list[str]
    candidates: list[Candidate]


class BurnCount(msgspec.Struct, kw_only=True):
    """Requests of one workspace to one service in one interval.

    :param start_s: start of the interval, seconds since the Unix epoch.
    :param good: answered in time by a backend server with a status below 500.
    :param bad: failed or refused although within the workspace's rate.
    :param over_rate: refused because the workspace was over its rate.
    """

    workspace: str
    service: str
    start_s: int
    good: int
    bad: int
    over_rate: int


class BurnReport(msgspec.Struct, kw_only=True):
    """A host's counts by interval, oldest first.

    :param interval_s: length of an interval in seconds.
    """

    host: str
    interval_s: int
    counts: list[BurnCount]
