"""A nameserver on loopback, from RFC 1035, 2308, 2782, 6891 and 7766; it can be told to go wrong.

    python -m hazelbend.standins.dns example.zone --origin example.org --listen 127.0.0.1:5300

It is authoritative for its zones (master files, RFC 1035 section 5), adds the addresses of SRV targets that
it has, and truncates over UDP what the client has no room for. Faults are tried in order; the first that fits
a query is played, and all of them are named in `FAULTS`.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import socket
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import cast

import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype
import dns.rrset
import dns.zone

FAULTS = (
    "truncated",  # over UDP: the flag, and no records
    "truncated-always",  # over TCP as well
    "servfail", "refused", "formerr", "formerr-edns",  # the last to queries with EDNS alone
    "nxdomain", "empty", "lame", "referral",
    "alias-loop", "alias-away",  # a name that leads to itself; one that leads out of the zone
    "silent", "slow",
    "wrong-id", "wrong-question", "wrong-case", "garbage", "cut", "compression-loop",
    "half-tcp", "close-tcp",  # truncated over UDP; over TCP half of the message or none, and it closes
    "oversized",  # as many records as a message can hold
)  # fmt: skip
MOST_ALIASES = 8


@dataclass(slots=True)
class Fault:
    """What goes wrong, for which queries; `left` counts down the times, None is for ever."""

    what: str
    name: str = ""  # of the question, in lower case; "" is any
    kind: str = ""  # "SRV", "A", ...; "" is any
    left: int | None = None
    delay: float = 0.0  # seconds, of "slow"
    part: float = 1.0  # of the fitting queries, evenly spread
    _met: int = 0

    def __post_init__(self) -> None:
        if self.what not in FAULTS:
            raise ValueError(f"{self.what!r} is none of {', '.join(FAULTS)}")

    def fits(self, name: str, kind: str) -> bool:
        if self.left == 0 or self.name not in ("", name) or self.kind not in ("", kind):
            return False
        self._met += 1
        if int(self._met * self.part) == int((self._met - 1) * self.part):
            return False
        if self.left is not None:
            self.left -= 1
        return True


@dataclass(slots=True, frozen=True)
class Query:
    at: float  # loop time
    name: str
    kind: str
    tcp: bool
    port: int  # the client's
    id: int


@dataclass
class StandInNameserver:
    zones: dict[dns.name.Name, dns.zone.Zone] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)
    keeps: bool = True  # the queries, for a test to look at
    additional: bool = True  # whether addresses of targets come beside the records

    def __post_init__(self) -> None:
        self.queries: list[Query] = []
        self.counts: Counter[str] = Counter()
        self.address = ""
        self._udp: asyncio.DatagramTransport | None = None
        self._tcp: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def serve_zone(self, text: str, origin: str = "example.org") -> None:
        """From now on this zone, whatever stood there before."""
        zone = dns.zone.from_text(text, origin, relativize=False, check_origin=False)
        self.zones[dns.name.from_text(origin)] = zone

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen over UDP and TCP, on one port; the address."""
        loop = asyncio.get_running_loop()
        for _ in range(20):
            listener = socket.create_server((host, port), backlog=512)
            number = listener.getsockname()[1]
            try:
                self._udp, _ = await loop.create_datagram_endpoint(
                    lambda: _Datagrams(self), local_addr=(host, number)
                )
                break
            except OSError:  # somebody has that port over UDP
                listener.close()
                if port:
                    raise
        else:
            raise OSError("no port that is free over UDP and TCP")
        self._tcp = await asyncio.start_server(self._serve_tcp, sock=listener)
        self.address = f"{host}:{number}"
        return self.address

    async def stop(self) -> None:
        """Nobody answers there any more."""
        if self._udp is not None:
            self._udp.close()
        if self._tcp is not None:
            self._tcp.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # --- one query ---

    def answer(self, data: bytes, tcp: bool, port: int) -> tuple[bytes | None, float]:
        """The answer's bytes, or None; and how long to wait before."""
        try:
            query = dns.message.from_wire(data)
            [question] = query.question
        except Exception:
            return None, 0.0
        name, kind = (
            question.name.to_text(omit_final_dot=True).lower(),
            dns.rdatatype.to_text(question.rdtype),
        )
        self.counts[kind] += 1
        if self.keeps:
            now = asyncio.get_running_loop().time()
            self.queries.append(Query(now, name, kind, tcp, port, query.id))
        fault = next((each for each in self.faults if each.fits(name, kind)), None)
        what = fault.what if fault is not None else ""
        if what == "silent":
            return None, 0.0
        response = self._faulty(query, what) or self._response(query)
        if what == "oversized":
            self._add_many(response, question)
        room = 65_535 if tcp else (query.payload or 512)
        if what == "truncated-always" or (what in ("truncated", "half-tcp", "close-tcp") and not tcp):
            response = self._bare(query)
            response.flags |= dns.flags.TC
        try:
            wire = response.to_wire(max_size=room)
        except dns.exception.TooBig:
            response = self._bare(query)
            response.flags |= dns.flags.TC
            wire = response.to_wire()
        if what in ("half-tcp", "close-tcp") and not tcp:
            what = ""
        return _spoilt(wire, what, question), fault.delay if fault is not None and what == "slow" else 0.0

    def _bare(self, query: dns.message.Message, rcode: int = dns.rcode.NOERROR) -> dns.message.Message:
        response = dns.message.make_response(query)
        response.flags |= dns.flags.AA
        response.set_rcode(dns.rcode.Rcode(rcode))
        return response

    def _faulty(self, query: dns.message.Message, what: str) -> dns.message.Message | None:
        rcodes = {"servfail": dns.rcode.SERVFAIL, "refused": dns.rcode.REFUSED, "formerr": dns.rcode.FORMERR}
        question = query.question[0]
        if what in rcodes:
            return self._bare(query, rcodes[what])
        if what == "formerr-edns" and query.edns >= 0:
            response = self._bare(query, dns.rcode.FORMERR)
            response.use_edns(False)
            return response
        if what in ("nxdomain", "empty"):
            response = self._bare(query, dns.rcode.NXDOMAIN if what == "nxdomain" else dns.rcode.NOERROR)
            soa = "ns.example.org. host.example.org. 1 3600 600 86400 5"
            response.authority.append(dns.rrset.from_text("example.org.", 5, "IN", "SOA", soa))
            return response
        if what == "lame":
            response = self._response(query)
            response.flags &= ~dns.flags.AA
            return response
        if what == "referral":
            response = self._bare(query)
            response.flags &= ~dns.flags.AA
            response.authority.append(dns.rrset.from_text("org.", 300, "IN", "NS", "ns.elsewhere.example."))
            return response
        if what in ("alias-loop", "alias-away"):
            response = self._bare(query)
            away = "_arama._tcp.elsewhere.example." if what == "alias-away" else question.name.to_text()
            response.answer.append(dns.rrset.from_text(question.name, 300, "IN", "CNAME", away))
            return response
        return None

    def _response(self, query: dns.message.Message) -> dns.message.Message:
        question = query.question[0]
        owner: dns.name.Name = question.name
        zone = self._zone_of(owner)
        if zone is None:
            return self._bare(query, dns.rcode.REFUSED)
        response = self._bare(query)
        for _ in range(MOST_ALIASES):
            node = zone.get_node(owner)
            records = node.get_rdataset(zone.rdclass, question.rdtype) if node is not None else None
            if records is not None:
                response.answer.append(dns.rrset.from_rdata_list(owner, records.ttl, list(records)))
                break
            alias = node.get_rdataset(zone.rdclass, dns.rdatatype.CNAME) if node is not None else None
            if alias is None:
                if node is None and not response.answer:
                    response.set_rcode(dns.rcode.NXDOMAIN)
                origin = zone.origin or dns.name.root
                soa = zone.get_rdataset(origin, dns.rdatatype.SOA)
                if soa is not None:
                    response.authority.append(dns.rrset.from_rdata_list(origin, soa.ttl, list(soa)))
                break
            response.answer.append(dns.rrset.from_rdata_list(owner, alias.ttl, list(alias)))
            owner = alias[0].target
            if self._zone_of(owner) is not zone:
                break
        if self.additional and response.answer and question.rdtype == dns.rdatatype.SRV:
            for rdata in response.answer[-1]:
                self._add_addresses(response, rdata, zone)
        return response

    def _add_addresses(self, response: dns.message.Message, rdata: object, zone: dns.zone.Zone) -> None:
        target = getattr(rdata, "target", dns.name.root)
        node = zone.get_node(target) if self._zone_of(target) is zone else None
        for kind in (dns.rdatatype.A, dns.rdatatype.AAAA):
            records = node.get_rdataset(zone.rdclass, kind) if node is not None else None
            if records is not None:
                response.additional.append(dns.rrset.from_rdata_list(target, records.ttl, list(records)))

    def _zone_of(self, name: dns.name.Name) -> dns.zone.Zone | None:
        found = [origin for origin in self.zones if name.is_subdomain(origin)]
        return self.zones[max(found, key=len)] if found else None

    @staticmethod
    def _add_many(response: dns.message.Message, question: dns.rrset.RRset) -> None:
        rows = [f"0 1 {1 + number} b{number}.example.org." for number in range(1_500)]
        response.answer = [dns.rrset.from_text(question.name, 30, "IN", "SRV", *rows)]

    # --- sockets ---

    def later(self, delay: float, send: Callable[[], None]) -> None:
        asyncio.get_running_loop().call_later(delay, send)

    async def _serve_tcp(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                size = int.from_bytes(await reader.readexactly(2))
                port = writer.get_extra_info("peername")[1]
                wire, delay = self.answer(await reader.readexactly(size), True, port)
                if delay:
                    await asyncio.sleep(delay)
                if wire == b"close":
                    break
                if wire is None:
                    continue
                framed = len(wire).to_bytes(2) + wire
                if wire.endswith(b"half"):
                    writer.write(framed[: len(framed) // 2])
                    break
                writer.write(framed)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, server: StandInNameserver) -> None:
        self._server = server
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        wire, delay = self._server.answer(data, False, address[1])
        if wire is None or self._transport is None:
            return
        if delay:
            self._server.later(delay, lambda: self._send(wire, address))
        else:
            self._send(wire, address)

    def _send(self, wire: bytes, address: tuple[str, int]) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(wire, address)


def _spoilt(wire: bytes, what: str, question: dns.rrset.RRset) -> bytes:
    """The answer's bytes with what goes wrong on the wire."""
    match what:
        case "wrong-id":
            return ((int.from_bytes(wire[:2]) + 1) % 65_536).to_bytes(2) + wire[2:]
        case "wrong-question":
            # One byte of the first label: another name of the same length.
            return wire[:13] + bytes([wire[13] ^ 0x01]) + wire[14:]
        case "wrong-case":
            end = 12 + len(question.name.to_wire() or b"")
            return wire[:12] + wire[12:end].swapcase() + wire[end:]
        case "garbage":
            return wire[:2] + bytes((7 * place + 13) % 256 for place in range(60))
        case "cut":
            return wire[: max(len(wire) * 2 // 3, 13)]
        case "compression-loop":
            # One answer whose owner is a pointer to itself.
            end = 12 + len(question.name.to_wire() or b"") + 4
            head = wire[:2] + b"\x84\x00" + b"\x00\x01\x00\x01\x00\x00\x00\x00"
            loop = (0xC000 | end).to_bytes(2) + b"\x00\x21\x00\x01\x00\x00\x00\x1e\x00\x02\xc0\x0c"
            return head + wire[12:end] + loop
        case "half-tcp":
            return wire + b"half"
        case "close-tcp":
            return b"close"
    return wire


async def _main(options: argparse.Namespace) -> None:
    server = StandInNameserver(faults=[Fault(each) for each in options.fault], keeps=False)
    server.serve_zone(options.zone.read_text(), options.origin)
    host, _, port = options.listen.rpartition(":")
    print(f"listening on {await server.start(host, int(port))}", flush=True)
    before = 0
    while True:
        await asyncio.sleep(1.0)
        total = server.counts.total()
        if options.count and total != before:
            print(f"{time.time():.3f} {total - before} {total}", flush=True)
        before = total


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="A stand-in nameserver for loopback.")
    parser.add_argument("zone", type=Path, help="a master file")
    parser.add_argument("--origin", default="example.org")
    parser.add_argument("--listen", default="127.0.0.1:5300")
    parser.add_argument("--fault", action="append", default=[], help=f"one of {', '.join(FAULTS)}")
    parser.add_argument("--count", action="store_true", help="print queries for each second")
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_main(parser.parse_args()))
