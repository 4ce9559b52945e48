"""The DNS codec: any bytes give a query result or a MismatchError, and no other exception."""

import contextlib

import dns.flags
import dns.message
import dns.name
import dns.rrset
from hypothesis import given
from hypothesis import strategies as st

from hazelbend.dns_discovery.answers import (
    NegativeAnswer,
    PositiveAnswer,
    QueryFailure,
    Question,
    RecordType,
    TruncatedAnswer,
)
from hazelbend.protocol.dns import MismatchError, decode_answer, encode_query
from tests.support.parser_kit import SEEDS, malformed_bytes
from tests.support.srv_kit import SRV_NAME

QUESTION = Question(SRV_NAME, RecordType.SRV)


def encode_answer(*records, query_id=7, case_bits=0, additional=(), flags="QR AA", question=QUESTION):
    """Return the bytes of an answer, and the name in the query."""
    data, queried_name = encode_query(question.name, question.record_type, query_id, case_bits, edns=True)
    response = dns.message.make_response(dns.message.from_wire(data))
    response.flags = dns.flags.from_text(flags)
    for owner, ttl, record_type, *texts in records:
        response.answer.append(dns.rrset.from_text(owner, ttl, "IN", record_type, *texts))
    for owner, ttl, record_type, *texts in additional:
        response.additional.append(dns.rrset.from_text(owner, ttl, "IN", record_type, *texts))
    return response.to_wire(), queried_name


def decode(data, queried_name, question=QUESTION, over_tcp=False):
    return decode_answer(data, 7, queried_name, question, over_tcp=over_tcp)


SRV = (f"{SRV_NAME}.", 30, "SRV", "0 1 7101 a.konya-1.example.org.", "5 2 7102 b.else.example.")


def test_additional_addresses_are_accepted_only_in_bailiwick():
    additional = [("a.konya-1.example.org.", 60, "A", "127.0.0.1"), ("b.else.example.", 60, "A", "127.0.0.9"),
                  ("c.konya-1.example.org.", 60, "A", "127.0.0.8")]  # fmt: skip
    result = decode(*encode_answer(SRV, additional=additional))
    assert result.ttl_s == 30 and len(result.records) == 2
    assert set(result.additional) == {Question("a.konya-1.example.org", RecordType.A)}


def test_ttl_is_the_lowest_along_a_cname_chain():
    records = [(f"{SRV_NAME}.", 10, "CNAME", "x.example."), ("x.example.", 30, "SRV", "0 1 7101 a.example.")]
    assert decode(*encode_answer(*records)).ttl_s == 10


def test_cname_loops_and_long_cname_chains_are_failures():
    loop = [("x.example.", 30, "CNAME", f"{SRV_NAME}."), (f"{SRV_NAME}.", 30, "CNAME", "x.example.")]
    assert "loop" in decode(*encode_answer(*loop)).reason
    chain = [(f"n{number}.", 30, "CNAME", f"n{number + 1}.") for number in range(20)]
    assert "over the bound" in decode(*encode_answer((f"{SRV_NAME}.", 30, "CNAME", "n0."), *chain)).reason


def test_srv_record_with_the_root_as_target_is_a_negative_answer():
    assert isinstance(decode(*encode_answer((f"{SRV_NAME}.", 30, "SRV", "0 0 0 ."))), NegativeAnswer)


def test_answer_must_repeat_the_mixed_case_of_the_query():
    data, queried_name = encode_answer(SRV, case_bits=0b1011010101)
    assert queried_name.to_text() != queried_name.to_text().lower() and isinstance(
        decode(data, queried_name), PositiveAnswer
    )
    try:
        decode(data, dns.name.from_text(SRV_NAME))
    except MismatchError as error:
        assert "case" in str(error)
    else:
        raise AssertionError


def test_query_is_not_accepted_as_an_answer():
    data, queried_name = encode_query(SRV_NAME, RecordType.SRV, 7, 0, edns=True)
    try:
        decode(data, queried_name)
    except MismatchError:
        return
    raise AssertionError


RESULT_TYPES = (PositiveAnswer, NegativeAnswer, QueryFailure, TruncatedAnswer)


def check_result_or_mismatch(data, queried_name, over_tcp):
    with contextlib.suppress(MismatchError):
        assert isinstance(decode(data, queried_name, over_tcp=over_tcp), RESULT_TYPES)


@given(SEEDS, st.booleans())
def test_garbage_gives_a_result_or_a_mismatch(seed, over_tcp):
    data, queried_name = encode_answer(SRV, additional=[("a.konya-1.example.org.", 60, "A", "127.0.0.1")])
    check_result_or_mismatch(malformed_bytes(data, seed), queried_name, over_tcp)
    check_result_or_mismatch(data[:4] + malformed_bytes(data[4:], seed), queried_name, over_tcp)


@given(st.integers(0, 400), st.integers(0, 400), st.integers(0, 255))
def test_truncated_or_corrupted_message_gives_a_result_or_a_mismatch(length, offset, byte):
    data, queried_name = encode_answer(SRV, additional=[("a.konya-1.example.org.", 60, "A", "127.0.0.1")])
    check_result_or_mismatch(data[: length % len(data)], queried_name, False)
    offset %= len(data)
    check_result_or_mismatch(data[:offset] + bytes([byte]) + data[offset + 1 :], queried_name, False)
