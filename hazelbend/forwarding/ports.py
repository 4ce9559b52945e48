"""The interface between the forwarder and its transports: values, and the Protocols to implement."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Protocol, TypeAlias

Headers: TypeAlias = tuple[tuple[str, str], ...]
BeforeFirstByte: TypeAlias = Callable[[], int | None]
"""Called in the iteration of the event loop in which a request can be written. It returns the microseconds
that remain for the request, or None if it must not be sent any more."""


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """A complete request of a client. Times are in microseconds."""

    id: str
    method: str
    target: str  # path and query, unchanged
    host: str
    headers: Headers  # only those that are forwarded
    body: bytes
    arrived_at: int
    timeout_us: int | None  # how long the client waits; None: unknown
    token_usage: str | None = None
    prefix_hash: str | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(slots=True, frozen=True)
class WorkerCall:
    """A request to one worker.

    `used_connections` are those on which this request was written before, in calls to any worker. The client
    adds the connection of this call, and does not write the request on any of them again: a response is
    matched to a request by its id, so a late response to an earlier call could be matched to this one.
    """

    address: str
    request: ClientRequest
    extra_headers: Headers
    used_connections: set[object] = field(default_factory=set)


@dataclass(slots=True, frozen=True)
class ConnectionUse:
    """The use of a connection by one request."""

    local_port: int  # identifies the connection in logs; 0: unknown
    earlier_requests: int  # requests that were written on it before this one


UNKNOWN_CONNECTION = ConnectionUse(0, 0)


class WorkerResponse(Protocol):
    """The head of a worker's response, and access to its body."""

    status: int
    reason: str  # the reason phrase of the status line
    headers: Headers
    not_executed: bool  # the worker guarantees that it has not executed the request and will not
    reported_in_flight: int | None  # requests that the worker reports as running or queued
    body_bytes: int | None  # the size of the body, if the worker tells it
    connection: ConnectionUse

    def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the body as it arrives.

        Raises:
            ResponseBrokenError: the body ended prematurely.
        """

    async def body(self) -> bytes:
        """Return the complete body.

        Raises:
            ResponseBrokenError: the body ended prematurely.
        """

    def close(self) -> None:
        """Release the response; its connection is closed unless the body was read to the end."""


class WorkerClient(Protocol):
    """Sends requests to workers."""

    async def send(self, call: WorkerCall, before_first_byte: BeforeFirstByte) -> WorkerResponse:
        """Connect, call `before_first_byte`, write the request, and read the head of the response.

        Raises:
            NotSentError: the worker has not executed the request.
            OutcomeUnknownError: the worker may have executed it.
        """

    async def free_handle(self, address: str, instance: str, handle: str) -> None:
        """Free the KV cache that a worker keeps under a handle; failures are ignored."""


class ClientResponse(Protocol):
    """The response to the client."""

    async def allocate(self, size: int) -> None:
        """Wait until the process has room for `size` more bytes of a response that is sent at once."""

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send the complete response at once."""

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed response."""

    async def write(self, data: bytes) -> None:
        """Send more of the body."""

    async def finish(self) -> None:
        """End the body: the response is complete."""

    def abort(self) -> None:
        """End the response in a way that shows the client that it is incomplete."""
