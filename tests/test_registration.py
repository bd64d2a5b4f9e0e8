from __future__ import annotations

import asyncio
import contextlib
import typing as t

from fleet_world import make_entry
from in_process import until

from radishbridge.entry import Kind, ObjectCopy, Registration, StoredObject, registration
from radishbridge.records import Failure, ResultCode

STORE_UNAVAILABLE = Failure(ResultCode.STORE_UNAVAILABLE, "no answer")
OWN_NAME = make_entry(1).peer_address


def host(version: int, value: bytes | None = b"x") -> StoredObject:
    return StoredObject(kind=Kind.HOST, name=OWN_NAME, version=version, value=value)


class CountingStore:
    """Counts registrations; the first ones fail."""

    def __init__(self, failures: int = 0) -> None:
        self.calls = 0
        self.failures = failures

    async def register(self, registered):
        assert registered.peer_address == OWN_NAME
        self.calls += 1
        return STORE_UNAVAILABLE if self.calls <= self.failures else None


@contextlib.contextmanager
def running_registration(store, copy) -> t.Iterator[None]:
    task = asyncio.create_task(Registration(store, copy, lambda: make_entry(1)).run())
    try:
        yield
    finally:
        task.cancel()


class TestRegistration:
    async def test_a_failed_registration_is_retried(self, monkeypatch):
        monkeypatch.setattr(registration, "REGISTER_RETRY_S", 0.0)
        store = CountingStore(failures=3)
        with running_registration(store, ObjectCopy()):
            await until(lambda: store.calls == 4)

    async def test_an_entry_still_shown_as_deleted_does_not_cause_a_busy_loop(self, monkeypatch):
        # The host was registered again, but its copy does not hold the new entry yet.
        monkeypatch.setattr(registration, "PROPAGATION_S", 3600.0)
        store, copy = CountingStore(), ObjectCopy()
        copy.apply(host(5, None), "store")
        with running_registration(store, copy):
            for _ in range(100):
                await asyncio.sleep(0)
        assert store.calls == 1

    async def test_a_host_whose_entry_is_removed_registers_again(self, monkeypatch):
        monkeypatch.setattr(registration, "PROPAGATION_S", 0.0)
        monkeypatch.setattr(registration, "CHECK_INTERVAL_S", 0.0)
        store, copy = CountingStore(), ObjectCopy()
        copy.apply(host(5), "store")
        with running_registration(store, copy):
            for _ in range(100):
                await asyncio.sleep(0)
            assert store.calls == 1
            copy.apply(host(6, None), "store")
            await until(lambda: store.calls > 1)
