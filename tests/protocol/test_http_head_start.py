"""How the heads of responses may begin, in parts that are cut anywhere."""

from __future__ import annotations

import pytest

from hazelbend.protocol.http_head_start import HeadStartChecker
from hazelbend.protocol.http_response_head import MalformedHeadError

VALID = {
    "a field": b"HTTP/1.1 200 OK\r\nA: b\r\n\r\n",
    "no field": b"HTTP/1.1 200 OK\r\n\r\n",
    "LF": b"HTTP/1.0 200\n\n",
    "a body that looks otherwise": b"HTTP/1.1 200 OK\r\nA: b\r\n\r\n\n \n RTSP/1.0",
    "empty lines": b"\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n",
    "a folded value": b"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n",
    "interim": b"HTTP/1.1 103 A\r\nB: c\r\n d\r\n\r\nHTTP/1.1 100\n\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n",
}
MALFORMED = {
    "another protocol": b"RTSP/1.0 200 OK\r\n",
    "another version": b"HTTP/2.0 200 OK\r\n",
    "a blank at the start": b" HTTP/1.1 200 OK\r\n",
    "a blank": b"HTTP/1.1 200 OK\r\n A: b\r\n",
    "a tab": b"HTTP/1.1 200 OK\r\n\tA: b\r\n",
    "a blank after LF": b"HTTP/1.1 200 OK\n A: b\r\n",
    "a blank line": b"HTTP/1.1 200 OK\r\n \r\n",
    "a blank in an interim head": b"HTTP/1.1 103 A\r\n B: c\r\n",
    "a blank after an interim head": b"HTTP/1.1 103 A\r\nB: c\r\n\r\nHTTP/1.1 200 OK\r\n A: b\r\n",
    "a blank after an empty interim head": b"HTTP/1.1 103 A\r\n\r\nHTTP/1.1 200 OK\r\n A: b\r\n",
    "another protocol after an interim head": b"HTTP/1.1 103 A\n\nRTSP/1.0 200 OK\r\n",
}


def parts_of(data: bytes) -> list[list[bytes]]:
    """The data as a whole, byte by byte, and cut once at each place."""
    cut_once = [[data[:place], data[place:]] for place in range(1, len(data))]
    return [[data], [data[place : place + 1] for place in range(len(data))], *cut_once]


@pytest.mark.parametrize("head", VALID.values(), ids=VALID.keys())
def test_valid_start_is_accepted_in_any_parts(head):
    for parts in parts_of(head):
        checker = HeadStartChecker()
        for part in parts:
            checker.feed(part)


@pytest.mark.parametrize("head", MALFORMED.values(), ids=MALFORMED.keys())
def test_malformed_start_is_rejected_in_any_parts(head):
    for parts in parts_of(head):
        checker = HeadStartChecker()
        with pytest.raises(MalformedHeadError):
            for part in parts:
                checker.feed(part)


def test_nothing_is_kept_of_a_long_interim_head_but_its_end():
    checker = HeadStartChecker()
    checker.feed(b"HTTP/1.1 103 A\r\n")
    for _ in range(1_000):
        checker.feed(b"A: b\r\n" * 100)
    assert len(checker._unchecked) <= 2
