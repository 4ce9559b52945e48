"""Sends the resolver's queries: over UDP from a new port each (RFC 5452), or over a TCP connection that stays
open for a while and is shared by several queries (RFC 7766). Each query has a timeout; none is retried here.
"""

from __future__ import annotations

import asyncio
import secrets

from hazelbend.dns_discovery.answers import QueryFailure, QueryResult, Question, TruncatedAnswer
from hazelbend.dns_discovery.resolver import Query
from hazelbend.protocol.dns import MismatchError, decode_answer, encode_query
from hazelbend.transport.dns.tcp_connection import DecodeAnswer, TcpConnection

MAX_MISMATCHES = 8  # datagrams that do not match the query, after which it is repeated over TCP
ID_BITS = 16
CASE_BITS = 256


class DnsClient:
    """Sends queries to the configured nameservers."""

    def __init__(self, nameservers: tuple[tuple[str, int], ...], timeout_s: float) -> None:
        self.timeout_s = timeout_s
        self._nameservers = nameservers
        self._connections: dict[int, TcpConnection] = {}

    async def query(self, query: Query) -> QueryResult:
        """Return the result of a query. Timeouts and socket errors are returned as `QueryFailure`."""
        question = Question(query.name, query.question.record_type)  # the name may be the target of a CNAME
        query_id = secrets.randbits(ID_BITS)
        data, encoded_name = encode_query(
            question.name, question.record_type, query_id, secrets.randbits(CASE_BITS), edns=query.edns
        )

        def decode(answer: bytes) -> QueryResult:
            return decode_answer(answer, query_id, encoded_name, question, over_tcp=query.over_tcp)

        try:
            async with asyncio.timeout(self.timeout_s):
                if query.over_tcp:
                    return await self._connection(query.server).query(query_id, data, decode)
                return await _query_over_udp(self._nameservers[query.server], data, decode)
        except TimeoutError:
            return QueryFailure("no answer in time", server_unreachable=True)
        except OSError as error:
            reason = error.strerror or str(error) or type(error).__name__
            return QueryFailure(reason, server_unreachable=True)

    def close(self) -> None:
        """Close the TCP connections."""
        for connection in self._connections.values():
            connection.close()

    def _connection(self, server: int) -> TcpConnection:
        connection = self._connections.get(server)
        if connection is None or connection.closed:
            connection = TcpConnection(self._nameservers[server])
            self._connections[server] = connection
        return connection


class _UdpAnswer(asyncio.DatagramProtocol):
    """Selects the answer to one query from the datagrams that arrive at its port."""

    def __init__(self, decode: DecodeAnswer) -> None:
        self._decode = decode
        self._mismatches = 0
        self.result: asyncio.Future[QueryResult] = asyncio.get_running_loop().create_future()

    def datagram_received(self, data: bytes, address: object) -> None:
        if self.result.done():
            return
        try:
            self.result.set_result(self._decode(data))
        except MismatchError:
            # The datagram may be forged (RFC 5452), and the true answer may still arrive. Many mismatches
            # suggest an attacker who guesses ids.
            self._mismatches += 1
            if self._mismatches >= MAX_MISMATCHES:
                self.result.set_result(TruncatedAnswer())

    def error_received(self, error: Exception) -> None:
        if not self.result.done():
            self.result.set_exception(error)

    def connection_lost(self, error: Exception | None) -> None:
        if not self.result.done():
            self.result.cancel()


async def _query_over_udp(address: tuple[str, int], data: bytes, decode: DecodeAnswer) -> QueryResult:
    loop = asyncio.get_running_loop()
    # A separate connected socket: the kernel chooses a random port and delivers only from this nameserver.
    transport, protocol = await loop.create_datagram_endpoint(lambda: _UdpAnswer(decode), remote_addr=address)
    try:
        transport.sendto(data)
        return await protocol.result
    finally:
        transport.close()
