from __future__ import annotations

import asyncio
import contextlib
import typing as t

import pytest

from radishbridge.records import ClientBlocks, Record, Workspace
from radishbridge.routing import Block, BlockFeed, BlockTable, pack_blocks


def packed_block(site: str) -> ClientBlocks:
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


async def wait_until_current(feed: BlockFeed) -> None:
    async with asyncio.timeout(10):
        while not feed.is_current:
            await asyncio.sleep(0)


def site_of(feed: BlockFeed) -> str | None:
    block = feed.table.find("10.0.0.1")
    return None if block is None else block.site


class TestBlockFeed:
    async def test_last_of_many_changes_applies(self, feed: BlockFeed) -> None:
        for number in range(20):
            feed.update(record(packed_block(f"site-{number}")))
            await asyncio.sleep(0)
        assert not feed.is_current
        await wait_until_current(feed)
        assert site_of(feed) == "site-19"

    async def test_change_during_unpacking_is_not_lost(self, feed: BlockFeed) -> None:
        feed.update(record(packed_block("old")))
        async with asyncio.timeout(10):
            while not feed.unpacking:
                await asyncio.sleep(0)
        feed.update(record(packed_block("new")))
        await wait_until_current(feed)
        assert site_of(feed) == "new"

    async def test_invalid_record_is_reported_until_it_is_corrected(self, feed: BlockFeed) -> None:
        feed.update(record(packed_block("good")))
        await wait_until_current(feed)
        feed.update(record(ClientBlocks(family=4, sites=[], packed="AAAA")))
        await wait_until_current(feed)
        assert (site_of(feed), list(feed.rejected)) == ("good", ["a"])
        feed.update(record(packed_block("corrected")))
        await wait_until_current(feed)
        assert (site_of(feed), feed.rejected) == ("corrected", {})

    async def test_deletion_removes_the_blocks(self, feed: BlockFeed) -> None:
        feed.update(record(packed_block("a")))
        feed.update(record(packed_block("b"), name="b"))
        await wait_until_current(feed)
        feed.update(record(None))
        await wait_until_current(feed)
        assert site_of(feed) == "b"

    async def test_other_kinds_are_ignored(self, feed: BlockFeed) -> None:
        feed.update(Record(kind="workspace", name="a", version=1, body=Workspace()))
        assert feed.is_current
