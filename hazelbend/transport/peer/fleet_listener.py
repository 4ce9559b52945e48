"""HTTP/1.1 listener for the calls of other dispatchers of the fleet and of commands. It makes no decisions.

POST /fleet/tell    one or more peer messages; responds with 204
POST /fleet/ask     one operation on a lease; responds with a Reply
POST /fleet/found   an operator's request for a new epoch; responds with its number
GET  /fleet/view    responds with the state that this dispatcher knows, a FleetView
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from hazelbend.leases.lease_node import PeerMessage, Reply
from hazelbend.leases.operations import Operation
from hazelbend.leases.views import FleetView
from hazelbend.transport.connection_memory import ConnectionMemory
from hazelbend.transport.http.client_connection import ClientConnection, ConnectionEndedError
from hazelbend.transport.http.http_listener import HttpListener
from hazelbend.transport.http.request_body import RequestBodyError, read_body
from hazelbend.transport.peer import fleet_codec

MAX_CONNECTIONS = 256  # from peers and commands together
MAX_BODY_BYTES = 4 * 1024 * 1024


class FleetListener(HttpListener):
    """Accepts the calls of peers and commands and passes them to the program."""

    def __init__(
        self,
        receive: Callable[[PeerMessage], None],
        submit: Callable[[Operation], Awaitable[Reply]],
        start_new_epoch: Callable[[bool], Awaitable[str]],
        view: Callable[[], FleetView],
        memory: ConnectionMemory,
    ) -> None:
        """`start_new_epoch` takes whether to start it even if there is a leader. It returns the new epoch, or
        raises ValueError with the reason for the refusal.
        """
        super().__init__(MAX_CONNECTIONS, memory)
        self._receive = receive
        self._submit = submit
        self._start_new_epoch = start_new_epoch
        self._view = view

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, ClientConnection)
        try:
            body = await read_body(request, MAX_BODY_BYTES)
            connection.request_received()
            response = await self._call(request, body)
        except ConnectionEndedError:
            return web.Response(status=408)  # is not written
        except (RequestBodyError, msgspec.DecodeError, ValueError) as error:
            response = web.Response(status=400, text=f"{error}\n")
        connection.begin_response(is_valid=response.status < 400)
        if response.status >= 400:
            response.force_close()
        return response

    async def _call(self, request: web.BaseRequest, body: bytes) -> web.Response:
        match (request.method, request.path):
            case ("POST", "/fleet/tell"):
                for message in fleet_codec.decode_peer_messages(body):
                    self._receive(message)
                return web.Response(status=204)
            case ("POST", "/fleet/ask"):
                return _msgpack_response(await self._submit(fleet_codec.decode_operation(body)))
            case ("POST", "/fleet/found"):
                return web.Response(text=await self._start_new_epoch(body == fleet_codec.FORCE_NEW_EPOCH))
            case ("GET", "/fleet/view"):
                return _msgpack_response(self._view())
        return web.Response(status=404, text="no such call\n")


def _msgpack_response(value: object) -> web.Response:
    return web.Response(body=fleet_codec.encode(value), content_type=fleet_codec.CONTENT_TYPE)
