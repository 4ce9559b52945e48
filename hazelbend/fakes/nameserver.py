"""A fake nameserver on loopback that can simulate faults (RFC 1035, 2308, 2782, 6891 and 7766).

    python -m hazelbend.fakes.nameserver example.zone --origin example.org --listen 127.0.0.1:5300

It is authoritative for its zones, adds the addresses of SRV targets that it knows, and truncates responses
over UDP that are larger than the client accepts. Faults are tried in order; the first one that matches a
query applies.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import socket
import time
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, auto
from pathlib import Path
from typing import cast

import dns.exception
import dns.flags
import dns.message
import dns.rdatatype

from hazelbend.fakes.dns_faults import Fault, FaultKind, corrupt
from hazelbend.fakes.dns_zones import Zones, empty_response

MAX_PORT_ATTEMPTS = 20  # to find a port that is free for both UDP and TCP
BACKLOG = 512  # connections
TCP_MAX_BYTES = 65_535
UDP_MAX_BYTES = 512  # without EDNS (RFC 1035, section 2.3.4)
COUNT_PERIOD_S = 1.0
_TCP_FAULTS = (FaultKind.HALF_TCP, FaultKind.CLOSE_TCP)
_UDP_TRUNCATES = (FaultKind.TRUNCATED, *_TCP_FAULTS)


@dataclass(slots=True, frozen=True)
class Query:
    """A received query."""

    at: float
    """The event loop's time when it was received."""
    name: str
    record_type: str
    tcp: bool
    port: int
    """The client's port."""
    id: int


class Delivery(Enum):
    """How much of a reply is sent."""

    COMPLETE = auto()
    HALF_THEN_CLOSE = auto()
    """Only over TCP."""
    CLOSE = auto()
    """Only over TCP."""
    NONE = auto()


@dataclass(slots=True, frozen=True)
class Reply:
    """How the server replies to a query."""

    message: bytes = b""
    delivery: Delivery = Delivery.COMPLETE
    delay_s: float = 0.0


NO_REPLY = Reply(delivery=Delivery.NONE)


