"""Faults in the responses of a worker in trouble: surplus bytes, and responses that break off.

Surplus bytes are sent after a complete response and belong to no request. Here they are a copy of a
rejection, as a whole or up to a place inside its head. They arrive on an idle connection, or where the
response to the next request is due. A response breaks off in its head, or before it, by a FIN or a reset.
"""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from weakref import WeakKeyDictionary

from aiohttp import web

SURPLUS_FRACTION = 0.5  # of the rejections, that are followed by surplus bytes
IDLE_FRACTION = 0.3  # of the surplus bytes, that do not wait for the next request
IDLE_DELAY_S = 0.02  # at most, from the response to the bytes that do not wait
CUT_FRACTION = 0.5  # of the surplus bytes, that end inside the head
BROKEN_FRACTION = 0.01  # of the responses of requests that have run
RESET_FRACTION = 0.5  # of the responses that break off, that end with a reset
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0


class ResponseFaults:
    """The faults in the responses of one worker, drawn from `rng`."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._waiting: WeakKeyDictionary[asyncio.Transport, bytes] = WeakKeyDictionary()
        self.surplus_sent = 0  # how many times surplus bytes were sent
        self.broken = 0  # responses that broke off

    # --- surplus bytes ---

    def write_waiting_surplus(self, request: web.BaseRequest) -> None:
        """Write the surplus bytes that wait for this request on its connection, before the response to it."""
        transport = request.transport
        if transport is not None and (surplus := self._waiting.pop(transport, b"")):
            self._write_surplus(transport, surplus)

    def follow_rejection(self, request: web.BaseRequest, status: int, reason: str) -> None:
        """Let surplus bytes follow the rejection of this request, which is about to be written."""
        transport = request.transport
        if transport is None or self._rng.random() >= SURPLUS_FRACTION:
            return
        surplus = _rejection(status, reason, request.headers["Request-Id"])
        if self._rng.random() < CUT_FRACTION:
            surplus = surplus[: self._rng.randrange(1, len(surplus) - 1)]
        if self._rng.random() < IDLE_FRACTION:
            delay = self._rng.uniform(0.0, IDLE_DELAY_S)
            asyncio.get_running_loop().call_later(delay, self._write_surplus, transport, surplus)
        else:
            self._waiting[transport] = surplus

    def _write_surplus(self, transport: asyncio.Transport, surplus: bytes) -> None:
        if not transport.is_closing():
            transport.write(surplus)
            self.surplus_sent += 1

    # --- responses that break off ---

    def break_off(self, request: web.BaseRequest) -> bool:
        """Write a part of a response and end the connection, if that is drawn; returns whether it was."""
        transport = request.transport
        if transport is None or self._rng.random() >= BROKEN_FRACTION:
            return False
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request.headers['Request-Id']}\r\n".encode()
        transport.write(head[: self._rng.randrange(len(head))])
        if self._rng.random() < RESET_FRACTION:
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        transport.close()
        self.broken += 1
        return True


def _rejection(status: int, reason: str, request_id: str) -> bytes:
    head = f"HTTP/1.1 {status} {reason}\r\nNot-Executed: 1\r\nRequest-Id: {request_id}\r\n"
    return f"{head}Content-Length: 0\r\n\r\n".encode()
