"""Orders to workers over HTTP, by httpcore: each is sent once."""

from __future__ import annotations

import asyncio
from enum import Enum

import httpcore
import msgspec

ORDER_WAIT = 1.0  # seconds


class OrderResult(Enum):
    """What became of an order."""

    TAKEN = "taken"
    REFUSED = "refused"
    UNKNOWN = "unknown"  # no answer: it may have been taken


class Order(msgspec.Struct, frozen=True, rename="camel"):
    """The body of `POST /order`."""

    op: str
    phase: str
    holder: str
    fence_token: int


async def send_order(address: str, instance: str, order: Order) -> OrderResult:
    """Give a worker an order, if it is still this instance that has the address."""
    async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
        try:
            async with asyncio.timeout(ORDER_WAIT):
                response = await pool.request(
                    "POST",
                    f"http://{address}/order",
                    headers={"Content-Type": "application/json", "Expect-Instance": instance},
                    content=msgspec.json.encode(order),
                )
        except (TimeoutError, OSError, httpcore.ConnectError):
            return OrderResult.UNKNOWN
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return OrderResult.UNKNOWN
    return OrderResult.TAKEN if response.status in (200, 202) else OrderResult.REFUSED
