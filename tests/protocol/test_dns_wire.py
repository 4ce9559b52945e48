"""The codec: any bytes are an answer, a mismatch or a failure; nothing else."""

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


def answer(*rows, number=7, case=0, extra=(), flags="QR AA", question=QUESTION):
    """The bytes of an answer, and what it answers."""
    data, asked = encode_query(question.name, question.record_type, number, case, edns=True)
    response = dns.message.make_response(dns.message.from_wire(data))
    response.flags = dns.flags.from_text(flags)
    for owner, ttl, kind, *texts in rows:
        response.answer.append(dns.rrset.from_text(owner, ttl, "IN", kind, *texts))
    for owner, ttl, kind, *texts in extra:
        response.additional.append(dns.rrset.from_text(owner, ttl, "IN", kind, *texts))
    return response.to_wire(), asked


def read(data, asked, question=QUESTION, tcp=False):
    return decode_answer(data, 7, asked, question, over_tcp=tcp)


SRV = (f"{SRV_NAME}.", 30, "SRV", "0 1 7101 a.konya-1.example.org.", "5 2 7102 b.else.example.")


def test_additional_addresses_are_accepted_only_in_bailiwick():
    extra = [("a.konya-1.example.org.", 60, "A", "127.0.0.1"), ("b.else.example.", 60, "A", "127.0.0.9"),
             ("c.konya-1.example.org.", 60, "A", "127.0.0.8")]  # fmt: skip
    result = read(*answer(SRV, extra=extra))
    assert result.ttl_s == 30 and len(result.records) == 2
    assert set(result.additional) == {Question("a.konya-1.example.org", RecordType.A)}


def test_the_ttl_is_the_least_along_a_cname_chain():
    rows = [(f"{SRV_NAME}.", 10, "CNAME", "x.example."), ("x.example.", 30, "SRV", "0 1 7101 a.example.")]
    assert read(*answer(*rows)).ttl_s == 10


def test_cname_chains_without_end_are_failures():
    loop = [("x.example.", 30, "CNAME", f"{SRV_NAME}."), (f"{SRV_NAME}.", 30, "CNAME", "x.example.")]
    assert "loop" in read(*answer(*loop)).reason
    chain = [(f"n{number}.", 30, "CNAME", f"n{number + 1}.") for number in range(20)]
    assert "over the bound" in read(*answer((f"{SRV_NAME}.", 30, "CNAME", "n0."), *chain)).reason


def test_the_root_as_target_means_no_such_service():
    assert isinstance(read(*answer((f"{SRV_NAME}.", 30, "SRV", "0 0 0 ."))), NegativeAnswer)


def test_case_is_mixed_by_its_bits_and_must_come_back():
    data, asked = answer(SRV, case=0b1011010101)
    assert asked.to_text() != asked.to_text().lower() and isinstance(read(data, asked), PositiveAnswer)
    try:
        read(data, dns.name.from_text(SRV_NAME))
    except MismatchError as error:
        assert "case" in str(error)
    else:
        raise AssertionError


def test_a_query_is_not_an_answer():
    data, asked = encode_query(SRV_NAME, RecordType.SRV, 7, 0, edns=True)
    try:
        read(data, asked)
    except MismatchError:
        return
    raise AssertionError


RESULT_TYPES = (PositiveAnswer, NegativeAnswer, QueryFailure, TruncatedAnswer)


def check_any_result(data, asked, tcp):
    with contextlib.suppress(MismatchError):
        assert isinstance(read(data, asked, tcp=tcp), RESULT_TYPES)


@given(SEEDS, st.booleans())
def test_garbage_is_a_failure_or_a_mismatch(seed, tcp):
    data, asked = answer(SRV, extra=[("a.konya-1.example.org.", 60, "A", "127.0.0.1")])
    check_any_result(malformed_bytes(data, seed), asked, tcp)
    check_any_result(data[:4] + malformed_bytes(data[4:], seed), asked, tcp)


@given(st.integers(0, 400), st.integers(0, 400), st.integers(0, 255))
def test_truncated_and_corrupted_messages(cut, place, byte):
    data, asked = answer(SRV, extra=[("a.konya-1.example.org.", 60, "A", "127.0.0.1")])
    check_any_result(data[: cut % len(data)], asked, False)
    place %= len(data)
    check_any_result(data[:place] + bytes([byte]) + data[place + 1 :], asked, False)
