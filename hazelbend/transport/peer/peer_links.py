"""Calls to the fleet addresses of other dispatchers over HTTP/1.1; fleet_listener.py lists the calls.

A lost message is not retried here: the gossip and consensus engines repeat what matters. At most one request
with messages is in flight to each peer. Further messages wait for the next request; only the newest
`MAX_QUEUED_MESSAGES` are kept.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque

import aiohttp
from yarl import URL

from hazelbend.consensus.identity import address_of
from hazelbend.leases.lease_node import PeerMessage, Reply
from hazelbend.leases.operations import LeaseResponse, Operation
from hazelbend.leases.views import FleetView
from hazelbend.transport.http.aiohttp_client import open_session
from hazelbend.transport.peer import fleet_codec

MAX_QUEUED_MESSAGES = 256  # for one peer
TELL_TIMEOUT_S = 1.0  # of one request with messages; by then the engines have repeated their messages
KEEPALIVE_S = 30.0  # of an idle connection to a peer
MAX_REDIRECTS = 5  # from a dispatcher that does not lead to the leader that it names
MAX_ERROR_TEXT_BYTES = 200

# The call ended without a response, so it is unknown whether it was executed.
CALL_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, ValueError)


class CallRejectedError(ValueError):
    """A dispatcher responded to a call with an error status. The text has its address and the reason."""


class PeerLinks:
    """Connections to any number of addresses, opened on demand."""

    def __init__(self, host: str) -> None:
        """`host` is the local address to connect from, so that peers can identify the source."""
        self._local_address = (host, 0) if host != "0.0.0.0" else None
        self._session: aiohttp.ClientSession | None = None
        self._queued: dict[str, deque[PeerMessage]] = {}  # by address
        self._senders: dict[str, asyncio.Task[None]] = {}  # by address
        self.requests_sent = 0
        self.requests_lost = 0

    def send(self, address: str, message: PeerMessage) -> None:
        """Send a message to a peer, now or with the next request to it. The message may be lost."""
        queued = self._queued.setdefault(address, deque(maxlen=MAX_QUEUED_MESSAGES))
        queued.append(message)
        if address not in self._senders:
            self._senders[address] = asyncio.create_task(self._send_queued(address, queued))

    async def _send_queued(self, address: str, queued: deque[PeerMessage]) -> None:
        try:
            while queued:
                body = fleet_codec.encode_peer_messages(queued)
                queued.clear()
                try:
                    await self._post(address, "tell", body, TELL_TIMEOUT_S)
                    self.requests_sent += 1
                except CALL_ERRORS:
                    self.requests_lost += 1
        finally:
            # Not in a done callback: it runs later, and a message queued in between would rely on this
            # sender, which has ended.
            del self._queued[address]
            del self._senders[address]

    async def submit(self, address: str, operation: Operation, timeout_s: float) -> Reply:
        """Submit an operation to the dispatcher at this address. Raises one of CALL_ERRORS."""
        body = fleet_codec.encode(operation)
        return fleet_codec.decode_reply(await self._post(address, "ask", body, timeout_s))

    async def submit_to_leader(
        self, address: str, operation: Operation, timeout_s: float
    ) -> LeaseResponse | None:
        """Submit to the dispatcher at this address, then to the leader that it names.

        Returns None if no leader has responded.
        """
        with contextlib.suppress(*CALL_ERRORS):
            for _ in range(MAX_REDIRECTS):
                reply = await self.submit(address, operation, timeout_s)
                leader_address = address_of(reply.leader)
                if reply.response is not None or leader_address in ("", address):
                    return reply.response
                address = leader_address
        return None

    async def start_new_epoch(self, address: str, *, force: bool, timeout_s: float) -> str:
        """Start a new epoch at the dispatcher at this address and return its number.

        `force` starts it even if there is a leader. Raises one of CALL_ERRORS.
        """
        body = fleet_codec.FORCE_NEW_EPOCH if force else b""
        return (await self._post(address, "found", body, timeout_s)).decode()

    async def view(self, address: str, timeout_s: float) -> FleetView:
        """Return the state that the dispatcher at this address knows. Raises one of CALL_ERRORS."""
        return fleet_codec.decode_view(await self._call("GET", address, "view", b"", timeout_s))

    async def _post(self, address: str, call: str, body: bytes, timeout_s: float) -> bytes:
        return await self._call("POST", address, call, body, timeout_s)

    async def _call(self, method: str, address: str, call: str, body: bytes, timeout_s: float) -> bytes:
        if self._session is None:
            self._session = self._open_session()
        url = URL(f"http://{address}/fleet/{call}", encoded=True)
        async with (
            asyncio.timeout(timeout_s),
            self._session.request(method, url, data=body, allow_redirects=False) as response,
        ):
            content = await response.read()
            if response.status >= 300:
                reason = content[:MAX_ERROR_TEXT_BYTES].decode(errors="replace").strip()
                raise CallRejectedError(f"{address}: {response.status}: {reason}")
            return content

    def _open_session(self) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=0, use_dns_cache=False, keepalive_timeout=KEEPALIVE_S, local_addr=self._local_address
        )
        return open_session(connector, aiohttp.ClientTimeout(total=None), auto_decompress=False)

    async def close(self) -> None:
        """Stop sending and close all connections."""
        for task in list(self._senders.values()):
            task.cancel()
        await asyncio.gather(*self._senders.values(), return_exceptions=True)
        if self._session is not None:
            with contextlib.suppress(OSError):
                await self._session.close()
