"""Ranks the live entry hosts for a caller's address."""

from __future__ import annotations

import array
import hashlib
import itertools
import typing as t

import msgspec

from radishbridge.records import Drain, Failure, ResultCode, Site
from radishbridge.routing.blocks import ADDRESS_BITS, Block, BlockTable, parse_address

HOSTS_PER_RESPONSE = 4
LOOKUP_TTL_S = 5.0
# Callers outside all known blocks share a ranking with their neighbours up to this prefix length.
UNKNOWN_BLOCK_PREFIX_BITS = {4: 24, 6: 48}

# Blocks are hashed into buckets, so that the hosts of a data centre are ranked once for each bucket
# instead of at each look-up.
BUCKETS = 8192

_HASH_BYTES = 8
_BUCKET_BYTES = 2
_NOT_RANKED = 0xFFFF


class EntryHost(t.Protocol):
    """The fields of a host that the ranking uses."""

    @property
    def name(self) -> str:
        """The host's name."""

    @property
    def region(self) -> str:
        """The host's region."""

    @property
    def data_center(self) -> str:
        """The host's data centre."""

    @property
    def address(self) -> str:
        """``IP:port`` of the listener for callers."""

    @property
    def leaving(self) -> bool:
        """Whether the host is shutting down."""


class RankedHost(msgspec.Struct, kw_only=True, frozen=True):
    """A host in a look-up response."""

    name: str
    address: str
    region: str
    data_center: str


class LookupResponse(msgspec.Struct, kw_only=True):
    """The response to a look-up.

    :param hosts: hosts to use, the best first.
    :param ttl_s: seconds for which the caller may cache the response.
    :param site: site of the caller's block; empty if unknown.
    """

    hosts: list[RankedHost]
    ttl_s: float
    site: str = ""


class HostIndex:
    """Live hosts by data centre, with cached rankings; rebuilt when the hosts or the drains change.

    :param hosts: the live hosts.
    :param drains: drains in force; those of hosts, data centres and regions apply.
    :param limit: maximum number of hosts in a response.
    :param previous: the index before the change; its rankings are reused for data centres whose
        hosts are unchanged.
    """

    __slots__ = ("by_data_center", "limit", "rankings", "region_of")

    def __init__(
        self,
        hosts: t.Iterable[EntryHost],
        drains: t.Iterable[Drain] = (),
        limit: int = HOSTS_PER_RESPONSE,
        previous: HostIndex | None = None,
    ) -> None:
        live = sorted(hosts, key=lambda host: host.name)
        drained: set[tuple[str, str]] = {(drain.scope, drain.target) for drain in drains}
        # If all hosts are leaving or drained, they are still better than an empty response.
        usable = [host for host in live if not _is_unavailable(host, drained)] or live
        self.limit = limit
        self.by_data_center: dict[str, list[RankedHost]] = {}
        for host in usable:
            self.by_data_center.setdefault(host.data_center, []).append(_to_ranked_host(host))
        self.region_of = {host.data_center: host.region for host in usable}
        # For each data centre, the indexes of the first ``limit`` hosts of each bucket. Buckets are
        # ranked on first use.
        self.rankings: dict[str, array.array[int]] = {}
        if previous is not None and previous.limit == limit:
            self.rankings |= {
                name: ranking
                for name, ranking in previous.rankings.items()
                if previous.by_data_center[name] == self.by_data_center.get(name)
            }

    def ranked(self, data_center: str, bucket: int) -> list[RankedHost]:
        """Return the best hosts of a data centre for a bucket of blocks.

        Rendezvous hashing orders them, so that the removal of a host keeps the order of the others.
        """
        hosts = self.by_data_center[data_center]
        size = min(self.limit, len(hosts))
        ranking = self.rankings.get(data_center)
        if ranking is None:
            ranking = self.rankings[data_center] = array.array("H", [_NOT_RANKED]) * (
                BUCKETS * size
            )
        start = bucket * size
        if ranking[start] == _NOT_RANKED:
            indexes = sorted(
                range(len(hosts)), key=lambda number: _rendezvous_hash(bucket, hosts[number].name)
            )
            ranking[start : start + size] = array.array("H", indexes[:size])
        return [hosts[index] for index in ranking[start : start + size]]


def rank_hosts(
    client_address: str,
    table: BlockTable,
    sites: t.Mapping[str, Site],
    hosts: HostIndex,
    ttl_s: float = LOOKUP_TTL_S,
) -> LookupResponse | Failure:
    """Rank hosts by the site of the caller's block, and spread blocks over equally good hosts.

    The last of several hosts is in a different data centre than the first if there is one, so that
    the caller can fail over when its data centre fails.

    :param client_address: the caller's IP address.
    :param sites: the site records by name.
    :param ttl_s: seconds for which callers may cache the response.
    :return: the response, or ``HOST_STARTING`` while no host is known.
    """
    if not hosts.by_data_center:
        return Failure(ResultCode.HOST_STARTING, "no live host is known yet")
    block = table.find(client_address)
    site = sites.get(block.site) if block is not None else None
    bucket = _bucket_of(client_address, block)
    ranked = (hosts.ranked(name, bucket) for name in _order_data_centers(bucket, site, hosts))
    nearest = next(ranked)
    nearest_count = (
        hosts.limit - 1 if hosts.limit > 1 and len(hosts.by_data_center) > 1 else hosts.limit
    )
    farther = itertools.chain.from_iterable(ranked)
    chosen = itertools.islice(itertools.chain(nearest[:nearest_count], farther), hosts.limit)
    site_name = block.site if block is not None and site is not None else ""
    return LookupResponse(hosts=list(chosen), ttl_s=ttl_s, site=site_name)


def _is_unavailable(host: EntryHost, drained: set[tuple[str, str]]) -> bool:
    targets = {("host", host.name), ("data_center", host.data_center), ("region", host.region)}
    return host.leaving or not drained.isdisjoint(targets)


def _bucket_of(client_address: str, block: Block | None) -> int:
    """Return the bucket of a caller's block, or of its address prefix if it is in no block."""
    key = _prefix_key(client_address) if block is None else block.key
    return int.from_bytes(hashlib.blake2b(key, digest_size=_HASH_BYTES).digest()) % BUCKETS


def _prefix_key(client_address: str) -> bytes:
    parsed = parse_address(client_address)
    if parsed is None:
        return b""
    family, address = parsed
    length = UNKNOWN_BLOCK_PREFIX_BITS[family]
    shift = ADDRESS_BITS[family] - length
    return Block(family, address >> shift << shift, length, "").key


def _order_data_centers(bucket: int, site: Site | None, hosts: HostIndex) -> t.Iterator[str]:
    """Yield the data centres that have hosts.

    Those of the site come first, then the others in the region of the first of them, then the rest.
    """
    preferred = [] if site is None else site.data_centers
    of_site = [name for name in preferred if name in hosts.by_data_center]
    yield from of_site
    near_regions = {hosts.region_of[name] for name in of_site[:1]}
    others = [name for name in hosts.by_data_center if name not in of_site]
    yield from sorted(
        others,
        key=lambda name: (
            hosts.region_of[name] not in near_regions,
            _rendezvous_hash(bucket, name),
        ),
    )


def _rendezvous_hash(bucket: int, name: str) -> bytes:
    key = bucket.to_bytes(_BUCKET_BYTES)
    return hashlib.blake2b(name.encode(), digest_size=_HASH_BYTES, key=key).digest()


def _to_ranked_host(host: EntryHost) -> RankedHost:
    return RankedHost(
        name=host.name, address=host.address, region=host.region, data_center=host.data_center
    )
