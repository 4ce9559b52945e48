"""Sends orders to workers over HTTP, by httpcore. An order is sent once and never retried."""

from __future__ import annotations

import asyncio
from enum import Enum

import httpcore
import msgspec

from hazelbend.protocol.http_response_head import MalformedHeadError, ResponseHead, check_head

ORDER_TIMEOUT_S = 1.0
_ACCEPTED_STATUSES = (200, 202)


class OrderResult(Enum):
    """The result of sending an order to a worker."""

    ACCEPTED = "taken"
    REJECTED = "refused"
    UNKNOWN = "unknown"  # no valid response: the worker may have accepted the order


class WorkerOrder(msgspec.Struct, frozen=True, rename="camel"):
    """The body of `POST /order`."""

    op: str
    phase: str
    holder: str
    fence_token: int


async def send_order(address: str, instance: str, order: WorkerOrder) -> OrderResult:
    """Send an order to a worker. The worker rejects it if another instance has the address by now."""
    async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                response = await pool.request(
                    "POST",
                    f"http://{address}/order",
                    headers={"Content-Type": "application/json", "Expect-Instance": instance},
                    content=msgspec.json.encode(order),
                )
            check_head(_head_of(response))
        except (
            MalformedHeadError,
            TimeoutError,
            OSError,
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            return OrderResult.UNKNOWN
    return OrderResult.ACCEPTED if response.status in _ACCEPTED_STATUSES else OrderResult.REJECTED


def _head_of(response: httpcore.Response) -> ResponseHead:
    """Return the head of a response. h11 has checked the framing: it reads no other coding than chunked."""
    version: bytes = response.extensions["http_version"]  # such as "HTTP/1.1"
    major, _, minor = version.rpartition(b"/")[2].partition(b".")
    reason: bytes = response.extensions["reason_phrase"]
    return ResponseHead(
        version=(int(major), int(minor)),
        status=response.status,
        reason=reason.decode("latin-1"),
        fields=tuple(response.headers),
        is_chunked=True,
    )
