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


PLACES = ["r1-a", "r1-b", "r1-c", "r2-a", "r2-b"]
HOSTS = [host(f"{place}-{number}") for place in PLACES for number in range(5)]


def table() -> BlockTable:
    blocks = BlockTable()
    blocks.load("a", pack_blocks(4, BLOCKS))
    return blocks


def rank(address: str, index: HostIndex) -> LookupResponse:
    answer = rank_hosts(address, table(), SITES, index, ttl_s=7.0)
    assert isinstance(answer, LookupResponse)
    return answer


def places(answer: LookupResponse) -> list[str]:
    return [one.data_center for one in answer.hosts]


class TestRankHosts:
    def test_prefers_the_data_centers_of_the_site(self) -> None:
        answer = rank("10.0.7.9", HostIndex(HOSTS, limit=25))
        order = list(dict.fromkeys(places(answer)))
        assert order[:4] == ["r1-a", "r1-b", "r2-a", "r1-c"]
        assert len({one.name for one in answer.hosts}) == len(HOSTS)
        assert (answer.site, answer.ttl_s) == ("ulm", 7.0)

    def test_the_last_host_is_in_another_data_center(self) -> None:
        assert places(rank("10.0.7.9", HostIndex(HOSTS))) == ["r1-a", "r1-a", "r1-a", "r1-b"]
        assert places(rank("10.0.7.9", HostIndex(HOSTS, limit=1))) == ["r1-a"]
        alone = HostIndex(HOSTS[:5])
        assert places(rank("10.0.7.9", alone)) == ["r1-a"] * 4

    def test_spreads_blocks_over_the_hosts_of_a_data_center(self) -> None:
        index = HostIndex(HOSTS)
        blocks = table()
        answers = [rank_hosts(f"10.0.{n}.1", blocks, SITES, index) for n in range(256)]
        first = collections.Counter(answer.hosts[0].name for answer in answers if answer)
        assert set(first) == {one.name for one in HOSTS[:5]}
        assert max(first.values()) < 2 * min(first.values())

    def test_one_block_gets_one_answer(self) -> None:
        index = HostIndex(HOSTS)
        assert rank("10.0.7.1", index) == rank("10.0.7.200", index)

    def test_a_host_that_goes_moves_only_its_own_blocks(self) -> None:
        blocks = table()
        gone = HOSTS[0].name
        before, after = HostIndex(HOSTS), HostIndex(HOSTS[1:])
        for number in range(100):
            old = rank_hosts(f"10.0.{number}.1", blocks, SITES, before)
            new = rank_hosts(f"10.0.{number}.1", blocks, SITES, after)
            assert isinstance(old, LookupResponse)
            assert isinstance(new, LookupResponse)
            if old.hosts[0].name != gone:
                assert new.hosts[0] == old.hosts[0]

    def test_an_index_made_from_the_last_one_answers_the_same(self) -> None:
        blocks, last = table(), HostIndex(HOSTS)
        changes = [HOSTS[1:], HOSTS, [one for one in HOSTS if one.region == "r1"], HOSTS[::-1]]
        for hosts in changes:
            last, fresh = HostIndex(hosts, previous=last), HostIndex(hosts)
            for number in range(50):
                address = f"10.0.{number}.1"
                answer = rank_hosts(address, blocks, SITES, last)
                assert answer == rank_hosts(address, blocks, SITES, fresh)

    def test_what_is_worked_out_is_kept_for_the_same_hosts_only(self) -> None:
        first = HostIndex(HOSTS)
        rank("10.0.7.9", first)
        assert set(first.rankings) == {"r1-a", "r1-b"}
        assert set(HostIndex(HOSTS[1:], previous=first).rankings) == {"r1-b"}
        assert not HostIndex(HOSTS, limit=2, previous=first).rankings

    @pytest.mark.parametrize("address", ["192.0.2.1", "2001:db8::1", "nonsense", "::ffff:1.2.3.4"])
    def test_an_unknown_site_gets_an_answer(self, address: str) -> None:
        answer = rank(address, HostIndex(HOSTS))
        assert len(answer.hosts) == 4
        assert answer.site == ""

    def test_a_site_without_a_record_gets_an_answer(self) -> None:
        answer = rank_hosts("10.0.7.9", table(), {}, HostIndex(HOSTS))
        assert isinstance(answer, LookupResponse)
        assert len(answer.hosts) == 4

    def test_leaving_hosts_are_left_out(self) -> None:
        hosts = [host(one.name, leaving=one.data_center == "r1-a") for one in HOSTS]
        assert "r1-a" not in places(rank("10.0.7.9", HostIndex(hosts, limit=25)))

    @pytest.mark.parametrize(
        ("scope", "target"), [("host", "r1-a-0"), ("data_center", "r1-a"), ("region", "r1")]
    )
    def test_drained_hosts_are_left_out(self, scope: str, target: str) -> None:
        drains = [Drain(scope=scope, target=target), Drain(scope="backend", target="r2-a")]
        answer = rank("10.0.7.9", HostIndex(HOSTS, drains, limit=25))
        expected = {one.name for one in HOSTS if not one.name.startswith(target)}
        assert {one.name for one in answer.hosts} == expected

    def test_leaving_hosts_are_better_than_none(self) -> None:
        hosts = [host(one.name, leaving=True) for one in HOSTS]
        assert places(rank("10.0.7.9", HostIndex(hosts)))[0] == "r1-a"

    def test_without_hosts_there_is_no_answer(self) -> None:
        failure = rank_hosts("10.0.7.9", table(), SITES, HostIndex([]))
        assert isinstance(failure, Failure)
        assert failure.code is ResultCode.HOST_STARTING
