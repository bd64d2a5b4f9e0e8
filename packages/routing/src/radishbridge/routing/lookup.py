"""Which entry hosts a caller should use: the live hosts, ranked for the caller's address."""

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
# Callers of an unknown block share the fate of their neighbours up to this prefix length.
NEIGHBOUR_BITS = {4: 24, 6: 48}

# Blocks are hashed into buckets, so that the order of a data centre's hosts is worked out once for
# each bucket and not for each look-up.
BUCKETS = 8192

_HASH_BYTES = 8
_BUCKET_BYTES = 2
_UNSET = 0xFFFF


class EntryHost(t.Protocol):
    """What the ranking needs to know of a host."""

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
    """A host of an answer."""

    name: str
    address: str
    region: str
    data_center: str


class LookupResponse(msgspec.Struct, kw_only=True):
    """The answer to a look-up.

    :param hosts: hosts to use, the best first.
    :param ttl_s: seconds for which the caller may keep the answer.
    :param site: site of the caller's block; empty where it is not known.
    """

    hosts: list[RankedHost]
    ttl_s: float
    site: str = ""


class HostIndex:
    """Live hosts by data centre; build a new one from the last when the hosts or the drains change.

    :param hosts: the live hosts.
    :param drains: drains in force; those of hosts, data centres and regions count.
    :param limit: most hosts in an answer.
    :param previous: the index before the change; what it has worked out for data centres that have
        the same hosts still is kept.
    """

    __slots__ = ("by_data_center", "limit", "rankings", "regions")

    def __init__(
        self,
        hosts: t.Iterable[EntryHost],
        drains: t.Iterable[Drain] = (),
        limit: int = HOSTS_PER_RESPONSE,
        previous: HostIndex | None = None,
    ) -> None:
        live = sorted(hosts, key=lambda host: host.name)
        drained: set[tuple[str, str]] = {(drain.scope, drain.target) for drain in drains}
        # An answer of leaving hosts still helps where there are no others.
        staying = [host for host in live if not _is_leaving(host, drained)] or live
        self.limit = limit
        self.by_data_center: dict[str, list[RankedHost]] = {}
        for host in staying:
            self.by_data_center.setdefault(host.data_center, []).append(_ranked(host))
        self.regions = {host.data_center: host.region for host in staying}
        # For each data centre the indexes of the first hosts of each bucket, once worked out.
        self.rankings: dict[str, array.array[int]] = {}
        if previous is not None and previous.limit == limit:
            self.rankings |= {
                name: order
                for name, order in previous.rankings.items()
                if previous.by_data_center[name] == self.by_data_center.get(name)
            }

    def ordered(self, data_center: str, bucket: int) -> list[RankedHost]:
        """Return the first hosts of a data centre for a bucket of blocks.

        They are ordered by rendezvous hashing: one that goes leaves the others in their order.
        """
        hosts = self.by_data_center[data_center]
        size = min(self.limit, len(hosts))
        order = self.rankings.get(data_center)
        if order is None:
            order = self.rankings[data_center] = array.array("H", [_UNSET]) * (BUCKETS * size)
        at = bucket * size
        if order[at] == _UNSET:
            indexes = sorted(range(len(hosts)), key=lambda one: _hash(bucket, hosts[one].name))
            order[at : at + size] = array.array("H", indexes[:size])
        return [hosts[index] for index in order[at : at + size]]


def rank_hosts(
    client_address: str,
    table: BlockTable,
    sites: t.Mapping[str, Site],
    hosts: HostIndex,
    ttl_s: float = LOOKUP_TTL_S,
) -> LookupResponse | Failure:
    """Rank hosts for a caller by its block's site, and spread blocks over equally good hosts.

    The last of several hosts is in another data centre than the first where there is one, so that
    the caller can go on when its data centre fails.

    :param client_address: the caller's IP address.
    :param sites: the site records by name.
    :param ttl_s: seconds for which callers may keep the answer.
    :return: the answer, or ``HOST_STARTING`` while no host is known.
    """
    if not hosts.by_data_center:
        return Failure(ResultCode.HOST_STARTING, "no live host is known yet")
    block = table.find(client_address)
    site = sites.get(block.site) if block is not None else None
    bucket = _bucket(client_address, block)
    groups = (hosts.ordered(name, bucket) for name in _order_data_centers(bucket, site, hosts))
    first = next(groups)
    room = hosts.limit - 1 if hosts.limit > 1 and len(hosts.by_data_center) > 1 else hosts.limit
    others = itertools.chain.from_iterable(groups)
    chosen = itertools.islice(itertools.chain(first[:room], others), hosts.limit)
    name = block.site if block is not None and site is not None else ""
    return LookupResponse(hosts=list(chosen), ttl_s=ttl_s, site=name)


def _is_leaving(host: EntryHost, drained: set[tuple[str, str]]) -> bool:
    scopes = {("host", host.name), ("data_center", host.data_center), ("region", host.region)}
    return host.leaving or not drained.isdisjoint(scopes)


def _bucket(client_address: str, block: Block | None) -> int:
    """Return the bucket of a caller's block, or of its neighbours where it is in none."""
    key = _neighbours(client_address) if block is None else block.key
    return int.from_bytes(hashlib.blake2b(key, digest_size=_HASH_BYTES).digest()) % BUCKETS


def _neighbours(client_address: str) -> bytes:
    parsed = parse_address(client_address)
    if parsed is None:
        return b""
    family, address = parsed
    length = NEIGHBOUR_BITS[family]
    shift = ADDRESS_BITS[family] - length
    return Block(family, address >> shift << shift, length, "").key


def _order_data_centers(bucket: int, site: Site | None, hosts: HostIndex) -> t.Iterator[str]:
    """Yield the data centres that have hosts: the site's, those of its first region, the others."""
    preferred = [] if site is None else site.data_centers
    there = [name for name in preferred if name in hosts.by_data_center]
    yield from there
    near = {hosts.regions[name] for name in there[:1]}
    others = [name for name in hosts.by_data_center if name not in there]
    yield from sorted(
        others, key=lambda name: (hosts.regions[name] not in near, _hash(bucket, name))
    )


def _hash(bucket: int, name: str) -> bytes:
    key = bucket.to_bytes(_BUCKET_BYTES)
    return hashlib.blake2b(name.encode(), digest_size=_HASH_BYTES, key=key).digest()


def _ranked(host: EntryHost) -> RankedHost:
    return RankedHost(
        name=host.name, address=host.address, region=host.region, data_center=host.data_center
    )
