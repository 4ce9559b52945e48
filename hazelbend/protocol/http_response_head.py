"""Checks the head of an HTTP/1.1 response as the parser hands it on: RFC 9110 and RFC 9112.

A parser may accept more than the grammar allows. Bytes that are not a valid head are not a response: nothing
in them may be acted on or forwarded, and nothing that follows them on the connection can be trusted.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from http import HTTPStatus

MAJOR_VERSION = 1
MIN_STATUS = 100  # the classes of statuses are 1xx to 5xx (RFC 9110, section 15)
MAX_STATUS = 599
FIELD_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")  # a token (RFC 9110, section 5.6.2)
# In values and reasons, a tab, a blank, printable characters and bytes over 127 are allowed (section 5.5).
CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
CONTROL_BYTE = re.compile(CONTROL_CHARACTER.pattern.encode())
LENGTH = re.compile(rb"0*([0-9]{1,19})")  # up to the digits of `MAX_LENGTH_BYTES`
MAX_LENGTH_BYTES = 2**63 - 1  # the parser in C takes 2**64 - 1 for no length
CHUNKED_VERSION = (1, 1)  # the first one that has transfer codings
BLANKS = b" \t"


class MalformedHeadError(ValueError):
    """The head of a response is not valid. The text is the reason, without bytes of the head."""


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """The head of a response, in the parts that a parser returns."""

    version: tuple[int, int]
    status: int
    reason: str
    fields: tuple[tuple[bytes, bytes], ...]  # names and values, in the order of the head
    is_chunked: bool  # how the parser reads the body


def check_head(head: ResponseHead) -> None:
    """Check that a head is a valid one, interim or final.

    It must answer a request without an upgrade, and without a TE field that offers other transfer codings.

    Raises:
        MalformedHeadError: it is not.
    """
    if head.version[0] != MAJOR_VERSION:
        raise MalformedHeadError("another version than HTTP/1")
    _check_status(head.status)
    if CONTROL_CHARACTER.search(head.reason):
        raise MalformedHeadError("a control byte in the reason")
    _check_fields(head.fields)
    _check_framing(head)


def _check_status(status: int) -> None:
    """A status outside the five classes is invalid; 101 answers a request for an upgrade only."""
    if not MIN_STATUS <= status <= MAX_STATUS:
        raise MalformedHeadError(f"status {status:03} is in no class")
    if status == HTTPStatus.SWITCHING_PROTOCOLS:
        raise MalformedHeadError("status 101, but no upgrade was requested")


def _check_fields(fields: tuple[tuple[bytes, bytes], ...]) -> None:
    for name, value in fields:
        if not FIELD_NAME.fullmatch(name):
            raise MalformedHeadError("the name of a field is not a token")
        if CONTROL_BYTE.search(value):
            raise MalformedHeadError(f"a control byte in the value of {name.decode()}")


def _check_framing(head: ResponseHead) -> None:
    """Check that the end of the body is certain (RFC 9112, section 6)."""
    lengths = _values(head, b"content-length")
    codings = _values(head, b"transfer-encoding")
    if codings:
        if lengths or head.version < CHUNKED_VERSION:
            raise MalformedHeadError("a transfer coding beside a length, or in HTTP/1.0")
        _check_codings(codings, is_chunked=head.is_chunked)
    if len(set(lengths)) > 1:
        raise MalformedHeadError("several lengths")
    for length in lengths:
        number = LENGTH.fullmatch(length)
        if number is None or int(number[1]) > MAX_LENGTH_BYTES:
            raise MalformedHeadError("the length is not a number, or too large")


def _check_codings(values: list[bytes], *, is_chunked: bool) -> None:
    """Check that chunked is the only transfer coding: a body in another one would stay encoded."""
    elements = [element.strip(BLANKS).lower() for element in b",".join(values).split(b",")]
    if [element for element in elements if element] != [b"chunked"]:
        raise MalformedHeadError("another transfer coding than chunked")
    if not is_chunked:
        raise MalformedHeadError("the parser does not take the body for chunked")


def _values(head: ResponseHead, name: bytes) -> list[bytes]:
    """The values of all fields of a name, which is in lower case."""
    return [value for field_name, value in head.fields if field_name.lower() == name]
