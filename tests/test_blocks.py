from __future__ import annotations

import base64
import ipaddress
import typing as t
import zlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishbridge.records import ClientBlocks, Failure, ResultCode
from radishbridge.routing import Block, BlockSet, BlockTable, pack_blocks, unpack_blocks

Network = ipaddress.IPv4Network | ipaddress.IPv6Network
SITES = ["a", "b", "c"]

# Few distinct high and low bits make nested and adjacent blocks likely.
v4_addresses = st.builds(
    lambda high, low: (high << 28) + low, st.integers(0, 3), st.integers(0, 15)
)
v6_addresses = st.builds(
    lambda high, low: (high << 124) + (low << 64), st.integers(0, 3), st.integers(0, 15)
)
v4_networks = st.builds(
    lambda address, length: ipaddress.IPv4Network((address, length), strict=False),
    v4_addresses,
    st.integers(0, 32),
)
v6_networks = st.builds(
    lambda address, length: ipaddress.IPv6Network((address, length), strict=False),
    v6_addresses,
    st.integers(0, 64),
)
network_sites = st.dictionaries(v4_networks | v6_networks, st.sampled_from(SITES), max_size=40)
addresses = st.one_of(
    st.builds(ipaddress.IPv4Address, v4_addresses | st.integers(0, 2**32 - 1)),
    st.builds(ipaddress.IPv6Address, v6_addresses | st.integers(0, 2**128 - 1)),
)


def as_block(network: Network, site: str) -> Block:
    shift = 64 if network.version == 6 else 0
    return Block(network.version, int(network.network_address) >> shift, network.prefixlen, site)


def block(text: str, site: str = "a") -> Block:
    return as_block(ipaddress.ip_network(text), site)


def record_of(*blocks: Block) -> ClientBlocks:
    return pack_blocks(blocks[0].family, blocks)


def table_of(**bodies: ClientBlocks) -> BlockTable:
    table = BlockTable()
    for name, body in bodies.items():
        assert table.load(name, body) is None
    return table


def naive_site(network_sites: dict[Network, str], address: t.Any) -> str | None:
    mapped = getattr(address, "ipv4_mapped", None)
    address = address if mapped is None else mapped
    containing = [
        network
        for network in network_sites
        if network.version == address.version and address in network
    ]
    longest = max(containing, key=lambda network: network.prefixlen, default=None)
    return None if longest is None else network_sites[longest]


class TestBlockTable:
    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(
        network_sites=network_sites,
        looked_up=st.lists(addresses, max_size=20),
        records=st.integers(1, 4),
    )
    def test_agrees_with_a_linear_scan_of_all_networks(
        self, network_sites: dict[Network, str], looked_up: list[t.Any], records: int
    ) -> None:
        table = BlockTable()
        for number in range(records):
            for family in (4, 6):
                share = list(network_sites.items())[number::records]
                blocks = [
                    as_block(network, site) for network, site in share if network.version == family
                ]
                assert table.load(f"{family}-{number}", pack_blocks(family, blocks)) is None
        boundaries = [edge for network in network_sites for edge in (network[0], network[-1])]
        for address in [*looked_up, *boundaries]:
            found = table.find(str(address))
            assert (None if found is None else found.site) == naive_site(network_sites, address)

    def test_finds_the_longest_match_across_records(self) -> None:
        table = table_of(
            wide=record_of(block("10.0.0.0/8", "wide")),
            narrow=record_of(block("10.1.0.0/16", "narrow"), block("10.3.0.0/16", "other")),
        )
        found = [table.find(f"10.{number}.0.9") for number in range(4)]
        assert [match.site if match else None for match in found] == [
            "wide",
            "narrow",
            "wide",
            "other",
        ]

    def test_ipv4_mapped_address_counts_as_ipv4(self) -> None:
        table = table_of(a=record_of(block("10.1.0.0/16")))
        assert table.find("::ffff:10.1.2.3") == block("10.1.0.0/16")

    @pytest.mark.parametrize("address", ["", "10.1", "10.1.0.256", "10.01.0.1", "::g", "ü", "\0"])
    def test_malformed_address_has_no_block(self, address: str) -> None:
        assert table_of(a=record_of(block("0.0.0.0/0"))).find(address) is None

    def test_equal_blocks_use_the_first_record_by_name(self) -> None:
        one, two = record_of(block("10.0.0.0/8", "x")), record_of(block("10.0.0.0/8", "y"))
        assert table_of(b=two, a=one).find("10.0.0.1") == block("10.0.0.0/8", "x")

    def test_update_replaces_only_its_own_record(self) -> None:
        table = table_of(a=record_of(block("10.0.0.0/8")), b=record_of(block("11.0.0.0/8")))
        assert table.load("a", record_of(block("12.0.0.0/8"))) is None
        found = [table.find(f"{number}.0.0.1") is not None for number in (10, 11, 12)]
        assert found == [False, True, True]
        assert table.load("b", None) is None
        assert table.find("11.0.0.1") is None


