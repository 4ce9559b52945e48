"""Which heads of HTTP responses are valid, by RFC 9110 and RFC 9112."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hazelbend.protocol.http_response_head import MalformedHeadError, ResponseHead, check_head

VALID_HEAD = ResponseHead(200, "OK", ((b"Request-Id", b"q1"),))
TOKEN_CHARACTERS = b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
CONTROL_BYTES = bytes(byte for byte in (*range(0x20), 0x7F) if byte != ord("\t"))


@pytest.mark.parametrize("status", [100, 102, 199, 200, 299, 300, 399, 418, 499, 500, 599])
def test_status_of_a_class_is_valid(status):
    check_head(replace(VALID_HEAD, status=status))


@pytest.mark.parametrize("status", [0, 1, 99, 101, 600, 999])
def test_status_of_no_class_and_an_unrequested_upgrade_are_rejected(status):
    with pytest.raises(MalformedHeadError, match=f"status {status:03}"):
        check_head(replace(VALID_HEAD, status=status))


@pytest.mark.parametrize("reason", ["", "OK", "a\tb c", "\udcff", "ö", "~!"])
def test_reason_of_allowed_characters_is_valid(reason):
    check_head(replace(VALID_HEAD, reason=reason))


@pytest.mark.parametrize("value", [b"", b"a\tb c", b"\x80\xff", "ö".encode(), bytes(range(0x21, 0x7F))])
def test_value_of_allowed_bytes_is_valid(value):
    check_head(replace(VALID_HEAD, fields=((TOKEN_CHARACTERS, value),)))


@pytest.mark.parametrize("byte", CONTROL_BYTES)
def test_control_bytes_are_rejected_everywhere(byte):
    text = b"a%cb" % byte
    for head in (
        replace(VALID_HEAD, reason=text.decode()),
        replace(VALID_HEAD, fields=((b"A", text),)),
        replace(VALID_HEAD, fields=((text, b"a"),)),
    ):
        with pytest.raises(MalformedHeadError):
            check_head(head)


@pytest.mark.parametrize("byte", sorted(set(range(0x100)) - set(TOKEN_CHARACTERS)))
def test_name_that_is_not_a_token_is_rejected(byte):
    for name in (b"%c" % byte, b"a%c" % byte, b"%ca" % byte, b"a%cb" % byte):
        with pytest.raises(MalformedHeadError):
            check_head(replace(VALID_HEAD, fields=((name, b"a"),)))


def test_field_without_a_name_is_rejected():
    with pytest.raises(MalformedHeadError):
        check_head(replace(VALID_HEAD, fields=((b"", b"a"),)))
