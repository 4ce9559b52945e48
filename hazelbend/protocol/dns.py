"""Encodes DNS queries and decodes answers into query results, with dnspython's message codec.

RFC 1035 (messages), 2308 (negative answers), 2782 (SRV), 5452 (what an answer must match), 6891 (EDNS0), and
draft-vixie-dnsext-dns0x20 (random case of letters). The caller draws the random numbers, so that the results
of all functions depend only on their arguments.
"""

from __future__ import annotations

from dataclasses import dataclass

import dns.edns
import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.rrset

from hazelbend.dns_discovery.answers import (
    ADDRESS_TYPES,
    MAX_CNAME_CHAIN,
    CnameAlias,
    EndpointKey,
    NegativeAnswer,
    PositiveAnswer,
    QueryFailure,
    QueryResult,
    Question,
    Records,
    RecordType,
    SrvPreference,
    TruncatedAnswer,
)

EDNS_PAYLOAD_BYTES = 1_232  # UDP datagrams up to this size are not fragmented on common paths
HEADER_BYTES = 12
MAX_REASON_LENGTH = 200
ADDRESS_TYPE_NUMBERS = tuple(record_type.value for record_type in ADDRESS_TYPES)
# Error codes with which a server may respond if it does not support EDNS (RFC 6891, section 7).
EDNS_ERRORS = (dns.rcode.FORMERR, dns.rcode.NOTIMP, dns.rcode.BADVERS)


class MismatchError(Exception):
    """The bytes are not an answer to this query: the id, the question or the case of its letters differs.

    See RFC 5452.
    """


class CnameChainError(Exception):
    """The CNAME records in an answer form a loop or too long a chain; the text gives the reason."""


@dataclass(slots=True, frozen=True)
class _ChainEnd:
    """The end of the CNAME chain in an answer."""

    owner: dns.name.Name  # the last name in the chain
    rrset: dns.rrset.RRset | None  # the records of the queried type, if the answer has them
    cname_ttl_s: int | None  # the lowest TTL of the CNAME records; None: there are none


def encode_query(
    name: str, record_type: RecordType, query_id: int, case_bits: int, *, edns: bool
) -> tuple[bytes, dns.name.Name]:
    """Return the bytes of a query, and the name as written there.

    Each bit of `case_bits` gives the case of one letter of the name.
    """
    queried_name = _mix_case(dns.name.from_text(name), case_bits)
    rdtype = dns.rdatatype.RdataType.make(record_type.value)
    query = dns.message.make_query(
        queried_name, rdtype, use_edns=0 if edns else None, payload=EDNS_PAYLOAD_BYTES
    )
    query.id = query_id
    return query.to_wire(), queried_name


def _mix_case(name: dns.name.Name, case_bits: int) -> dns.name.Name:
    """Return the name with each letter in upper case if its bit is set, else in lower case."""
    labels = []
    for label in name.labels:
        mixed = bytearray(label.lower())
        for index, byte in enumerate(mixed):
            if ord("a") <= byte <= ord("z"):
                mixed[index] = byte - 32 * (case_bits & 1)
                case_bits >>= 1
        labels.append(bytes(mixed))
    return dns.name.Name(labels)


def decode_answer(
    data: bytes, query_id: int, queried_name: dns.name.Name, question: Question, *, over_tcp: bool
) -> QueryResult:
    """Return the result of the query with this id; `queried_name` is the name that `encode_query` returned.

    Raises:
        MismatchError: the bytes are not an answer to that query.
    """
    if len(data) < HEADER_BYTES:
        raise MismatchError("cut short")
    if int.from_bytes(data[:2]) != query_id:
        raise MismatchError("wrong id")
    try:
        message = dns.message.from_wire(data, ignore_trailing=False)
        _check_question(message, queried_name, question)
        return _result(message, queried_name, question, over_tcp)
    except MismatchError:
        raise
    except dns.message.Truncated as error:
        message = error.message()  # type: ignore[no-untyped-call]
        _check_question(message, queried_name, question)
        return _truncated(over_tcp)
    except Exception as error:  # dnspython raises many types of errors on malformed messages
        return QueryFailure(f"malformed: {str(error) or type(error).__name__}"[:MAX_REASON_LENGTH])


def _check_question(message: dns.message.Message, queried_name: dns.name.Name, question: Question) -> None:
    if not message.flags & dns.flags.QR:
        raise MismatchError("no answer")
    if message.rcode() == dns.rcode.FORMERR and not message.question:
        return
    if len(message.question) != 1:
        raise MismatchError("wrong question")
    [found] = message.question
    same_type = found.rdtype == question.record_type.value and found.rdclass == dns.rdataclass.IN
    if not same_type or found.name != queried_name:
        raise MismatchError("wrong question")
    # dnspython compares names without case, but the answer must repeat the case of each letter.
    if found.name.labels != queried_name.labels:
        raise MismatchError("wrong case of the question")


def _result(
    message: dns.message.Message, queried_name: dns.name.Name, question: Question, over_tcp: bool
) -> QueryResult:
    if message.flags & dns.flags.TC:
        return _truncated(over_tcp)
    if (failure := _failure(message)) is not None:
        return failure
    try:
        end = _follow_cnames(message, question)
    except CnameChainError as error:
        return QueryFailure(str(error))
    if end.rrset is None:
        return _result_without_records(message, queried_name, end.owner)
    ttl_s = end.rrset.ttl if end.cname_ttl_s is None else min(end.cname_ttl_s, end.rrset.ttl)
    if question.record_type is RecordType.SRV:
        return _srv_answer(message, question, end.rrset, ttl_s)
    return PositiveAnswer({rdata.address: None for rdata in end.rrset}, ttl_s)


