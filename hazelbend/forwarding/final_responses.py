"""The final responses that the router creates itself, where no worker's response is forwarded."""

from __future__ import annotations

from http import HTTPStatus

from hazelbend.forwarding.ports import ClientResponse

RETRY_AFTER_S = 0.25  # default
RETRY_AFTER_STARTING_S = 0.5  # while the router has no configuration
BODIES = {
    HTTPStatus.NOT_FOUND: b"no such route\n",
    HTTPStatus.BAD_GATEWAY: b"a worker failed\n",
    HTTPStatus.SERVICE_UNAVAILABLE: b"refused\n",
    HTTPStatus.GATEWAY_TIMEOUT: b"too late\n",
}


async def reject(client_response: ClientResponse, retry_after_s: float = RETRY_AFTER_S) -> None:
    """Respond 503 with `Retry-After` (RFC 9110, section 10.2.3): the request was not executed.

    The value is a fraction of a second. The RFC allows whole seconds only, but the clients' protocol allows
    fractions, and a whole second is up to four times as long as the time until a retry may be served.
    """
    status = HTTPStatus.SERVICE_UNAVAILABLE
    await client_response.answer(status, (("Retry-After", f"{retry_after_s:.3f}"),), BODIES[status])


async def fail(client_response: ClientResponse, status: HTTPStatus) -> None:
    """Respond with an error that says nothing about a retry."""
    await client_response.answer(status, (), BODIES[status])
