"""Reads the body of a client's request, up to a limit."""

from __future__ import annotations

from aiohttp import http_exceptions, web
from aiohttp.web_protocol import RequestPayloadError

from hazelbend.transport.http.client_connection import ClientConnection, ConnectionEndedError

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestBodyError(Exception):
    """The body cannot be accepted."""


class BodyTooLargeError(RequestBodyError):
    """The body is larger than the limit."""


class MalformedBodyError(RequestBodyError):
    """The body does not match its headers: it is too short, or its chunks or its encoding are invalid."""


async def read_body(request: web.BaseRequest, limit_bytes: int) -> bytes:
    """Return the complete body, after sending `100 Continue` if the client expects it (RFC 9110, 10.1.1).

    Raises:
        BodyTooLargeError: the body is larger than the limit.
        MalformedBodyError: the body does not match its headers.
        ConnectionEndedError: its connection was closed meanwhile.
    """
    connection = request.protocol
    assert isinstance(connection, ClientConnection)
    if (request.content_length or 0) > limit_bytes:
        raise BodyTooLargeError("the body is too large")
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(CONTINUE_RESPONSE)
        request.writer.output_size = 0  # else aiohttp counts these bytes as the start of the final response
    body = bytearray()
    try:
        while chunk := await request.content.readany():
            body += chunk
            connection.body_read(len(body))
            if len(body) > limit_bytes:
                raise BodyTooLargeError("the body is too large")
    except ConnectionEndedError:
        body.clear()  # the exception, which the connection keeps, refers to this frame
        raise
    except (RequestPayloadError, http_exceptions.HttpProcessingError):
        raise MalformedBodyError("the body is not as its head says") from None
    return bytes(body)
