"""Surplus bytes of a worker in trouble, which sends more after a complete response: they are not a response.

They are a copy of the last response to the connection's last request, as a whole or up to a place inside its
head. They arrive on an idle connection, or where the response to the next request is due.
"""

from __future__ import annotations

import asyncio
import random
from weakref import WeakKeyDictionary

from aiohttp import web

SURPLUS_FRACTION = 0.5  # of the rejections and of the responses, that are followed by surplus bytes
IDLE_FRACTION = 0.3  # of the surplus bytes, that do not wait for the next request
IDLE_DELAY_S = 0.02  # at most, from the response to the bytes that do not wait
CUT_FRACTION = 0.5  # of the surplus bytes, that end inside the head


class SurplusBytes:
    """The surplus bytes of one worker, drawn from `rng`."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._waiting: WeakKeyDictionary[asyncio.Transport, bytes] = WeakKeyDictionary()
        self.sent = 0

    def write_waiting(self, request: web.BaseRequest) -> None:
        """Write what waits for this request on its connection, before the response to it."""
        transport = request.transport
        if transport is not None and (surplus := self._waiting.pop(transport, b"")):
            self._write(transport, surplus)

    def follow(self, request: web.BaseRequest, status: int, reason: str) -> None:
        """Let surplus bytes follow the response to this request, which is about to be written."""
        transport = request.transport
        if transport is None or self._rng.random() >= SURPLUS_FRACTION:
            return
        surplus = _rejection(status, reason, request.headers["Request-Id"])
        if self._rng.random() < CUT_FRACTION:
            surplus = surplus[: self._rng.randrange(1, len(surplus) - 1)]
        if self._rng.random() < IDLE_FRACTION:
            delay = self._rng.uniform(0.0, IDLE_DELAY_S)
            asyncio.get_running_loop().call_later(delay, self._write, transport, surplus)
        else:
            self._waiting[transport] = surplus

    def _write(self, transport: asyncio.Transport, surplus: bytes) -> None:
        if not transport.is_closing():
            transport.write(surplus)
            self.sent += 1


def _rejection(status: int, reason: str, request_id: str) -> bytes:
    head = f"HTTP/1.1 {status} {reason}\r\nNot-Executed: 1\r\nRequest-Id: {request_id}\r\n"
    return f"{head}Content-Length: 0\r\n\r\n".encode()
