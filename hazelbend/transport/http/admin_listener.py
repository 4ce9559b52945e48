"""The operators' door: an address of its own, HTTP/1.1, one call a connection. It says what the program says.

Its connections come out of the reserved descriptors, so that clients cannot take them, and are few: callers
that say nothing make room for those that do.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from aiohttp import web

from hazelbend.routing.overview import Figures
from hazelbend.transport.http.client_connection import ClientConnection
from hazelbend.transport.http.http_listener import HttpListener

CONNECTIONS = 16


class Operations(Protocol):
    """What the program lets operators see and do."""

    @property
    def takes_clients(self) -> bool: ...

    def figures(self) -> Figures: ...

    def drain(self) -> None:
        """Empty the dispatcher; a drain that runs goes on."""

    def undrain(self) -> bool:
        """Take clients again; False if the program is leaving and cannot."""


class OpsDoor(HttpListener):
    def __init__(self, operations: Operations) -> None:
        super().__init__(CONNECTIONS)
        self._operations = operations
        self._calls: dict[str, tuple[str, Callable[[], web.Response]]] = {
            "/ops/readiness": ("GET", self._readiness),
            "/ops/stats": ("GET", self._stats),
            "/ops/drain/start": ("POST", self._start_drain),
            "/ops/drain/stop": ("POST", self._stop_drain),
        }

    def _evict_connection(self) -> None:
        """Each is served as soon as its call is whole, so all that are open are silent or slow: in a rush of
        those the oldest goes, however young it is."""
        super()._evict_connection()
        if self.connections > 2 * CONNECTIONS:
            next(iter(self._open)).force_close()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, ClientConnection)
        connection.request_received()
        method, call = self._calls.get(request.path, ("", None))
        if call is None:
            response = _no(404, "no such call")
        elif request.method != method:
            response = _no(405, f"this is called by {method}")
            response.headers["Allow"] = method
        else:
            response = call()
        connection.begin_response(is_valid=True)
        response.force_close()
        return response

    def _readiness(self) -> web.Response:
        return _yes("ready") if self._operations.takes_clients else _no(503, "no clients are taken")

    def _stats(self) -> web.Response:
        figures = self._operations.figures().named()
        return web.Response(text="".join(f"relay.{name}={value}\n" for name, value in figures.items()))

    def _start_drain(self) -> web.Response:
        self._operations.drain()
        return _yes("draining")

    def _stop_drain(self) -> web.Response:
        if self._operations.undrain():
            return _yes("taking clients")
        return _no(409, "the program is leaving")


def _yes(text: str) -> web.Response:
    return web.Response(text=f"{text}\n")


def _no(status: int, text: str) -> web.Response:
    return web.Response(status=status, text=f"{text}\n")
