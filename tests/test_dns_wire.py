"""The codec: whatever bytes come, they are an answer, a mismatch, or unknown; nothing else."""

import contextlib

import dns.flags
import dns.message
import dns.name
import dns.rrset
from hypothesis import given
from hypothesis import strategies as st
from parser_kit import SEEDS, garbage
from srv_kit import NAME

from hazelbend.dns_discovery.answers import (
    NegativeAnswer,
    PositiveAnswer,
    QueryFailure,
    Question,
    RecordType,
    TruncatedAnswer,
)
from hazelbend.protocol.dns import MismatchError, decode_answer, encode_query

QUESTION = Question(NAME, RecordType.SRV)


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


SRV = (f"{NAME}.", 30, "SRV", "0 1 7101 a.konya-1.example.org.", "5 2 7102 b.else.example.")


def test_addresses_beside_are_believed_in_bailiwick_alone():
    extra = [("a.konya-1.example.org.", 60, "A", "127.0.0.1"), ("b.else.example.", 60, "A", "127.0.0.9"),
             ("c.konya-1.example.org.", 60, "A", "127.0.0.8")]  # fmt: skip
    meaning = read(*answer(SRV, extra=extra))
    assert meaning.ttl_s == 30 and len(meaning.records) == 2
    assert set(meaning.additional) == {Question("a.konya-1.example.org", RecordType.A)}


def test_the_lifetime_is_the_least_along_a_chain():
    rows = [(f"{NAME}.", 10, "CNAME", "x.example."), ("x.example.", 30, "SRV", "0 1 7101 a.example.")]
    assert read(*answer(*rows)).ttl_s == 10


def test_chains_without_end_are_told():
    loop = [("x.example.", 30, "CNAME", f"{NAME}."), (f"{NAME}.", 30, "CNAME", "x.example.")]
    assert "loop" in read(*answer(*loop)).reason
    chain = [(f"n{number}.", 30, "CNAME", f"n{number + 1}.") for number in range(20)]
    assert "over the bound" in read(*answer((f"{NAME}.", 30, "CNAME", "n0."), *chain)).reason


def test_the_root_as_target_means_no_such_service():
    assert isinstance(read(*answer((f"{NAME}.", 30, "SRV", "0 0 0 ."))), NegativeAnswer)


def test_case_is_mixed_by_its_bits_and_must_come_back():
    data, asked = answer(SRV, case=0b1011010101)
    assert asked.to_text() != asked.to_text().lower() and isinstance(read(data, asked), PositiveAnswer)
    try:
        read(data, dns.name.from_text(NAME))
    except MismatchError as error:
        assert "case" in str(error)
    else:
        raise AssertionError


def test_a_question_is_no_answer():
    data, asked = encode_query(NAME, RecordType.SRV, 7, 0, edns=True)
    try:
        read(data, asked)
    except MismatchError:
        return
    raise AssertionError


MEANINGS = (PositiveAnswer, NegativeAnswer, QueryFailure, TruncatedAnswer)


def any_meaning(data, asked, tcp):
    with contextlib.suppress(MismatchError):
        assert isinstance(read(data, asked, tcp=tcp), MEANINGS)


@given(SEEDS, st.booleans())
def test_garbage_has_no_sense_and_does_no_harm(seed, tcp):
    data, asked = answer(SRV, extra=[("a.konya-1.example.org.", 60, "A", "127.0.0.1")])
    any_meaning(garbage(data, seed), asked, tcp)
    any_meaning(data[:4] + garbage(data[4:], seed), asked, tcp)


@given(st.integers(0, 400), st.integers(0, 400), st.integers(0, 255))
def test_cuts_and_flipped_bytes(cut, place, byte):
    data, asked = answer(SRV, extra=[("a.konya-1.example.org.", 60, "A", "127.0.0.1")])
    any_meaning(data[: cut % len(data)], asked, False)
    place %= len(data)
    any_meaning(data[:place] + bytes([byte]) + data[place + 1 :], asked, False)
