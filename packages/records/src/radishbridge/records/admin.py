"""Response bodies of a host's admin API, shared by the daemon and the client.

Each is the JSON body of one ``GET``: ``/v1/in-force/KIND/NAME``, ``/v1/status``,
``/v1/explain?path=PATH&method=METHOD&workspace=NAME&client=IP`` and ``/v1/burn``.
"""

from __future__ import annotations

import msgspec


class InForce(msgspec.Struct, kw_only=True):
    """The version of a record that a host has in force.

    :param revision: store revision up to which the host holds every change.
    :param version: version of the requested record; 0 if the host does not have it.
    """

    host: str
    revision: int
    version: int


class RejectedRecord(msgspec.Struct, kw_only=True):
    """A stored record that a host rejected as invalid, with the result code and the reason."""

    kind: str
    name: str
    code: int
    reason: str


class HostStatus(msgspec.Struct, kw_only=True):
    """The state of one host.

    :param fresh_age_s: seconds since the configuration was last proved fresh; -1 for never.
    :param in_flight: number of requests in progress.
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
    """A backend server considered for one request.

    :param verdict: ``eligible``, or the reason why the backend server is not.
    """

    backend: str
    region: str
    data_center: str
    version: str
    slots: int
    in_flight: int
    verdict: str


class Explanation(msgspec.Struct, kw_only=True):
    """The routing decision for a request that is not sent.

    :param code: result code that the request would get; 0 if it would be forwarded.
    :param steps: the decisions in order, one sentence each.
    """

    host: str
    code: int
    service: str
    route_prefix: str
    steps: list[str]
    candidates: list[Candidate]


class BurnCount(msgspec.Struct, kw_only=True):
    """Counts of one workspace's requests to one service in one interval.

    :param start_s: start of the interval, in seconds since the Unix epoch.
    :param good: requests answered in time by a backend server with a status below 500.
    :param bad: requests within the workspace's rate that failed or were refused.
    :param over_rate: requests refused because the workspace exceeded its rate.
    """

    workspace: str
    service: str
    start_s: int
    good: int
    bad: int
    over_rate: int


class BurnReport(msgspec.Struct, kw_only=True):
    """A host's request counts by interval, oldest first.

    :param interval_s: length of an interval in seconds.
    """

    host: str
    interval_s: int
    counts: list[BurnCount]
