"""A TCP connection to a nameserver (RFC 7766)."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from hazelbend.dns_discovery.answers import QueryFailure, QueryResult
from hazelbend.protocol.dns import MismatchError

IDLE_TIMEOUT_S = 10.0
LENGTH_BYTES = 2

DecodeAnswer: TypeAlias = Callable[[bytes], QueryResult]
"""Decodes an answer to one query; raises MismatchError if the bytes do not answer that query."""


@dataclass(slots=True, frozen=True)
class _PendingQuery:
    decode: DecodeAnswer
    result: asyncio.Future[QueryResult]


class TcpConnection:
    """One connection shared by several queries. Answers arrive in any order and are matched by id."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.closed = False
        self._address = address
        self._pending: dict[int, _PendingQuery] = {}
        self._connect_task: asyncio.Task[asyncio.StreamWriter] | None = None
        self._read_task: asyncio.Task[None] | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._idle_timer: asyncio.TimerHandle | None = None

    async def query(self, query_id: int, data: bytes, decode: DecodeAnswer) -> QueryResult:
        """Send a query and wait for its answer.

        Raises:
            OSError: the connection cannot be opened.
        """
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        if query_id in self._pending:
            return QueryFailure("the query id is in use on this connection")
        result: asyncio.Future[QueryResult] = asyncio.get_running_loop().create_future()
        self._pending[query_id] = _PendingQuery(decode, result)
        try:
            writer = await self._connected()
            writer.write(len(data).to_bytes(LENGTH_BYTES) + data)
            return await result
        except OSError:
            self.close()
            raise
        finally:
            self._pending.pop(query_id, None)
            if not self._pending and not self.closed:
                self._idle_timer = asyncio.get_running_loop().call_later(IDLE_TIMEOUT_S, self.close)

    def close(self) -> None:
        """Close the connection; its pending queries fail."""
        self.closed = True
        for task in (self._connect_task, self._read_task):
            if task is not None:
                task.cancel()
        if self._writer is not None:
            self._writer.close()
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        for pending in self._pending.values():
            if not pending.result.done():
                pending.result.set_result(QueryFailure("the connection was closed", server_unreachable=True))

    async def _connected(self) -> asyncio.StreamWriter:
        """Wait until the connection is open. Cancelling one caller does not affect the others."""
        if self._connect_task is None:
            self._connect_task = asyncio.create_task(self._connect())
            self._connect_task.add_done_callback(_consume_exception)
        return await asyncio.shield(self._connect_task)

    async def _connect(self) -> asyncio.StreamWriter:
        reader, self._writer = await asyncio.open_connection(*self._address)
        self._read_task = asyncio.create_task(self._read(reader))
        return self._writer

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                size = int.from_bytes(await reader.readexactly(LENGTH_BYTES))
                self._handle_answer(await reader.readexactly(size))
        self._read_task = None  # `close` must not cancel this task itself
        self.close()

    def _handle_answer(self, data: bytes) -> None:
        pending = self._pending.get(int.from_bytes(data[:2]))
        if pending is None or pending.result.done():
            return
        try:
            pending.result.set_result(pending.decode(data))
        except MismatchError as error:
            pending.result.set_result(QueryFailure(f"over TCP: {error}"))


def _consume_exception(task: asyncio.Task[asyncio.StreamWriter]) -> None:
    """Retrieve the exception: if all callers were cancelled, asyncio would log it as never retrieved."""
    if not task.cancelled():
        task.exception()
