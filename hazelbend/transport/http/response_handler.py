"""The receiving side of a client connection, based on aiohttp's handler and on its private attributes."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

from hazelbend.protocol.http_head_start import HeadStartChecker
from hazelbend.protocol.http_response_head import MalformedHeadError, ResponseHead, check_head


class MalformedResponseError(aiohttp.ClientError):
    """What was received is not an HTTP response, although the parser accepts it."""


class StrictResponseHandler(ResponseHandler):
    """A connection that is stricter than aiohttp's about what is a response, and which bytes belong to it.

    A head that is not valid HTTP is not passed on: it ends the connection with `MalformedResponseError`.

    A reset never completes a response that has no length. aiohttp treats such a response as complete however
    its connection was lost; only a FIN may end it (RFC 9112, section 8).

    A body whose framing is broken fails at once. aiohttp closes the connection, and lets the reader wait.

    Bytes that arrive while no response is due belong to no request, and the connection is not used again.
    aiohttp notices that only if they are a complete head.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.local_port = 0
        self.requests_written = 0
        self._awaits_head = False
        self._head_start = HeadStartChecker()
        self._is_malformed = False  # nothing more is passed on

    @property
    def is_response_due(self) -> bool:
        """Whether the response to the last request has not arrived completely."""
        return self._awaits_head or (self._payload is not None and not self._payload.is_eof())

    def set_response_params(self, **parameters: Any) -> None:
        """Prepare for the response to the next request, which is about to be written."""
        self._awaits_head = True
        self._head_start = HeadStartChecker()
        super().set_response_params(**parameters)

    def data_received(self, data: bytes) -> None:
        """Parse what was received; an empty `data` resumes the parser."""
        if data and not self.is_response_due:
            self.force_close()
        if self._awaits_head:
            try:
                self._head_start.feed(data)
            except MalformedHeadError as error:
                self._reject(error)
        if not self._is_malformed:
            super().data_received(data)
            self._fail_malformed_body()

    def _fail_malformed_body(self) -> None:
        """Fail the body if the parser has rejected a part of it: aiohttp fails only the next head."""
        error, payload = self._exception, self._payload
        if error is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"malformed body: {error!r}"))

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Pass on the head of a response, if it is valid."""
        if self._is_malformed:
            return
        try:
            check_head(_response_head(data[0]))
        except MalformedHeadError as error:
            self._reject(error)
            return
        if data[0].code >= HTTPStatus.OK:  # not an interim response
            self._awaits_head = False
        super().feed_data(data, size)

    def _reject(self, error: MalformedHeadError) -> None:
        """Close the connection: the request that awaits its response fails."""
        self._is_malformed = True
        if self.transport is not None:
            self.transport.close()
        self.set_exception(MalformedResponseError(str(error)))  # it is not kept for other requests either

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the local port of the connection."""
        super().connection_made(transport)
        self.local_port = (transport.get_extra_info("sockname") or (None, 0))[1]

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an unfinished response if the connection was reset; `exc` is None after a FIN of the peer."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f"connection reset before the end of the response: {exc!r}")
            )
        super().connection_lost(exc)


def _response_head(message: RawResponseMessage) -> ResponseHead:
    return ResponseHead(
        version=(message.version.major, message.version.minor),
        status=message.code,
        reason=message.reason,
        fields=message.raw_headers,
        is_chunked=bool(message.chunked),
    )
