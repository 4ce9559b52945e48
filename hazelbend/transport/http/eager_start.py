"""Starts a coroutine in the current iteration of the event loop, as eager tasks do from Python 3.12 on."""

from __future__ import annotations

import types
from collections.abc import Coroutine, Generator
from typing import Any, NoReturn, TypeVar

T = TypeVar("T")


def start_eagerly(coroutine: Coroutine[Any, Any, T]) -> Coroutine[Any, Any, T]:
    """Run a coroutine up to its first suspension and return the remainder, to be run as a task.

    The first part runs in the caller's task, so it must not depend on the current task, as `asyncio.timeout`
    does.
    """
    try:
        awaited = coroutine.send(None)
    except StopIteration as end:
        return _return(end.value)
    except BaseException as error:
        return _raise(error)
    return _await_rest(coroutine, awaited)


async def _return(value: T) -> T:
    return value


async def _raise(error: BaseException) -> NoReturn:
    raise error


async def _await_rest(coroutine: Coroutine[Any, Any, T], awaited: object) -> T:
    result: T = await _rest(coroutine, awaited)
    return result


@types.coroutine
def _rest(coroutine: Coroutine[Any, Any, T], awaited: object) -> Generator[Any, Any, T]:
    """Yield the awaitables of the coroutine to the task, and send the task's results to the coroutine."""
    try:
        while True:
            try:
                result_of_wait = yield awaited
            except BaseException as error:
                awaited = coroutine.throw(error)
            else:
                awaited = coroutine.send(result_of_wait)
    except StopIteration as end:
        result: T = end.value
        return result
