from __future__ import annotations

import asyncio
import contextlib
import typing as t

import pytest

from radishbridge.records import ClientBlocks, Record, Workspace
from radishbridge.routing import Block, BlockFeed, BlockTable, pack_blocks


def part(site: str) -> ClientBlocks:
    return pack_blocks(4, [Block(4, 10 << 24, 8, site)])


def record(body: ClientBlocks | None, name: str = "a") -> Record:
    return Record(kind="client-blocks", name=name, version=1, body=body)


@pytest.fixture
async def feed() -> t.AsyncIterator[BlockFeed]:
    feed = BlockFeed(BlockTable())
    task = asyncio.create_task(feed.run())
    yield feed
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def settle(feed: BlockFeed) -> None:
    async with asyncio.timeout(10):
        while not feed.is_current:
            await asyncio.sleep(0)


def site(feed: BlockFeed) -> str | None:
    block = feed.table.find("10.0.0.1")
    return None if block is None else block.site


class TestBlockFeed:
    async def test_the_last_of_many_changes_is_in_force(self, feed: BlockFeed) -> None:
        for number in range(20):
            feed.update(record(part(f"site-{number}")))
            await asyncio.sleep(0)
        assert not feed.is_current
        await settle(feed)
        assert site(feed) == "site-19"

    async def test_a_change_during_unpacking_is_not_lost(self, feed: BlockFeed) -> None:
        feed.update(record(part("old")))
        async with asyncio.timeout(10):
            while not feed.unpacking:
                await asyncio.sleep(0)
        feed.update(record(part("new")))
        await settle(feed)
        assert site(feed) == "new"

    async def test_a_damaged_part_is_reported_until_it_is_mended(self, feed: BlockFeed) -> None:
        feed.update(record(part("good")))
        await settle(feed)
        feed.update(record(ClientBlocks(family=4, sites=[], packed="AAAA")))
        await settle(feed)
        assert (site(feed), list(feed.rejected)) == ("good", ["a"])
        feed.update(record(part("mended")))
        await settle(feed)
        assert (site(feed), feed.rejected) == ("mended", {})

    async def test_a_deletion_takes_the_part_out(self, feed: BlockFeed) -> None:
        feed.update(record(part("a")))
        feed.update(record(part("b"), name="b"))
        await settle(feed)
        feed.update(record(None))
        await settle(feed)
        assert site(feed) == "b"

    async def test_other_kinds_are_passed_over(self, feed: BlockFeed) -> None:
        feed.update(Record(kind="workspace", name="a", version=1, body=Workspace()))
        assert feed.is_current
