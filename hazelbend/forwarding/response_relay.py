"""Relays a worker's response to the client: as a whole once it is complete, or as a stream of events."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from http import HTTPStatus

from hazelbend.forwarding.errors import InvalidResponseError, ResponseBrokenError
from hazelbend.forwarding.event_stream import MAX_EVENT_END_BYTES, EventSplitter, ends_inside_event
from hazelbend.forwarding.first_byte_timeout import FirstByteTimeout
from hazelbend.forwarding.fleet_state import FleetState
from hazelbend.forwarding.ports import ClientResponse, WorkerResponse
from hazelbend.forwarding.request_context import RequestContext
from hazelbend.placement.choices import Attempt

SIGNATURE_HEADER = "server-signature"
ENCODING_HEADER = "content-encoding"
# These statuses tell a client that its request was not executed and will not be. Only the router sends them.
NOT_EXECUTED_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


class ResponseRelay:
    """Checks a response and relays it. Times are in microseconds."""

    def __init__(self, fleet: FleetState, clock: Callable[[], int]) -> None:
        self._fleet = fleet
        self._clock = clock

    async def relay(
        self,
        context: RequestContext,
        attempt: Attempt,
        worker_response: WorkerResponse,
        client_response: ClientResponse,
        timeout: FirstByteTimeout,
    ) -> None:
        """Relay the response to the client.

        Raises:
            InvalidResponseError: the response must not be forwarded.
            ResponseBrokenError: the response ended prematurely.
        """
        status = worker_response.status
        is_success = 200 <= status < 300
        if is_success and not _is_genuine(worker_response):
            raise InvalidResponseError("successful response without signature or with a content encoding")
        if is_success and context.route.is_stream:
            chunks = await self._begin_stream(context, attempt, worker_response, client_response, timeout)
            if context.route.resume:
                await _copy_events(context, chunks, client_response)
            else:
                await _copy_chunks(chunks, client_response)
            await client_response.finish()
            return
        if context.response_started:
            raise InvalidResponseError("not a stream, although the head of one was sent to the client")
        if status in NOT_EXECUTED_STATUSES:
            raise InvalidResponseError("the status says not executed, but the worker does not confirm that")
        timeout.response_started()
        body = await _read_body(worker_response, client_response)
        await client_response.answer(status, worker_response.headers, body)

    async def _begin_stream(
        self,
        context: RequestContext,
        attempt: Attempt,
        worker_response: WorkerResponse,
        client_response: ClientResponse,
        timeout: FirstByteTimeout,
    ) -> AsyncIterator[bytes]:
        """Send the head unless that was done for an earlier worker; return the chunks of the body."""

        def on_first_chunk() -> None:
            timeout.response_started()
            self._record_first_event(attempt)

        if not context.response_started:
            context.response_started = True
            await client_response.begin(worker_response.status, worker_response.headers)
        return _notify_first(worker_response.chunks(), on_first_chunk)

    def _record_first_event(self, attempt: Attempt) -> None:
        placement = self._fleet.placement
        now = self._clock()
        if attempt.prefill_units:  # the worker has prefilled the prompt itself
            placement.observe_prefill(attempt, now)
            placement.end_prefill(attempt)
        else:
            placement.observe_first_event(attempt, now)


async def _read_body(worker_response: WorkerResponse, client_response: ClientResponse) -> bytes:
    """Return the complete body of a worker's response, read only as there is room for it."""
    if worker_response.body_bytes is not None:
        await client_response.allocate(worker_response.body_bytes)
        return await worker_response.body()
    chunks = []
    async for chunk in worker_response.chunks():
        await client_response.allocate(len(chunk))
        chunks.append(chunk)
    return b"".join(chunks)


async def _copy_chunks(chunks: AsyncIterator[bytes], client_response: ClientResponse) -> None:
    """Forward chunks as they arrive, even if they end within an event."""
    tail = b""
    async for chunk in chunks:
        await client_response.write(chunk)
        tail = (tail + chunk)[-MAX_EVENT_END_BYTES:]
    if ends_inside_event(tail):
        raise ResponseBrokenError("the stream ends inside an event")


async def _copy_events(
    context: RequestContext, chunks: AsyncIterator[bytes], client_response: ClientResponse
) -> None:
    """Forward complete events only, so that another worker can resume the stream after any of them."""
    if context.event_splitter is None:
        context.event_splitter = EventSplitter()
    splitter = context.event_splitter
    splitter.discard_partial_event()
    async for chunk in chunks:
        if complete_events := splitter.feed(chunk):
            await client_response.write(complete_events)
    if splitter.has_partial_event:
        raise ResponseBrokenError("the stream ends inside an event")


def _is_genuine(response: WorkerResponse) -> bool:
    """Whether a successful response has the worker's signature, and a body that was not re-encoded."""
    names = {name.lower() for name, _ in response.headers}
    return SIGNATURE_HEADER in names and ENCODING_HEADER not in names


async def _notify_first(chunks: AsyncIterator[bytes], on_first: Callable[[], None]) -> AsyncIterator[bytes]:
    """Yield the chunks unchanged; call `on_first` before the first one."""
    is_first = True
    async for chunk in chunks:
        if is_first:
            is_first = False
            on_first()
        yield chunk
