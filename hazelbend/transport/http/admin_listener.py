"""The HTTP/1.1 listener of the admin endpoint, which serves one request per connection. It decides nothing.

Its few connections use reserved file descriptors, so that clients cannot exhaust them. A connection that
sends nothing is evicted for a new one.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from aiohttp import web

from hazelbend.routing.overview import Figures
from hazelbend.transport.connection_memory import ConnectionMemory
from hazelbend.transport.http.client_connection import ClientConnection
from hazelbend.transport.http.http_listener import HttpListener

CONNECTION_LIMIT = 16
MAX_CONNECTIONS = 2 * CONNECTION_LIMIT  # above this the oldest is closed, however recent it is


class Operations(Protocol):
    """The state and the actions that the admin endpoint exposes."""

    @property
    def accepts_clients(self) -> bool:
        """Whether new clients should connect."""

    def figures(self) -> Figures:
        """Return the current counters and gauges."""

    def drain(self) -> None:
        """Start to drain clients; a drain in progress continues."""

    def undrain(self) -> bool:
        """End the drain. Returns False if the program is shutting down and cannot accept clients again."""


class AdminListener(HttpListener):
    """Serves the `/ops` requests."""

    def __init__(self, operations: Operations, memory: ConnectionMemory) -> None:
        super().__init__(CONNECTION_LIMIT, memory)
        self._operations = operations
        self._calls: dict[str, tuple[str, Callable[[], web.Response]]] = {
            "/ops/readiness": ("GET", self._readiness),
            "/ops/stats": ("GET", self._stats),
            "/ops/drain/start": ("POST", self._start_drain),
            "/ops/drain/stop": ("POST", self._stop_drain),
        }

    def _evict_connection(self) -> None:
        """Evict as usual, and above `MAX_CONNECTIONS` also close the oldest connection.

        A request is answered as soon as it is complete, so all open connections are silent or slow.
        """
        super()._evict_connection()
        if self.connections > MAX_CONNECTIONS:
            next(iter(self._open)).force_close()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, ClientConnection)
        connection.request_received()
        method, call = self._calls.get(request.path, ("", None))
        if call is None:
            response = _text_response(404, "no such call")
        elif request.method != method:
            response = _text_response(405, f"this is called by {method}")
            response.headers["Allow"] = method
        else:
            response = call()
        connection.begin_response(is_valid=True)
        response.force_close()
        return response

    def _readiness(self) -> web.Response:
        if self._operations.accepts_clients:
            return _text_response(200, "ready")
        return _text_response(503, "no clients are taken")

    def _stats(self) -> web.Response:
        figures = self._operations.figures().named()
        return web.Response(text="".join(f"relay.{name}={value}\n" for name, value in figures.items()))

    def _start_drain(self) -> web.Response:
        self._operations.drain()
        return _text_response(200, "draining")

    def _stop_drain(self) -> web.Response:
        if self._operations.undrain():
            return _text_response(200, "taking clients")
        return _text_response(409, "the program is leaving")


def _text_response(status: int, text: str) -> web.Response:
    return web.Response(status=status, text=f"{text}\n")
