"""Background tasks and timers survive unexpected errors, which are counted and logged. On virtual time."""

from __future__ import annotations

import asyncio
import logging

import pytest

from hazelbend.transport.background_work import (
    EVENT_LOOP,
    RESTART_DELAY_S,
    FailureRegistry,
    RepeatingTimer,
    WorkFailure,
    count_loop_errors,
    start_background_task,
)
from tests.support.virtual_loop import VirtualLoop

ERROR = ValueError("not expected")


@pytest.fixture
def run():
    """Returns a function that runs a coroutine on virtual time."""
    loop = VirtualLoop()
    yield loop.run_until_complete
    loop.close()


def test_failed_task_is_counted_logged_and_restarted(run, caplog):
    failures = FailureRegistry()
    started_at = []

    async def work() -> None:
        started_at.append(asyncio.get_running_loop().time())
        if len(started_at) < 3:
            raise ERROR

    run(start_and_wait(work, failures))
    assert [round(time - started_at[0], 3) for time in started_at] == [
        0,
        RESTART_DELAY_S,
        2 * RESTART_DELAY_S,
    ]
    assert failures.by_name == {"work": WorkFailure(2, repr(ERROR))} and failures.total == 2
    [record, _] = caplog.records
    assert (record.levelno, record.exc_info[1]) == (logging.ERROR, ERROR) and "work" in record.message


async def start_and_wait(work, failures) -> None:
    await start_background_task("work", work, failures)


def test_cancelled_task_ends_without_a_failure(run):
    failures = FailureRegistry()

    async def scenario() -> None:
        task = start_background_task("work", lambda: asyncio.sleep(10), failures)
        await asyncio.sleep(1)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    run(scenario())
    assert failures.total == 0


def test_timer_continues_after_its_action_fails(run):
    failures = FailureRegistry()
    calls = []

    async def scenario() -> None:
        def act() -> None:
            calls.append(asyncio.get_running_loop().time())
            if len(calls) == 2:
                raise ERROR
            timer.set(0.1)

        timer = RepeatingTimer("timer", act, failures)
        timer.set(0.1)
        await asyncio.sleep(2)
        timer.cancel()
        count = len(calls)
        await asyncio.sleep(2)
        assert len(calls) == count

    run(scenario())
    assert round(calls[2] - calls[1], 3) == RESTART_DELAY_S and round(calls[3] - calls[2], 3) == 0.1
    assert failures.by_name == {"timer": WorkFailure(1, repr(ERROR))}


def test_timer_that_is_set_again_fires_once_at_the_later_time(run):
    calls = []

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        timer = RepeatingTimer("timer", lambda: calls.append(loop.time()), FailureRegistry())
        started_at = loop.time()
        timer.set(0.1)
        timer.set(0.5)
        await asyncio.sleep(1)
        assert [round(time - started_at, 3) for time in calls] == [0.5]

    run(scenario())


def test_error_in_a_loop_callback_is_counted(run, caplog):
    failures = FailureRegistry()

    async def scenario() -> None:
        def fail() -> None:
            raise ERROR

        count_loop_errors(failures)
        asyncio.get_running_loop().call_soon(fail)
        await asyncio.sleep(0.1)

    run(scenario())
    assert failures.by_name == {EVENT_LOOP: WorkFailure(1, repr(ERROR))}
    assert "Exception in callback" in caplog.text
