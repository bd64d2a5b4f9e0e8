"""Loads of all services whose servers report pace; empty where none do."""

from __future__ import annotations

import typing as t

from radishbridge.steering.load import Choice, ServiceLoad
from radishbridge.steering.servers import SILENCE_FACTOR, LoadReport, ServerState

# A report that another host passes on counts only if it is newer than the last one by this time in
# seconds: this host's own reports come back with the summaries, later by the messages' way.
SHARED_LOAD_MARGIN_S = 0.1


class ServiceLoads(dict[str, ServiceLoad]):
    """Load by service; a service is added with the first report that states a pace."""

    __slots__ = ()

    def record_load(self, state: ServerState, report: LoadReport, now: float) -> None:
        """Record the load that a server reported with a response."""
        state.record_load(report, now)
        service = state.server.service
        if report.has_pace and service not in self:
            self[service] = ServiceLoad()
        load = self.get(service)
        if load is not None:
            load.record_report(state)

    def record_shared_load(
        self, state: ServerState, report: LoadReport, heard_at: float, now: float
    ) -> None:
        """Record the load that a server reported to another host, unless a newer one is known.

        :param heard_at: time of the report.
        """
        if heard_at > state.load_reported_at + SHARED_LOAD_MARGIN_S:
            self.record_load(state, report, min(heard_at, now))

    def record_run(self, state: ServerState, choice: Choice, latency_s: float) -> None:
        """Record the response of a server to a request that it ran.

        :param choice: by which the server was selected.
        :param latency_s: time from sending the request to the response in seconds.
        """
        load = self.get(state.server.service)
        if load is not None:
            load.record_run(latency_s, choice, state.pace)

    def record_summary(self, fractions: t.Mapping[str, float], now: float) -> None:
        """Record a summary that contained load reports.

        :param fractions: fraction of the servers that it covers, by service.
        """
        for service, fraction in fractions.items():
            if service in self:
                self[service].record_summary(fraction, now)

    def silence_latency_s(self, service: str, median_s: float) -> float:
        """Return the latency in seconds by which silence of a service's servers is judged.

        It is the median latency, or more where servers report pace: a request that waits in a queue
        and then runs on a cold object takes longer than three times the median.

        :param median_s: median latency of the service in seconds; 0 if unknown.
        """
        load = self.get(service)
        if load is None or not median_s:
            return median_s
        return max(median_s, load.longest_usual_s / SILENCE_FACTOR)
