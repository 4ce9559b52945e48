"""Sockets of the resolver: a query over UDP from a port of its own (RFC 5452), or over a TCP connection that
is kept for a while and carries several (RFC 7766). Nothing here asks twice; every call has its end in time.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from collections.abc import Callable

from hazelbend.dns_discovery.answers import Meaning, Question, Truncated, Unknown
from hazelbend.dns_discovery.resolver import Ask
from hazelbend.protocol.dns import MismatchError, read_answer, write_query

MOST_MISMATCHES = 8  # answers that are none, after which UDP is not trusted for this query: TCP is asked
IDLE = 10.0  # seconds that a TCP connection is kept

Read = Callable[[bytes], Meaning]


class DnsClient:
    def __init__(self, servers: tuple[tuple[str, int], ...], timeout: float) -> None:
        self.servers, self.timeout = servers, timeout
        self._lines: dict[int, TcpLine] = {}

    async def ask(self, ask: Ask) -> Meaning:
        """What the nameserver's answer means; Unknown if none came in time. It raises nothing."""
        number = secrets.randbits(16)
        data, asked = write_query(ask.name, ask.question.kind, number, secrets.randbits(256), ask.edns)
        question = Question(ask.name, ask.question.kind)  # of an alias, it may be

        def read(answer: bytes) -> Meaning:
            return read_answer(answer, number, asked, question, ask.tcp)

        try:
            async with asyncio.timeout(self.timeout):
                if ask.tcp:
                    return await self._line(ask.server).ask(number, data, read)
                return await _ask_udp(self.servers[ask.server], data, read)
        except TimeoutError:
            return Unknown("no answer in time", unreachable=True)
        except OSError as error:
            return Unknown(error.strerror or str(error) or type(error).__name__, unreachable=True)

    def close(self) -> None:
        for line in self._lines.values():
            line.close()

    def _line(self, server: int) -> TcpLine:
        line = self._lines.get(server)
        if line is None or line.closed:
            line = self._lines[server] = TcpLine(self.servers[server])
        return line


class _Datagrams(asyncio.DatagramProtocol):
    """The answers that come to one query's port. What is no answer to it is passed over."""

    def __init__(self, read: Read) -> None:
        self._read, self._strange = read, 0
        self.answer: asyncio.Future[Meaning] = asyncio.get_running_loop().create_future()

    def datagram_received(self, data: bytes, address: object) -> None:
        if self.answer.done():
            return
        try:
            self.answer.set_result(self._read(data))
        except MismatchError:
            self._strange += 1
            if self._strange >= MOST_MISMATCHES:
                self.answer.set_result(Truncated())

    def error_received(self, error: Exception) -> None:
        if not self.answer.done():
            self.answer.set_exception(error)

    def connection_lost(self, error: Exception | None) -> None:
        if not self.answer.done():
            self.answer.cancel()


async def _ask_udp(address: tuple[str, int], data: bytes, read: Read) -> Meaning:
    loop = asyncio.get_running_loop()
    # A connected socket of its own: the system draws its port, and hears this nameserver alone.
    transport, protocol = await loop.create_datagram_endpoint(lambda: _Datagrams(read), remote_addr=address)
    try:
        transport.sendto(data)
        return await protocol.answer
    finally:
        transport.close()


def _look_at(task: asyncio.Task[asyncio.StreamWriter]) -> None:
    """Those who waited for it may all have gone: its fault is nobody's then."""
    if not task.cancelled():
        task.exception()


class TcpLine:
    """One connection to a nameserver. Answers come in any order, and are known by their ids."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._waiting: dict[int, tuple[Read, asyncio.Future[Meaning]]] = {}
        self._open: asyncio.Task[asyncio.StreamWriter] | None = None
        self._hearing: asyncio.Task[None] | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._idle: asyncio.TimerHandle | None = None
        self.closed = False

    async def ask(self, number: int, data: bytes, read: Read) -> Meaning:
        if self._idle is not None:
            self._idle.cancel()
        if number in self._waiting:
            return Unknown("an id that is in use on the connection")
        answer: asyncio.Future[Meaning] = asyncio.get_running_loop().create_future()
        self._waiting[number] = read, answer
        try:
            if self._open is None:
                self._open = asyncio.create_task(self._connect())
                self._open.add_done_callback(_look_at)
            writer = await asyncio.shield(self._open)
            writer.write(len(data).to_bytes(2) + data)
            return await answer
        except OSError:
            self.close()
            raise
        finally:
            self._waiting.pop(number, None)
            if not self._waiting and not self.closed:
                self._idle = asyncio.get_running_loop().call_later(IDLE, self.close)

    def close(self) -> None:
        self.closed = True
        for task in (self._open, self._hearing):
            if task is not None:
                task.cancel()
        if self._writer is not None:
            self._writer.close()
        if self._idle is not None:
            self._idle.cancel()
        for _, answer in self._waiting.values():
            if not answer.done():
                answer.set_result(Unknown("the connection was closed", unreachable=True))

    async def _connect(self) -> asyncio.StreamWriter:
        reader, self._writer = await asyncio.open_connection(*self._address)
        self._hearing = asyncio.create_task(self._hear(reader))
        return self._writer

    async def _hear(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                size = int.from_bytes(await reader.readexactly(2))
                data = await reader.readexactly(size)
                read, answer = self._waiting.get(int.from_bytes(data[:2]), (None, None))
                if read is None or answer is None or answer.done():
                    continue
                try:
                    answer.set_result(read(data))
                except MismatchError as error:
                    answer.set_result(Unknown(f"over TCP: {error}"))
        self._hearing = None
        self.close()
