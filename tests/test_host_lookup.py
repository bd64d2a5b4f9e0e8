from __future__ import annotations

import asyncio
import typing as t

import msgspec
import pytest
from aiohttp.test_utils import make_mocked_request

from radishbridge.host.lookup import LookupApi, RequestDispatcher
from radishbridge.peers import Directory, HostAddress, Peer, ZmqMesh
from radishbridge.records import Drain, Record, ResultCode, Site
from radishbridge.routing import Block, LookupResponse, pack_blocks

TTL_S = 2.5


class FakeMesh:
    """A directory and the peers that are alive."""

    def __init__(self, host: str, *entries: HostAddress) -> None:
        self.host = host
        self.directory = Directory(host)
        self.directory.update(entries)
        self.peers = [Peer(one.name, one.region, one.data_center) for one in entries]

    def live(self) -> list[Peer]:
        return [peer for peer in self.peers if peer.name != self.host]


def _entry(name: str, data_center: str = "a1", **fields: t.Any) -> HostAddress:
    number = int(name.partition("-")[2])
    return HostAddress(
        name=name,
        region=data_center[0],
        data_center=data_center,
        address=f"127.0.0.1:{7000 + number}",
        listen=f"127.0.0.1:{8000 + number}",
        **fields,
    )


class Fixture:
    def __init__(self, *entries: HostAddress) -> None:
        self.leaving = False
        self.mesh = FakeMesh("host-1", *entries)
        mesh = t.cast(ZmqMesh, self.mesh)
        self.lookup = LookupApi(mesh, TTL_S, lambda: self.leaving)

    def names(self, address: str = "127.0.0.9") -> list[str]:
        self.lookup.refresh()
        answer = self.lookup.rank(address)
        assert isinstance(answer, LookupResponse)
        return sorted(host.name for host in answer.hosts)


class TestLiveHosts:
    def test_answer_has_the_address_for_callers(self) -> None:
        fixture = Fixture(_entry("host-1"))
        fixture.lookup.refresh()
        answer = fixture.lookup.rank("127.0.0.9")
        assert isinstance(answer, LookupResponse)
        assert [host.address for host in answer.hosts] == ["127.0.0.1:8001"]
        assert answer.ttl_s == TTL_S

    def test_silent_host_of_the_own_data_center_is_left_out(self) -> None:
        fixture = Fixture(_entry("host-1"), _entry("host-2"), _entry("host-3", "b1"))
        assert fixture.names() == ["host-1", "host-2", "host-3"]
        fixture.mesh.peers = [peer for peer in fixture.mesh.peers if peer.name != "host-2"]
        assert fixture.names() == ["host-1", "host-3"]

    def test_host_that_says_it_is_leaving_is_left_out(self) -> None:
        fixture = Fixture(_entry("host-1"), _entry("host-2"))
        fixture.mesh.peers[1].leaving = True
        assert fixture.names() == ["host-1"]

    def test_this_host_is_left_out_while_it_is_leaving(self) -> None:
        fixture = Fixture(_entry("host-1"), _entry("host-2"))
        fixture.leaving = True
        assert fixture.names() == ["host-2"]

    def test_host_that_the_platform_calls_leaving_is_left_out(self) -> None:
        fixture = Fixture(_entry("host-1"), _entry("host-2", leaving=True))
        assert fixture.names() == ["host-1"]

    def test_drained_host_is_left_out_until_the_drain_ends(self) -> None:
        fixture = Fixture(_entry("host-1"), _entry("host-2"))
        drain = Drain(scope="host", target="host-2")
        fixture.lookup.update(Record(kind="drain", name="d", version=1, body=drain))
        assert fixture.names() == ["host-1"]
        fixture.lookup.update(Record(kind="drain", name="d", version=2, body=None))
        assert fixture.names() == ["host-1", "host-2"]

    def test_site_record_is_taken_over_and_given_up(self) -> None:
        fixture = Fixture(_entry("host-1"))
        site = Site(data_centers=["a1"])
        fixture.lookup.update(Record(kind="site", name="s", version=1, body=site))
        assert fixture.lookup.sites == {"s": site}
        fixture.lookup.update(Record(kind="site", name="s", version=2, body=None))
        assert fixture.lookup.sites == {}


class TestClientBlocks:
    async def test_a_changed_part_reaches_the_answers(self) -> None:
        fixture = Fixture(_entry("host-1"), _entry("host-2", "b1"))
        fixture.lookup.update(
            Record(kind="site", name="s", version=1, body=Site(data_centers=["b1", "a1"]))
        )
        block = Block(4, 0x7F000000, 8, "s")
        part = pack_blocks(4, [block])
        fixture.lookup.update(Record(kind="client-blocks", name="p", version=2, body=part))
        task = asyncio.create_task(fixture.lookup.run())
        while fixture.lookup.block_table.find("127.0.0.9") is None:
            await asyncio.sleep(0)
        task.cancel()
        assert fixture.lookup.block_table.find("127.0.0.9") == block
        answer = fixture.lookup.rank("127.0.0.9")
        assert isinstance(answer, LookupResponse)
        assert answer.hosts[0].name == "host-2"


class TestFront:
    @pytest.mark.parametrize(
        ("target", "status"),
        [("/v1/lookup", 200), ("/v1/lookup?address=192.0.2.1", 200)]
        + [(f"/v1/lookup?address={text}", 400) for text in ("x", "1.2.3", "::g")],
    )
    async def test_answers_look_ups(self, target: str, status: int) -> None:
        fixture = Fixture(_entry("host-1"))
        fixture.lookup.refresh()
        response = await RequestDispatcher(fixture.lookup, _unexpected).handle(
            make_mocked_request("GET", target)
        )
        assert response.status == status

    async def test_says_that_it_is_starting_before_it_knows_hosts(self) -> None:
        response = Fixture().lookup.answer(make_mocked_request("GET", "/v1/lookup"))
        assert response.status == 503
        assert msgspec.json.decode(response.body)["code"] == ResultCode.HOST_STARTING

    @pytest.mark.parametrize("target", ["/v1/lookups", "/v1/lookup/", "/x?/v1/lookup"])
    async def test_forwards_the_rest(self, target: str) -> None:
        with pytest.raises(AssertionError):
            await RequestDispatcher(Fixture().lookup, _unexpected).handle(
                make_mocked_request("GET", target)
            )


async def _unexpected(request: object) -> t.Any:
    raise AssertionError("forwarded")
