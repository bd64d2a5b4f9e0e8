"""Messages for all hosts cross the links between data centres once for each data centre."""

from __future__ import annotations

import msgspec
import pytest
from fleet_world import Hosts, make_entry, make_status

from radishbridge.entry import Kind, StoredObject
from radishbridge.entry.distribution import DIRECT_HOSTS_MAX, choose_hops
from radishbridge.entry.fleet import REPORT_INTERVAL_S, SUMMARY_MAX_AGE_S
from radishbridge.entry.messages import FleetSummary, ObjectsChanged, Relayed

CHANGE = StoredObject(kind=Kind.SERVER, name="i-1", version=7, value=b"{}")


def make_ready(hosts: Hosts) -> None:
    """Let all hosts report as ready for long enough that summaries cover them."""
    hosts.run(1.0)


def crossing(hosts: Hosts) -> list[msgspec.Struct]:
    """Return the summaries and changes under way from one data centre to another."""
    centers = {name: entry.data_center for name, entry in hosts.entries.items()}
    return [
        message
        for sender, target, message in hosts.network.sent
        if centers[sender] != centers[target]
        and isinstance(message, FleetSummary | ObjectsChanged | Relayed)
    ]


class TestRelays:
    def test_summaries_between_data_centres_do_not_grow_with_the_fleet(self):
        counts = []
        for size in (40, 80):
            hosts = Hosts(size)
            make_ready(hosts)
            hosts.now += 0.2
            for fleet in hosts.fleets:
                fleet.step(hosts.now)
            counts.append(len(crossing(hosts)))
        # Two aggregators and three other data centres each.
        assert counts == [6, 6]

    def test_each_host_gets_every_summary_and_change(self):
        hosts = Hosts(40)
        make_ready(hosts)
        hosts.fleets[0].broadcast_changes([CHANGE])
        hosts.network.deliver()
        hosts.network.deliver()
        assert all(fleet.copy.objects for fleet in hosts.fleets[1:])
        assert all(len(fleet.summary.hosts) == 40 for fleet in hosts.fleets)

    def test_senders_of_the_same_news_use_different_relays(self):
        entries = [make_entry(number) for number in range(40)]
        statuses = {entry.peer_address: make_status(entry.peer_address) for entry in entries}
        senders = [entries[0].peer_address, entries[4].peer_address]
        first, second = (
            set(choose_hops(sender, entries, statuses, senders).relays)
            for sender in (entries[0], entries[4])
        )
        assert len(first) == len(second) == 3
        assert not first & second
        assert not (first | second) & set(senders)

    # The other aggregator's summary counts less than the first one's until that one is stale.
    @pytest.mark.parametrize(
        ("lost", "age_max_s"), [("relay", 2 * REPORT_INTERVAL_S), ("aggregator", SUMMARY_MAX_AGE_S)]
    )
    def test_the_loss_of_a_relay_or_a_sender_costs_no_host_the_summaries(self, lost, age_max_s):
        hosts = Hosts(40)
        make_ready(hosts)
        first = hosts.fleets[0]
        aggregators = first._aggregators(hosts.now)
        if lost == "aggregator":
            gone = aggregators[0]
        else:
            sender = next(one for one in hosts.fleets if one.own.peer_address == aggregators[0])
            statuses = sender.live_hosts(hosts.now)
            hops = choose_hops(sender.own, hosts.entries.values(), statuses, aggregators)
            gone = hops.relays[0]
        hosts.network.disconnected.add(gone)
        for _ in range(12):
            hosts.step()
            hosts.network.deliver()
            ages = [
                hosts.now - fleet.summary_at
                for fleet in hosts.fleets
                if fleet.own.peer_address != gone
            ]
            assert max(ages) <= age_max_s + 1e-9

    @pytest.mark.parametrize(
        "changes",
        [{"is_ready": False}, {"is_leaving": True}, {"is_overloaded": True}],
    )
    def test_a_host_that_is_not_able_to_is_no_relay(self, changes):
        entries = [make_entry(number) for number in range(40)]
        statuses = {entry.peer_address: make_status(entry.peer_address) for entry in entries}
        relays = choose_hops(entries[0], entries, statuses, []).relays
        for name in relays:
            statuses[name] = make_status(name, **changes)
        again = choose_hops(entries[0], entries, statuses, []).relays
        assert len(again) == 3
        assert not set(relays) & set(again)

    def test_without_a_relay_all_hosts_get_the_message_directly(self):
        entries = [msgspec.structs.replace(make_entry(n), relays=False) for n in range(40)]
        statuses = {entry.peer_address: make_status(entry.peer_address) for entry in entries}
        hops = choose_hops(entries[0], entries, statuses, [])
        assert hops.relays == []
        assert len(hops.others) == 39

    def test_a_small_data_centre_gets_messages_directly(self):
        entries = [make_entry(number) for number in range(4 * DIRECT_HOSTS_MAX)]
        statuses = {entry.peer_address: make_status(entry.peer_address) for entry in entries}
        assert choose_hops(entries[0], entries, statuses, []).relays == []

    def test_a_relay_passes_a_plain_message_on_to_hosts_of_an_earlier_release(self):
        hosts = Hosts(40)
        make_ready(hosts)
        relay = hosts.fleets[1]
        old = next(
            entry
            for entry in hosts.entries.values()
            if entry.data_center == relay.own.data_center
            and entry.peer_address != relay.own.peer_address
        )
        entries = {**hosts.entries, old.peer_address: msgspec.structs.replace(old, relays=False)}
        relay.update_hosts(entries)
        hosts.network.sent.clear()
        origin = hosts.fleets[0].own.peer_address
        message = Relayed(origin=origin, message=ObjectsChanged(objects=[CHANGE]))
        relay.mesh.receive(origin, message)
        sent = {target: type(message) for _, target, message in hosts.network.sent}
        assert sent.pop(old.peer_address) is ObjectsChanged
        assert set(sent.values()) == {Relayed}

    def test_a_message_of_an_unknown_host_is_passed_on_but_not_taken(self):
        hosts = Hosts(40)
        make_ready(hosts)
        relay = hosts.fleets[1]
        message = Relayed(origin="10.9.9.9:7000", message=ObjectsChanged(objects=[CHANGE]))
        relay.mesh.receive(hosts.fleets[0].own.peer_address, message)
        assert relay.copy.objects == {}
        assert hosts.network.sent
