"""The operators' address: HTTP/1.1, one call a connection. It makes no decisions.

Its few connections are from the reserved descriptors, so that clients cannot take them. Callers that send
nothing are evicted for those that do.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from aiohttp import web

from hazelbend.routing.overview import Figures
from hazelbend.transport.http.client_connection import ClientConnection
from hazelbend.transport.http.http_listener import HttpListener

CONNECTION_LIMIT = 16
MAX_CONNECTIONS = 2 * CONNECTION_LIMIT  # beyond it the oldest is closed, however young it is


class Operations(Protocol):
    """What operators may see and do."""

    @property
    def accepts_clients(self) -> bool:
        """Whether clients should connect."""

    def figures(self) -> Figures:
        """Return the counters and gauges."""

    def drain(self) -> None:
        """Start a drain of clients; one that is in progress goes on."""

    def undrain(self) -> bool:
        """End the drain; False if the program is ending and cannot accept clients again."""


class AdminListener(HttpListener):
    """Serves the `/ops` calls."""

    def __init__(self, operations: Operations) -> None:
        super().__init__(CONNECTION_LIMIT)
        self._operations = operations
        self._calls: dict[str, tuple[str, Callable[[], web.Response]]] = {
            "/ops/readiness": ("GET", self._readiness),
            "/ops/stats": ("GET", self._stats),
            "/ops/drain/start": ("POST", self._start_drain),
            "/ops/drain/stop": ("POST", self._stop_drain),
        }

    def _evict_connection(self) -> None:
        """Also close the oldest connection in a rush of new ones.

        A call is answered as soon as it is complete, so all open connections are silent or slow.
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
