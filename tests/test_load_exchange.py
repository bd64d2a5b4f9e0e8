"""Hosts pass on what servers reported to them, in the reports and summaries that exist already."""

from __future__ import annotations

import msgspec
import pytest
from steering_world import T0, make_selector, make_server

from radishbridge.entry.load_exchange import LoadExchange
from radishbridge.entry.messages import FleetReport, FleetSummary, HostStatus
from radishbridge.steering import LoadReport

STATUS = HostStatus("h", True, False, True)


def make_exchange(count: int = 4) -> LoadExchange:
    return LoadExchange(make_selector(count))


def report(running: int = 4, waiting: int = 8, pace: float = 1.0) -> LoadReport:
    return LoadReport(running, waiting, 4, pace, has_pace=True)


def heard(exchange: LoadExchange, name: str, now: float) -> float:
    load = exchange.selector.loads["catalogue"]
    return exchange.selector.states[name].expected_load(load.mean_load, now)


class TestLoadExchange:
    def test_a_host_learns_what_a_server_reported_to_another(self):
        first, aggregator, second = make_exchange(), make_exchange(), make_exchange()
        first.record(first.selector.states["server-1"], report(), T0)
        aggregator.add_report(first.take_own(T0 + 0.2), T0 + 0.2)
        second.apply_summary(aggregator.take_reported(T0 + 0.4), T0 + 0.4)
        state = second.selector.states["server-1"]
        assert state.load_reported_at == pytest.approx(T0, abs=0.03)
        assert state.other_hosts_load == 12.0
        assert 9.0 < heard(second, "server-1", T0 + 0.4) < 12.0

    def test_each_load_is_sent_once(self):
        exchange = make_exchange()
        exchange.record(exchange.selector.states["server-1"], report(), T0)
        assert len(exchange.take_own(T0)) == 8
        assert exchange.take_own(T0) is msgspec.UNSET

    def test_the_newest_of_several_hosts_reports_counts(self):
        hosts = [make_exchange() for _ in range(3)]
        aggregator, receiver = make_exchange(), make_exchange()
        for number, host in enumerate(hosts):
            host.record(host.selector.states["server-1"], report(waiting=number), T0 + number)
        for host in (hosts[2], hosts[0], hosts[1]):
            aggregator.add_report(host.take_own(T0 + 3.0), T0 + 3.0)
        receiver.apply_summary(aggregator.take_reported(T0 + 3.0), T0 + 3.0)
        assert receiver.selector.states["server-1"].other_hosts_load == 6.0

    def test_a_repeated_or_older_load_changes_nothing(self):
        aggregator, receiver = make_exchange(), make_exchange()
        sender = make_exchange()
        sender.record(sender.selector.states["server-1"], report(), T0)
        aggregator.add_report(sender.take_own(T0), T0)
        summary = aggregator.take_reported(T0)
        state = receiver.selector.states["server-1"]
        receiver.record(state, report(running=1, waiting=0), T0 - 0.02)
        receiver.apply_summary(summary, T0 + 0.05)
        assert state.other_hosts_load == 1.0

    @pytest.mark.parametrize("loads", [b"1234567", b"123456789", b""])
    def test_loads_of_another_size_are_left_out(self, loads):
        exchange = make_exchange()
        exchange.add_report(loads, T0)
        exchange.apply_summary(loads, T0)
        assert not exchange.reported

    def test_large_figures_are_capped(self):
        sender, receiver = make_exchange(), make_exchange()
        state = sender.selector.states["server-1"]
        sender.record(state, LoadReport(999_999, 999_999, 4, 9_999.99, has_pace=True), T0)
        receiver.apply_summary(sender.take_own(T0 + 100.0), T0 + 100.0)
        assert receiver.selector.states["server-1"].other_hosts_load == 65_535.0

    def test_servers_without_pace_add_no_byte_to_messages(self):
        exchange = make_exchange()
        exchange.record(exchange.selector.states["server-1"], LoadReport(4, 8, 4), T0)
        message = FleetReport(
            status=STATUS,
            demands={},
            home_bound={},
            evidence={},
            crashes=[],
            loads=exchange.take_own(T0),
        )
        assert b"loads" not in msgspec.msgpack.encode(message)
        assert not exchange.selector.loads

    def test_hosts_of_an_earlier_release_are_understood(self):
        encoded = msgspec.msgpack.encode(
            {
                "type": "summary",
                "hosts": [],
                "demands": {},
                "home_bound": {},
                "evidence": {},
                "crashes": [],
                "copy_state": [{}, {}],
            }
        )
        assert msgspec.msgpack.decode(encoded, type=FleetSummary).loads is msgspec.UNSET

    @pytest.mark.parametrize("servers", [166, 430, 2_400])
    def test_a_summary_grows_by_eight_bytes_for_each_server(self, servers):
        exchange = LoadExchange(make_selector(0))
        for number in range(servers):
            exchange.selector.put(make_server(number), T0)
        for state in exchange.selector.states.values():
            exchange.record(state, report(), T0)
        assert len(exchange.take_own(T0)) == 8 * servers
