"""Coroutines that start in the current iteration of the event loop, with every way that they can end."""

from __future__ import annotations

import asyncio

import pytest

from hazelbend.transport.http.eager_start import start_eagerly


def test_coroutine_runs_to_its_first_wait_at_once_and_continues_in_its_task():
    events = []

    async def work() -> str:
        events.append("started")
        await asyncio.sleep(0)
        events.append("after the first wait")
        await asyncio.sleep(0.001)
        return "result"

    async def scenario() -> None:
        remainder = start_eagerly(work())
        assert events == ["started"]
        assert await asyncio.create_task(remainder) == "result"

    asyncio.run(scenario())
    assert events == ["started", "after the first wait"]


def test_coroutine_without_a_wait_returns_its_result_or_raises():
    async def work(error: Exception | None) -> int:
        if error is not None:
            raise error
        return 3

    async def scenario() -> None:
        assert await start_eagerly(work(None)) == 3
        failed = start_eagerly(work(KeyError("x")))
        with pytest.raises(KeyError):
            await failed

    asyncio.run(scenario())


def test_errors_and_cancellation_are_raised_at_the_wait():
    seen = []

    async def work(future: asyncio.Future[None]) -> str:
        try:
            await future
        except (OSError, asyncio.CancelledError) as error:
            seen.append(type(error))
            return "recovered"
        return "not reached"

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        failing = loop.create_future()
        remainder = start_eagerly(work(failing))
        failing.set_exception(OSError())
        assert await remainder == "recovered"
        task = asyncio.create_task(start_eagerly(work(loop.create_future())))
        await asyncio.sleep(0)
        task.cancel()
        assert await task == "recovered"

    asyncio.run(scenario())
    assert seen == [OSError, asyncio.CancelledError]