def packed(data: bytes, count: int = 1, version: int = 1) -> str:
    header = bytes([version]) + count.to_bytes(4, "big")
    return base64.b64encode(header + zlib.compress(data)).decode()


def columns(address: int, length: int, site: int) -> bytes:
    return address.to_bytes(4, "little") + bytes([length]) + site.to_bytes(2, "little")


class TestUnpackBlocks:
    def test_accepts_one_block(self) -> None:
        body = ClientBlocks(family=4, sites=["a"], packed=packed(columns(10 << 24, 8, 0)))
        blocks = unpack_blocks(body)
        assert isinstance(blocks, BlockSet)
        assert blocks.block(0) == block("10.0.0.0/8")

    @pytest.mark.parametrize(
        "text",
        [
            "",
            "not base64",
            "AAAA",
            packed(columns(10 << 24, 8, 0))[:-8],
            packed(columns(10 << 24, 8, 0), version=2),
            packed(columns(10 << 24, 8, 0), count=2),
            packed(columns(10 << 24, 8, 0), count=0),
            packed(columns(10 << 24, 8, 0), count=2**32 - 1),
            packed(columns(10 << 24, 8, 1)),
            packed(columns(10 << 24, 33, 0)),
            packed(columns(10 << 24 | 1, 8, 0)),
            packed(bytes(8) + bytes([8, 8]) + bytes(4), count=2),
            packed(b"\xff" * 8 + bytes([32, 32]) + bytes(4), count=2),
        ],
    )
    def test_invalid_record_leaves_the_last_valid_one(self, text: str) -> None:
        table = table_of(a=record_of(block("10.0.0.0/8")))
        failure = table.load("a", ClientBlocks(family=4, sites=["a"], packed=text))
        assert isinstance(failure, Failure)
        assert (failure.code, failure.field) == (ResultCode.RECORD_INVALID, "packed")
        assert table.find("10.0.0.1") == block("10.0.0.0/8")

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(position=st.integers(0), flip=st.integers(1, 255))
    def test_changed_byte_is_detected_or_harmless(self, position: int, flip: int) -> None:
        good = record_of(block("10.0.0.0/8", "a"), block("10.1.0.0/16", "b"))
        data = bytearray(base64.b64decode(good.packed))
        data[position % len(data)] ^= flip
        changed = msgspec.structs.replace(good, packed=base64.b64encode(data).decode())
        result = unpack_blocks(changed)
        assert isinstance(result, Failure) or [result.block(0), result.block(1)] == [
            block("10.0.0.0/8", "a"),
            block("10.1.0.0/16", "b"),
        ]

    def test_stream_that_inflates_far_beyond_its_count_is_rejected(self) -> None:
        text = packed(bytes(50_000_000))
        assert isinstance(unpack_blocks(ClientBlocks(family=4, sites=["a"], packed=text)), Failure)
