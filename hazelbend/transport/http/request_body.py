"""Reads the body of a client's request, up to a limit."""

from __future__ import annotations

from aiohttp import http_exceptions, web
from aiohttp.web_protocol import RequestPayloadError

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestBodyError(Exception):
    """The body cannot be accepted."""


class BodyTooLargeError(RequestBodyError):
    """It is larger than the limit."""


class MalformedBodyError(RequestBodyError):
    """It does not match its head: too short, or its chunks or its encoding are invalid."""


async def read_body(request: web.BaseRequest, limit_bytes: int) -> bytes:
    """Return the complete body, after `100 Continue` where the client expects it (RFC 9110, 10.1.1).

    Raises:
        BodyTooLargeError: it is larger than the limit.
        MalformedBodyError: it does not match its head.
    """
    if (request.content_length or 0) > limit_bytes:
        raise BodyTooLargeError("the body is too large")
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(CONTINUE_RESPONSE)
        request.writer.output_size = 0  # aiohttp takes what was written for the start of the final response
    body = bytearray()
    try:
        while chunk := await request.content.readany():
            body += chunk
            if len(body) > limit_bytes:
                raise BodyTooLargeError("the body is too large")
    except (RequestPayloadError, http_exceptions.HttpProcessingError):
        raise MalformedBodyError("the body is not as its head says") from None
    return bytes(body)
