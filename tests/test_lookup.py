from __future__ import annotations

import collections

import pytest

from radishbridge.records import Drain, Failure, ResultCode, Site
from radishbridge.routing import (
    Block,
    BlockTable,
    HostIndex,
    LookupResponse,
    pack_blocks,
    rank_hosts,
)
from radishbridge.store import HostEntry

BLOCKS = [Block(4, (10 << 24) + (number << 8), 24, "ulm") for number in range(400)]
SITES = {"ulm": Site(data_centers=["r1-a", "r1-b", "r2-a"])}


def host(name: str, leaving: bool = False) -> HostEntry:
    data_center = name.rpartition("-")[0]
    return HostEntry(
        name=name,
        region=data_center.partition("-")[0],
        data_center=data_center,
        address=f"{name}:80",
        admin_address="",
        peer_address="",
        leaving=leaving,
    )


DATA_CENTERS = ["r1-a", "r1-b", "r1-c", "r2-a", "r2-b"]
HOSTS = [host(f"{data_center}-{number}") for data_center in DATA_CENTERS for number in range(5)]


def table() -> BlockTable:
    blocks = BlockTable()
    blocks.load("a", pack_blocks(4, BLOCKS))
    return blocks


def rank(address: str, index: HostIndex) -> LookupResponse:
    response = rank_hosts(address, table(), SITES, index, ttl_s=7.0)
    assert isinstance(response, LookupResponse)
    return response


def data_centers(response: LookupResponse) -> list[str]:
    return [ranked.data_center for ranked in response.hosts]


class TestRankHosts:
    def test_prefers_the_data_centers_of_the_site(self) -> None:
        response = rank("10.0.7.9", HostIndex(HOSTS, limit=25))
        order = list(dict.fromkeys(data_centers(response)))
        assert order[:4] == ["r1-a", "r1-b", "r2-a", "r1-c"]
        assert len({ranked.name for ranked in response.hosts}) == len(HOSTS)
        assert (response.site, response.ttl_s) == ("ulm", 7.0)

    def test_last_host_is_in_another_data_center(self) -> None:
        assert data_centers(rank("10.0.7.9", HostIndex(HOSTS))) == ["r1-a", "r1-a", "r1-a", "r1-b"]
        assert data_centers(rank("10.0.7.9", HostIndex(HOSTS, limit=1))) == ["r1-a"]
        alone = HostIndex(HOSTS[:5])
        assert data_centers(rank("10.0.7.9", alone)) == ["r1-a"] * 4

    def test_spreads_blocks_over_the_hosts_of_a_data_center(self) -> None:
        index = HostIndex(HOSTS)
        blocks = table()
        responses = [rank_hosts(f"10.0.{n}.1", blocks, SITES, index) for n in range(256)]
        first = collections.Counter(response.hosts[0].name for response in responses if response)
        assert set(first) == {entry.name for entry in HOSTS[:5]}
        assert max(first.values()) < 2 * min(first.values())

    def test_addresses_of_one_block_get_the_same_response(self) -> None:
        index = HostIndex(HOSTS)
        assert rank("10.0.7.1", index) == rank("10.0.7.200", index)

    def test_removed_host_moves_only_its_own_blocks(self) -> None:
        blocks = table()
        removed = HOSTS[0].name
        before, after = HostIndex(HOSTS), HostIndex(HOSTS[1:])
        for number in range(100):
            old = rank_hosts(f"10.0.{number}.1", blocks, SITES, before)
            new = rank_hosts(f"10.0.{number}.1", blocks, SITES, after)
            assert isinstance(old, LookupResponse)
            assert isinstance(new, LookupResponse)
            if old.hosts[0].name != removed:
                assert new.hosts[0] == old.hosts[0]

    def test_index_built_from_the_previous_one_gives_the_same_responses(self) -> None:
        blocks, previous = table(), HostIndex(HOSTS)
        changes = [
            HOSTS[1:],
            HOSTS,
            [entry for entry in HOSTS if entry.region == "r1"],
            HOSTS[::-1],
        ]
        for hosts in changes:
            previous, fresh = HostIndex(hosts, previous=previous), HostIndex(hosts)
            for number in range(50):
                address = f"10.0.{number}.1"
                response = rank_hosts(address, blocks, SITES, previous)
                assert response == rank_hosts(address, blocks, SITES, fresh)

    def test_rankings_are_reused_only_for_unchanged_hosts(self) -> None:
        first = HostIndex(HOSTS)
        rank("10.0.7.9", first)
        assert set(first.rankings) == {"r1-a", "r1-b"}
        assert set(HostIndex(HOSTS[1:], previous=first).rankings) == {"r1-b"}
        assert not HostIndex(HOSTS, limit=2, previous=first).rankings

    @pytest.mark.parametrize("address", ["192.0.2.1", "2001:db8::1", "nonsense", "::ffff:1.2.3.4"])
    def test_unknown_site_gets_a_response(self, address: str) -> None:
        response = rank(address, HostIndex(HOSTS))
        assert len(response.hosts) == 4
        assert response.site == ""

    def test_site_without_a_record_gets_a_response(self) -> None:
        response = rank_hosts("10.0.7.9", table(), {}, HostIndex(HOSTS))
        assert isinstance(response, LookupResponse)
        assert len(response.hosts) == 4

    def test_leaving_hosts_are_excluded(self) -> None:
        hosts = [host(entry.name, leaving=entry.data_center == "r1-a") for entry in HOSTS]
        assert "r1-a" not in data_centers(rank("10.0.7.9", HostIndex(hosts, limit=25)))

    @pytest.mark.parametrize(
        ("scope", "target"), [("host", "r1-a-0"), ("data_center", "r1-a"), ("region", "r1")]
    )
    def test_drained_hosts_are_excluded(self, scope: str, target: str) -> None:
        drains = [Drain(scope=scope, target=target), Drain(scope="backend", target="r2-a")]
        response = rank("10.0.7.9", HostIndex(HOSTS, drains, limit=25))
        expected = {entry.name for entry in HOSTS if not entry.name.startswith(target)}
        assert {ranked.name for ranked in response.hosts} == expected

    def test_leaving_hosts_are_used_if_there_are_no_others(self) -> None:
        hosts = [host(entry.name, leaving=True) for entry in HOSTS]
        assert data_centers(rank("10.0.7.9", HostIndex(hosts)))[0] == "r1-a"

    def test_without_hosts_the_look_up_fails(self) -> None:
        failure = rank_hosts("10.0.7.9", table(), SITES, HostIndex([]))
        assert isinstance(failure, Failure)
        assert failure.code is ResultCode.HOST_STARTING
