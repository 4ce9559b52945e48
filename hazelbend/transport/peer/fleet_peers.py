"""The fleet's address and its peers': HTTP/1.1 by aiohttp, bodies by msgspec (msgpack). No decisions.

    POST /fleet/tell    what peers say to each other, several at once: 204
    POST /fleet/ask     one operation on a lease: a Reply
    POST /fleet/found   an operator's word: a new epoch; its number
    GET  /fleet/view    what this dispatcher knows

What is lost is lost: nothing is sent again from here, as the engines ask again where it matters. To each peer
one request is under way; what comes meanwhile goes with the next, the newest `KEPT` of it.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Awaitable, Callable

import aiohttp
import msgspec
from aiohttp import web
from yarl import URL

from hazelbend.consensus.identity import address_of
from hazelbend.consensus.messages import Message
from hazelbend.gossip.messages import Packet
from hazelbend.leases.client import Holder, Request
from hazelbend.leases.engine import Reply, View
from hazelbend.leases.lease_table import Answer, Operation
from hazelbend.transport.http.client_connection import ClientConnection
from hazelbend.transport.http.http_listener import HttpListener

CONNECTIONS = 256  # of peers and commands together
KEPT = 256  # items that wait for one peer
BODY = 4 * 1024 * 1024  # most bytes of a request
TELL_WAIT = 1.0  # seconds for one request to a peer; the engines have asked again by then
IDLE = 30.0  # seconds that a connection to a peer is kept
HOPS = 5  # from one that does not lead to the next that it names
UNANSWERED = (aiohttp.ClientError, OSError, TimeoutError, ValueError)  # and nobody knows what became of it
PACK = "application/msgpack"

Item = Packet | Message

_encoder = msgspec.msgpack.Encoder()
# Two kinds of arrays: what is said of members, and of the record. They are told apart by where they stand.
_items = msgspec.msgpack.Decoder(tuple[tuple[Packet, ...], tuple[Message, ...]])
_operations = msgspec.msgpack.Decoder(Operation)
_replies = msgspec.msgpack.Decoder(Reply)
_views = msgspec.msgpack.Decoder(View)


class FleetDoor(HttpListener):
    """Where peers and commands come in."""

    def __init__(
        self,
        hear: Callable[[Item], None],
        ask: Callable[[Operation], Awaitable[Reply]],
        found: Callable[[bool], str],
        view: Callable[[], View],
    ) -> None:
        """`found` gives the new epoch, or raises ValueError with what speaks against it."""
        super().__init__(CONNECTIONS)
        self._hear, self._ask, self._found, self._view = hear, ask, found, view

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, ClientConnection)
        try:
            body = await self._body(request)
            connection.request_received()
            response = await self._call(request, body)
        except (msgspec.DecodeError, ValueError) as error:
            connection.request_received()
            response = web.Response(status=400, text=f"{error}\n")
        connection.begin_response(is_valid=response.status < 400)
        if response.status >= 400:
            response.force_close()
        return response

    @staticmethod
    async def _body(request: web.BaseRequest) -> bytes:
        body = bytearray()
        async for chunk in request.content.iter_any():
            body += chunk
            if len(body) > BODY:
                raise ValueError(f"more than {BODY} bytes")
        return bytes(body)

    async def _call(self, request: web.BaseRequest, body: bytes) -> web.Response:
        match (request.method, request.path):
            case ("POST", "/fleet/tell"):
                for items in _items.decode(body):
                    for item in items:
                        self._hear(item)
                return web.Response(status=204)
            case ("POST", "/fleet/ask"):
                return _packed(await self._ask(_operations.decode(body)))
            case ("POST", "/fleet/found"):
                return web.Response(text=self._found(body == b"anyway"))
            case ("GET", "/fleet/view"):
                return _packed(self._view())
        return web.Response(status=404, text="no such call\n")


def _packed(value: object) -> web.Response:
    return web.Response(body=_encoder.encode(value), content_type=PACK)


class Peers:
    """The way out, to any number of addresses."""

    def __init__(self, host: str) -> None:
        """`host`: the own address, from which it calls, so that who looks at connections knows whose they
        are."""
        self._local = (host, 0) if host != "0.0.0.0" else None
        self._session: aiohttp.ClientSession | None = None
        self._waiting: dict[str, deque[Item]] = {}
        self._senders: dict[str, asyncio.Task[None]] = {}
        self.sent = self.lost = 0  # requests

    def tell(self, address: str, item: Item) -> None:
        waiting = self._waiting.setdefault(address, deque(maxlen=KEPT))
        waiting.append(item)
        if address not in self._senders:
            self._senders[address] = asyncio.create_task(self._send(address, waiting))

    async def _send(self, address: str, waiting: deque[Item]) -> None:
        try:
            while waiting:
                items = list(waiting)
                waiting.clear()
                packets = [each for each in items if isinstance(each, Packet)]
                messages = [each for each in items if isinstance(each, Message)]
                try:
                    await self._post(address, "tell", _encoder.encode((packets, messages)), TELL_WAIT)
                    self.sent += 1
                except UNANSWERED:
                    self.lost += 1
        finally:
            # Here and not in a callback, which runs later: what came in between would wait for the next.
            del self._waiting[address], self._senders[address]

    async def ask(self, address: str, operation: Operation, wait: float) -> Reply:
        """One of UNANSWERED if there is no answer."""
        return _replies.decode(await self._post(address, "ask", _encoder.encode(operation), wait))

    async def ask_leader(self, address: str, operation: Operation, wait: float) -> Answer | None:
        """Ask this one, and whoever it says leads. None: nobody that leads has answered."""
        with contextlib.suppress(*UNANSWERED):
            for _ in range(HOPS):
                reply = await self.ask(address, operation, wait)
                leader = address_of(reply.leader)
                if reply.answer is not None or leader in ("", address):
                    return reply.answer
                address = leader
        return None

    async def found(self, address: str, anyway: bool, wait: float) -> str:
        return (await self._post(address, "found", b"anyway" if anyway else b"", wait)).decode()

    async def view(self, address: str, wait: float) -> View:
        return _views.decode(await self._call("GET", address, "view", b"", wait))

    async def _post(self, address: str, call: str, body: bytes, wait: float) -> bytes:
        return await self._call("POST", address, call, body, wait)

    async def _call(self, method: str, address: str, call: str, body: bytes, wait: float) -> bytes:
        session = self._session
        if session is None:
            session = self._session = aiohttp.ClientSession(
                cookie_jar=aiohttp.DummyCookieJar(),
                timeout=aiohttp.ClientTimeout(total=None),
                trust_env=False,
                auto_decompress=False,
                connector=aiohttp.TCPConnector(
                    limit=0, use_dns_cache=False, keepalive_timeout=IDLE, local_addr=self._local
                ),
            )
            session._retry_connection = False
        url = URL(f"http://{address}/fleet/{call}", encoded=True)
        async with (
            asyncio.timeout(wait),
            session.request(method, url, data=body, allow_redirects=False) as response,
        ):
            text = await response.read()
            if response.status >= 300:
                raise ValueError(
                    f"{address}: {response.status}: {text[:200].decode(errors='replace').strip()}"
                )
            return text

    async def close(self) -> None:
        for task in list(self._senders.values()):
            task.cancel()
        await asyncio.gather(*self._senders.values(), return_exceptions=True)
        if self._session is not None:
            with contextlib.suppress(OSError):
                await self._session.close()


class Asking:
    """Puts what holders want to whoever leads, each request a task, and gives them the answers."""

    def __init__(
        self, ask: Callable[[Operation], Awaitable[Answer | None]], clock: Callable[[], int]
    ) -> None:
        self._ask, self._clock = ask, clock
        self._tasks: set[asyncio.Task[None]] = set()

    def tick(self, holder: Holder) -> None:
        for request in holder.tick(self._clock()):
            task = asyncio.create_task(self._one(holder, request))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _one(self, holder: Holder, request: Request) -> None:
        answer = await self._ask(request.operation)
        holder.answered(request.number, answer, self._clock())

    async def finish(self, wait: float) -> None:
        """Let the answers that are due come, for so long."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=wait)

    async def close(self) -> None:
        tasks = list(self._tasks)
        for each in tasks:
            each.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
