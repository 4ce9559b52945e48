"""Which heads of HTTP responses are valid, by RFC 9110 and RFC 9112."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hazelbend.protocol.http_response_head import MalformedHeadError, ResponseHead, check_head

VALID_HEAD = ResponseHead((1, 1), 200, "OK", ((b"Request-Id", b"q1"),), is_chunked=False)
TOKEN_CHARACTERS = b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
CONTROL_BYTES = bytes(byte for byte in (*range(0x20), 0x7F) if byte != ord("\t"))


@pytest.mark.parametrize("status", [100, 102, 199, 200, 299, 300, 399, 418, 499, 500, 599])
def test_status_of_a_class_is_valid(status):
    check_head(replace(VALID_HEAD, status=status))


@pytest.mark.parametrize("status", [0, 1, 99, 101, 600, 999])
def test_status_of_no_class_and_an_unrequested_upgrade_are_rejected(status):
    with pytest.raises(MalformedHeadError, match=f"status {status:03}"):
        check_head(replace(VALID_HEAD, status=status))


@pytest.mark.parametrize("version", [(0, 9), (2, 0), (3, 7)])
def test_other_versions_are_rejected(version):
    check_head(replace(VALID_HEAD, version=(1, 0)))
    with pytest.raises(MalformedHeadError):
        check_head(replace(VALID_HEAD, version=version))


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


def head_with(*fields: tuple[bytes, bytes], is_chunked: bool = True) -> ResponseHead:
    return replace(VALID_HEAD, fields=fields, is_chunked=is_chunked)


@pytest.mark.parametrize("coding", [b"chunked", b"Chunked", b" chunked\t", b", chunked ,"])
def test_chunked_coding_is_valid(coding):
    check_head(head_with((b"TRANSFER-ENCODING", coding)))


@pytest.mark.parametrize(
    "coding",
    [b"", b"gzip", b"identity", b"xchunked", b"gzip, chunked", b"chunked, gzip", b"chunked, chunked",
     b"chunked;q=1", b"chunked x"],
)  # fmt: skip
def test_other_transfer_codings_are_rejected(coding):
    with pytest.raises(MalformedHeadError):
        check_head(head_with((b"Transfer-Encoding", coding)))


def test_chunked_coding_that_the_parser_has_not_seen_is_rejected():
    with pytest.raises(MalformedHeadError):
        check_head(head_with((b"Transfer-Encoding", b"chunked,"), is_chunked=False))


def test_transfer_codings_in_several_fields_are_one_list():
    chunked = (b"Transfer-Encoding", b"chunked")
    for other in (b"gzip", b"chunked"):
        with pytest.raises(MalformedHeadError):
            check_head(head_with((b"transfer-encoding", other), chunked))


def test_transfer_coding_beside_a_length_or_in_an_older_version_is_rejected():
    chunked = head_with((b"Transfer-Encoding", b"chunked"))
    for head in (
        replace(chunked, version=(1, 0)),
        replace(chunked, fields=(*chunked.fields, (b"Content-Length", b"2"))),
    ):
        with pytest.raises(MalformedHeadError):
            check_head(head)


@pytest.mark.parametrize("length", [b"0", b"00", b"002", b"9223372036854775807", b"0" * 5_000 + b"7"])
def test_length_is_valid_also_if_it_is_repeated(length):
    check_head(head_with((b"Content-Length", length), (b"content-length", length), is_chunked=False))


@pytest.mark.parametrize(
    "length",
    [
        b"",
        b"+2",
        b"-2",
        b"2 2",
        b"2, 2",
        b"0x2",
        b"2_0",
        b"\xd9\xa2",
        b"9223372036854775808",
        b"18446744073709551615",
        b"9" * 5_000,
    ],
)
def test_length_that_is_no_number_or_too_large_is_rejected(length):
    with pytest.raises(MalformedHeadError):
        check_head(head_with((b"Content-Length", length), is_chunked=False))


def test_different_lengths_are_rejected():
    with pytest.raises(MalformedHeadError):
        check_head(head_with((b"Content-Length", b"2"), (b"Content-Length", b"1"), is_chunked=False))
