"""Checks the head of an HTTP/1.1 response as the parser hands it on: RFC 9110 and RFC 9112.

A parser may accept more than the grammar allows. Bytes that are not a valid head are not a response: nothing
in them may be acted on or forwarded, and nothing that follows them on the connection can be trusted.
"""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

MIN_STATUS = 100  # the classes of statuses are 1xx to 5xx (RFC 9110, section 15)
MAX_STATUS = 599


class MalformedHeadError(ValueError):
    """The head of a response is not valid. The text says why, without bytes of the head."""


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """The head of a response, in the parts that a parser returns."""

    status: int


def check_head(head: ResponseHead) -> None:
    """Check that a head, interim or final, is a valid one to a request that did not ask for an upgrade.

    Raises:
        MalformedHeadError: it is not.
    """
    _check_status(head.status)


def _check_status(status: int) -> None:
    """A status outside the five classes is invalid; 101 answers a request for an upgrade only."""
    if not MIN_STATUS <= status <= MAX_STATUS:
        raise MalformedHeadError(f"status {status:03} is in no class")
    if status == HTTPStatus.SWITCHING_PROTOCOLS:
        raise MalformedHeadError("status 101, but no upgrade was requested")