@dataclass
class FakeNameserver:
    """One nameserver, over UDP and TCP on the same port."""

    zones: Zones = field(default_factory=Zones)
    faults: list[Fault] = field(default_factory=list)
    record_queries: bool = True
    """Whether received queries are recorded in `queries`."""

    def __post_init__(self) -> None:
        """Initialize the state of a server that does not listen yet."""
        self.queries: list[Query] = []
        self.counts: Counter[str] = Counter()  # of queries, by record type
        self.address = ""
        self._udp: asyncio.DatagramTransport | None = None
        self._tcp: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def serve_zone(self, text: str, origin: str = "example.org") -> None:
        """Serve this zone for the origin, replacing an earlier one."""
        self.zones.load(text, origin)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen, on any free port if `port` is 0. Returns the address.

        Raises:
            OSError: the port is in use, or no port was free for both UDP and TCP.
        """
        loop = asyncio.get_running_loop()
        for _ in range(MAX_PORT_ATTEMPTS):
            listener = socket.create_server((host, port), backlog=BACKLOG)
            number = listener.getsockname()[1]
            try:
                self._udp, _ = await loop.create_datagram_endpoint(
                    lambda: _Datagrams(self), local_addr=(host, number)
                )
                break
            except OSError:  # another socket uses that UDP port
                listener.close()
                if port:
                    raise
        else:
            raise OSError("no port is free for both UDP and TCP")
        self._tcp = await asyncio.start_server(self._serve_tcp, sock=listener)
        self.address = f"{host}:{number}"
        return self.address

    async def stop(self) -> None:
        """Close all sockets."""
        if self._udp is not None:
            self._udp.close()
        if self._tcp is not None:
            self._tcp.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # --- one query ---

    def reply(self, data: bytes, tcp: bool, port: int) -> Reply:
        """Return the reply to these bytes from a client at this port."""
        try:
            query = dns.message.from_wire(data)
            [question] = query.question
        except Exception:  # a malformed query gets no reply
            return NO_REPLY
        name = question.name.to_text(omit_final_dot=True).lower()
        record_type = dns.rdatatype.to_text(question.rdtype)
        self.counts[record_type] += 1
        if self.record_queries:
            now = asyncio.get_running_loop().time()
            self.queries.append(Query(now, name, record_type, tcp, port, query.id))
        fault = next((fault for fault in self.faults if fault.applies_to(name, record_type)), None)
        kind = fault.kind if fault is not None else None
        if kind == FaultKind.SILENT:
            return NO_REPLY
        if tcp and kind == FaultKind.CLOSE_TCP:
            return Reply(delivery=Delivery.CLOSE)
        message = corrupt(self._message(query, kind, tcp), kind, question)
        if tcp and kind == FaultKind.HALF_TCP:
            return Reply(message, Delivery.HALF_THEN_CLOSE)
        return Reply(message, delay_s=fault.delay_s if fault is not None and kind == FaultKind.SLOW else 0.0)

    def _message(self, query: dns.message.Message, kind: str | None, tcp: bool) -> bytes:
        """Return the response in wire format, truncated if it is too large or if the fault requires it."""
        if kind == FaultKind.TRUNCATED_ALWAYS or (kind in _UDP_TRUNCATES and not tcp):
            return _truncated(query)
        max_bytes = TCP_MAX_BYTES if tcp else (query.payload or UDP_MAX_BYTES)
        try:
            return self.zones.response(query, kind).to_wire(max_size=max_bytes)
        except dns.exception.TooBig:
            return _truncated(query)

    # --- sockets ---

    async def _serve_tcp(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while await self._serve_query(reader, writer):
                pass
        except (asyncio.IncompleteReadError, OSError):
            pass  # the client has closed the connection
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve_query(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Read a query and reply to it; return False if the connection must be closed."""
        size = int.from_bytes(await reader.readexactly(2))
        client_port = writer.get_extra_info("peername")[1]
        reply = self.reply(await reader.readexactly(size), True, client_port)
        if reply.delay_s:
            await asyncio.sleep(reply.delay_s)
        framed = len(reply.message).to_bytes(2) + reply.message
        match reply.delivery:
            case Delivery.CLOSE:
                return False
            case Delivery.HALF_THEN_CLOSE:
                writer.write(framed[: len(framed) // 2])
                return False
            case Delivery.COMPLETE:
                writer.write(framed)
                await writer.drain()
        return True


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, server: FakeNameserver) -> None:
        self._server = server
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        reply = self._server.reply(data, False, address[1])
        if reply.delivery is not Delivery.COMPLETE:
            return
        if reply.delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(reply.delay_s, self._send, reply.message, address)
        else:
            self._send(reply.message, address)

    def _send(self, message: bytes, address: tuple[str, int]) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(message, address)


def _truncated(query: dns.message.Message) -> bytes:
    response = empty_response(query)
    response.flags |= dns.flags.TC
    return response.to_wire()


async def _main(options: argparse.Namespace) -> None:
    server = FakeNameserver(faults=[Fault(kind) for kind in options.fault], record_queries=False)
    server.serve_zone(options.zone.read_text(), options.origin)
    host, _, port = options.listen.rpartition(":")
    print(f"listening on {await server.start(host, int(port))}", flush=True)
    before = 0
    while True:
        await asyncio.sleep(COUNT_PERIOD_S)
        total = server.counts.total()
        if options.count and total != before:
            print(f"{time.time():.3f} {total - before} {total}", flush=True)
        before = total


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="A fake nameserver for loopback.")
    parser.add_argument("zone", type=Path, help="a master file")
    parser.add_argument("--origin", default="example.org")
    parser.add_argument("--listen", default="127.0.0.1:5300")
    parser.add_argument("--fault", action="append", default=[], help=f"one of {', '.join(FaultKind)}")
    parser.add_argument("--count", action="store_true", help="print queries for each second")
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_main(parser.parse_args()))
