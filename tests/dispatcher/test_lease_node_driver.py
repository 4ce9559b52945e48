"""The driver of a lease node: what it answers while its store writes, or refuses to."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Awaitable, Callable

import pytest

from hazelbend.dispatcher.lease_node_driver import EpochNotStoredError, LeaseNodeDriver
from hazelbend.leases.settings import FleetSettings


class Store:
    """A store whose writes wait until `proceed` is set, and then fail if its disk is full."""

    def __init__(self) -> None:
        self.writing = threading.Event()
        self.proceed = threading.Event()
        self.is_full = False

    def append(self, frames: bytes) -> bool:
        self.writing.set()
        self.proceed.wait()
        if self.is_full:
            raise OSError("no space left on device")
        return False

    def close(self) -> None:
        pass


def play(scenario: Callable[[LeaseNodeDriver, Store], Awaitable[None]]) -> None:
    """Run a scenario with the driver of a fleet's only member."""

    async def run() -> None:
        settings = FleetSettings("f", "127.0.0.1:7000")
        driver = LeaseNodeDriver("n", settings, 1, lambda: round(time.monotonic() * 1e6))
        store = Store()
        driver._store = store
        try:
            await scenario(driver, store)
        finally:
            store.proceed.set()
            await driver.stop()
            await driver.close()

    asyncio.run(run())


def test_new_epoch_is_acknowledged_only_after_it_is_stored():
    """Guards against an epoch that an operator was told and that a kill right after it loses."""

    async def scenario(driver: LeaseNodeDriver, store: Store) -> None:
        call = asyncio.ensure_future(driver.start_new_epoch(False))
        await asyncio.to_thread(store.writing.wait)
        assert not call.done()
        store.proceed.set()
        assert await call == str(driver.node.raft.persistent.epoch) != "0"

    play(scenario)


def test_new_epoch_that_the_store_refuses_is_not_acknowledged():
    async def scenario(driver: LeaseNodeDriver, store: Store) -> None:
        store.is_full = True
        store.proceed.set()
        with pytest.raises(EpochNotStoredError, match="is started, but not stored"):
            await driver.start_new_epoch(False)

    play(scenario)
