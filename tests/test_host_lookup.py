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
    """A mesh with a directory and a settable list of live peers.

    :param host: name of the host that the mesh belongs to.
    """

    def __init__(self, host: str, *entries: HostAddress) -> None:
        self.host = host
        self.directory = Directory(host)
        self.directory.update(entries)
        self.peers = [Peer(entry.name, entry.region, entry.data_center) for entry in entries]

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


class LookupFixture:
    def __init__(self, *entries: HostAddress) -> None:
        self.leaving = False
        self.mesh = FakeMesh("host-1", *entries)
        mesh = t.cast(ZmqMesh, self.mesh)
        self.lookup = LookupApi(mesh, TTL_S, lambda: self.leaving)

    def names(self, address: str = "127.0.0.9") -> list[str]:
        self.lookup.refresh()
        response = self.lookup.rank(address)
        assert isinstance(response, LookupResponse)
        return sorted(host.name for host in response.hosts)


class TestLiveHosts:
    def test_response_has_the_address_for_callers(self) -> None:
        fixture = LookupFixture(_entry("host-1"))
        fixture.lookup.refresh()
        response = fixture.lookup.rank("127.0.0.9")
        assert isinstance(response, LookupResponse)
        assert [host.address for host in response.hosts] == ["127.0.0.1:8001"]
        assert response.ttl_s == TTL_S

    def test_silent_host_of_the_same_data_center_is_excluded(self) -> None:
        fixture = LookupFixture(_entry("host-1"), _entry("host-2"), _entry("host-3", "b1"))
        assert fixture.names() == ["host-1", "host-2", "host-3"]
        fixture.mesh.peers = [peer for peer in fixture.mesh.peers if peer.name != "host-2"]
        assert fixture.names() == ["host-1", "host-3"]

    def test_host_that_reports_it_is_leaving_is_excluded(self) -> None:
        fixture = LookupFixture(_entry("host-1"), _entry("host-2"))
        fixture.mesh.peers[1].leaving = True
        assert fixture.names() == ["host-1"]

    def test_this_host_is_excluded_while_it_is_leaving(self) -> None:
        fixture = LookupFixture(_entry("host-1"), _entry("host-2"))
        fixture.leaving = True
        assert fixture.names() == ["host-2"]

    def test_host_listed_as_leaving_is_excluded(self) -> None:
        fixture = LookupFixture(_entry("host-1"), _entry("host-2", leaving=True))
        assert fixture.names() == ["host-1"]

    def test_drained_host_is_excluded_until_the_drain_ends(self) -> None:
        fixture = LookupFixture(_entry("host-1"), _entry("host-2"))
        drain = Drain(scope="host", target="host-2")
        fixture.lookup.update(Record(kind="drain", name="d", version=1, body=drain))
        assert fixture.names() == ["host-1"]
        fixture.lookup.update(Record(kind="drain", name="d", version=2, body=None))
        assert fixture.names() == ["host-1", "host-2"]

    def test_site_record_is_added_and_removed(self) -> None:
        fixture = LookupFixture(_entry("host-1"))
        site = Site(data_centers=["a1"])
        fixture.lookup.update(Record(kind="site", name="s", version=1, body=site))
        assert fixture.lookup.sites == {"s": site}
        fixture.lookup.update(Record(kind="site", name="s", version=2, body=None))
        assert fixture.lookup.sites == {}


class TestClientBlocks:
    async def test_a_changed_block_set_is_used_in_responses(self) -> None:
        fixture = LookupFixture(_entry("host-1"), _entry("host-2", "b1"))
        fixture.lookup.update(
            Record(kind="site", name="s", version=1, body=Site(data_centers=["b1", "a1"]))
        )
        block = Block(4, 0x7F000000, 8, "s")
        block_set = pack_blocks(4, [block])
        fixture.lookup.update(Record(kind="client-blocks", name="p", version=2, body=block_set))
        task = asyncio.create_task(fixture.lookup.run())
        while fixture.lookup.block_table.find("127.0.0.9") is None:
            await asyncio.sleep(0)
        task.cancel()
        assert fixture.lookup.block_table.find("127.0.0.9") == block
        response = fixture.lookup.rank("127.0.0.9")
        assert isinstance(response, LookupResponse)
        assert response.hosts[0].name == "host-2"


class TestRequestDispatcher:
    @pytest.mark.parametrize(
        ("target", "status"),
        [("/v1/lookup", 200), ("/v1/lookup?address=192.0.2.1", 200)]
        + [(f"/v1/lookup?address={text}", 400) for text in ("x", "1.2.3", "::g")],
    )
    async def test_answers_look_ups(self, target: str, status: int) -> None:
        fixture = LookupFixture(_entry("host-1"))
        fixture.lookup.refresh()
        response = await RequestDispatcher(fixture.lookup, _fail_on_forward).handle(
            make_mocked_request("GET", target)
        )
        assert response.status == status

    async def test_reports_starting_before_any_host_is_known(self) -> None:
        response = LookupFixture().lookup.answer(make_mocked_request("GET", "/v1/lookup"))
        assert response.status == 503
        assert msgspec.json.decode(response.body)["code"] == ResultCode.HOST_STARTING

    @pytest.mark.parametrize("target", ["/v1/lookups", "/v1/lookup/", "/x?/v1/lookup"])
    async def test_forwards_other_requests(self, target: str) -> None:
        with pytest.raises(AssertionError):
            await RequestDispatcher(LookupFixture().lookup, _fail_on_forward).handle(
                make_mocked_request("GET", target)
            )


async def _fail_on_forward(request: object) -> t.Any:
    raise AssertionError("the request was forwarded")