def _truncated(over_tcp: bool) -> QueryResult:
    return QueryFailure("truncated over TCP") if over_tcp else TruncatedAnswer()


def _failure(message: dns.message.Message) -> QueryFailure | None:
    """Return the failure that the response code and the flags report; None if there is none."""
    rcode = message.rcode()
    if rcode in EDNS_ERRORS:
        return QueryFailure(dns.rcode.to_text(rcode), edns_suspected=True)
    if rcode == dns.rcode.REFUSED:
        return QueryFailure("REFUSED", server_unreachable=True)
    if rcode not in (dns.rcode.NOERROR, dns.rcode.NXDOMAIN):
        return QueryFailure(dns.rcode.to_text(rcode))
    if not message.flags & (dns.flags.AA | dns.flags.RA):
        return QueryFailure("lame: neither authoritative nor recursive")
    return None


def _result_without_records(
    message: dns.message.Message, queried_name: dns.name.Name, owner: dns.name.Name
) -> QueryResult:
    """Return a negative answer, or the alias or referral that the server did not follow."""
    ttl_s = _negative_ttl(message)
    if message.rcode() == dns.rcode.NXDOMAIN:
        return NegativeAnswer("NXDOMAIN", ttl_s or 0)
    if ttl_s is not None:
        return NegativeAnswer("NODATA", ttl_s)
    if owner != queried_name:
        return CnameAlias(_canonical(owner))
    if any(rrset.rdtype == dns.rdatatype.NS for rrset in message.authority):
        return QueryFailure("lame: a referral")
    return NegativeAnswer("NODATA")


def _srv_answer(
    message: dns.message.Message, question: Question, rrset: dns.rrset.RRset, ttl_s: int
) -> QueryResult:
    if len(rrset) == 1 and rrset[0].target == dns.name.root:
        return NegativeAnswer("no such service: the target is the root", ttl_s)
    records: dict[EndpointKey, SrvPreference] = {}
    # If several records have the same endpoint, the lowest priority, then the highest weight, is stored last.
    for rdata in sorted(rrset, key=lambda rdata: (-rdata.priority, rdata.weight)):
        if rdata.target != dns.name.root and rdata.port:
            key = EndpointKey(_canonical(rdata.target), rdata.port)
            records[key] = SrvPreference(rdata.priority, rdata.weight)
    return PositiveAnswer(records, ttl_s, _additional_addresses(message, question, records))


def _follow_cnames(message: dns.message.Message, question: Question) -> _ChainEnd:
    """Follow the CNAME records in the answer section.

    Raises:
        CnameChainError: they form a loop, or there are too many.
    """
    owner = message.question[0].name if message.question else dns.name.from_text(question.name)
    ttl_s: int | None = None
    seen = set()
    while True:
        rrset = _find_rrset(message, owner, question.record_type.value)
        if rrset is not None:
            return _ChainEnd(owner, rrset, ttl_s)
        cname = _find_rrset(message, owner, dns.rdatatype.CNAME)
        if cname is None:
            return _ChainEnd(owner, None, ttl_s)
        seen.add(owner)
        owner = cname[0].target
        ttl_s = cname.ttl if ttl_s is None else min(ttl_s, cname.ttl)
        if owner in seen:
            raise CnameChainError("a loop of aliases")
        if len(seen) > MAX_CNAME_CHAIN:
            raise CnameChainError("a chain of aliases over the bound")


def _find_rrset(message: dns.message.Message, owner: dns.name.Name, rdtype: int) -> dns.rrset.RRset | None:
    for rrset in message.answer:
        if rrset.name == owner and rrset.rdtype == rdtype:
            return rrset
    return None


def _negative_ttl(message: dns.message.Message) -> int | None:
    """Return the TTL of a negative answer in seconds from its SOA record; None if it has none.

    See RFC 2308, section 5.
    """
    for rrset in message.authority:
        if rrset.rdtype == dns.rdatatype.SOA:
            return int(min(rrset.ttl, rrset[0].minimum))
    return None


def _additional_addresses(
    message: dns.message.Message, question: Question, records: Records
) -> dict[Question, PositiveAnswer]:
    """Return the in-bailiwick addresses of the targets in the additional section.

    A target is in bailiwick if it is in the domain of the question: `site.example.org` for
    `_jobs._tcp.site.example.org`. Other addresses may be forged.
    """
    labels = dns.name.from_text(question.name).labels
    domain = dns.name.Name([label for label in labels if not label.startswith(b"_")])
    targets = {key.target for key in records if isinstance(key, EndpointKey)}
    found: dict[Question, PositiveAnswer] = {}
    for rrset in message.additional:
        if rrset.rdclass != dns.rdataclass.IN or rrset.rdtype not in ADDRESS_TYPE_NUMBERS:
            continue
        target = _canonical(rrset.name)
        if target in targets and rrset.name.is_subdomain(domain) and domain != dns.name.root:
            addressed = Question(target, RecordType(int(rrset.rdtype)))
            found[addressed] = PositiveAnswer({rdata.address: None for rdata in rrset}, rrset.ttl)
    return found


def _canonical(name: dns.name.Name) -> str:
    return name.canonicalize().to_text(omit_final_dot=True)
