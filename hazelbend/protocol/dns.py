"""DNS on the wire, by dnspython's message codec: queries to bytes, bytes to what they mean.

RFC 1035 (messages), 2308 (negative answers), 2782 (SRV), 5452 (what an answer must match), 6891 (EDNS0),
and draft-vixie-dnsext-dns0x20 (random case). Numbers and case come from the caller, so that all here is a
function of its arguments.
"""

from __future__ import annotations

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
    MOST_ALIASES,
    Alias,
    BoxKey,
    Good,
    Items,
    Kind,
    Meaning,
    Nothing,
    Question,
    Rank,
    Truncated,
    Unknown,
)

PAYLOAD = 1_232  # bytes over UDP that are not fragmented on usual paths


class MismatchError(Exception):
    """The bytes are not an answer to this query: another id, another question, another case."""


def write_query(name: str, kind: Kind, number: int, case: int, edns: bool) -> tuple[bytes, dns.name.Name]:
    """A query of this id, its letters' case by the bits of `case`; its bytes, and the name as written."""
    asked = _mixed(dns.name.from_text(name), case)
    rdtype = dns.rdatatype.RdataType.make(kind.value)
    query = dns.message.make_query(asked, rdtype, use_edns=0 if edns else None, payload=PAYLOAD)
    query.id = number
    return query.to_wire(), asked


def _mixed(name: dns.name.Name, case: int) -> dns.name.Name:
    labels = []
    for label in name.labels:
        written = bytearray(label.lower())
        for place, byte in enumerate(written):
            if 97 <= byte <= 122:
                written[place] = byte - 32 * (case & 1)
                case >>= 1
        labels.append(bytes(written))
    return dns.name.Name(labels)


def read_answer(data: bytes, number: int, asked: dns.name.Name, question: Question, tcp: bool) -> Meaning:
    """What the answer to that query means. MismatchError if these bytes are not an answer to it."""
    if len(data) < 12 or int.from_bytes(data[:2]) != number:
        raise MismatchError("wrong id" if len(data) >= 12 else "cut short")
    try:
        message = dns.message.from_wire(data, ignore_trailing=False)
        return _read(message, asked, question, tcp)
    except MismatchError:
        raise
    except dns.message.Truncated as error:
        message = error.message()  # type: ignore[no-untyped-call]
        _check_question(message, asked, question)
        return Unknown("truncated over TCP") if tcp else Truncated()
    except Exception as error:  # whatever a codec makes of hostile bytes, they are an answer without sense
        return Unknown(f"malformed: {str(error) or type(error).__name__}"[:200])


def _check_question(message: dns.message.Message, asked: dns.name.Name, question: Question) -> None:
    if not message.flags & dns.flags.QR:
        raise MismatchError("no answer")
    if message.rcode() == dns.rcode.FORMERR and not message.question:
        return
    if len(message.question) != 1:
        raise MismatchError("wrong question")
    [found] = message.question
    if found.rdtype != question.kind.value or found.rdclass != dns.rdataclass.IN or found.name != asked:
        raise MismatchError("wrong question")
    if found.name.labels != asked.labels:
        raise MismatchError("wrong case of the question")


def _read(message: dns.message.Message, asked: dns.name.Name, question: Question, tcp: bool) -> Meaning:
    _check_question(message, asked, question)
    if message.flags & dns.flags.TC:
        return Unknown("truncated over TCP") if tcp else Truncated()
    rcode = message.rcode()
    if rcode == dns.rcode.FORMERR or rcode == dns.rcode.NOTIMP or rcode == dns.rcode.BADVERS:
        return Unknown(dns.rcode.to_text(rcode), plain=True)
    if rcode == dns.rcode.REFUSED:
        return Unknown("REFUSED", unreachable=True)
    if rcode not in (dns.rcode.NOERROR, dns.rcode.NXDOMAIN):
        return Unknown(dns.rcode.to_text(rcode))
    if not message.flags & (dns.flags.AA | dns.flags.RA):
        return Unknown("lame: neither authoritative nor recursive")
    owner, lifetime, records = _follow_aliases(message, question)
    if isinstance(records, str):
        return Unknown(records)
    if records is None:
        soa = _soa(message)
        if rcode == dns.rcode.NXDOMAIN:
            return Nothing("NXDOMAIN", soa or 0)
        if soa is not None:
            return Nothing("NODATA", soa)
        if owner != asked:
            return Alias(_text(owner))
        if any(each.rdtype == dns.rdatatype.NS for each in message.authority):
            return Unknown("lame: a referral")
        return Nothing("NODATA")
    lifetime = records.ttl if lifetime is None else min(lifetime, records.ttl)
    if question.kind is not Kind.SRV:
        return Good({rdata.address: None for rdata in records}, lifetime)
    if len(records) == 1 and records[0].target == dns.name.root:
        return Nothing("no such service: the target is the root", lifetime)
    items: dict[BoxKey, Rank] = {}
    for rdata in sorted(records, key=lambda each: (-each.priority, each.weight)):
        if rdata.target != dns.name.root and rdata.port:
            items[BoxKey(_text(rdata.target), rdata.port)] = Rank(rdata.priority, rdata.weight)
    return Good(items, lifetime, _extra(message, question, items))


def _follow_aliases(
    message: dns.message.Message, question: Question
) -> tuple[dns.name.Name, int | None, dns.rrset.RRset | str | None]:
    """Where the chain of CNAMEs in the answer ends, its least lifetime, and the records there; or a fault."""
    owner, lifetime, seen = dns.name.from_text(question.name), None, set()
    if message.question:
        owner = message.question[0].name
    while True:
        for each in message.answer:
            if each.name == owner and each.rdtype == question.kind.value:
                return owner, lifetime, each
        for each in message.answer:
            if each.name == owner and each.rdtype == dns.rdatatype.CNAME:
                break
        else:
            return owner, lifetime, None
        seen.add(owner)
        owner = each[0].target
        lifetime = each.ttl if lifetime is None else min(lifetime, each.ttl)
        if owner in seen:
            return owner, lifetime, "a loop of aliases"
        if len(seen) > MOST_ALIASES:
            return owner, lifetime, "a chain of aliases over the bound"


def _soa(message: dns.message.Message) -> int | None:
    """How long a negative answer holds (RFC 2308, section 5); None if it does not say."""
    for each in message.authority:
        if each.rdtype == dns.rdatatype.SOA:
            return int(min(each.ttl, each[0].minimum))
    return None


def _extra(message: dns.message.Message, question: Question, items: Items) -> dict[Question, Good]:
    """Addresses of the targets from the additional section, if the target lies in the domain that was asked
    about: `site.example.org` for `_jobs._tcp.site.example.org`. Others may be anybody's word."""
    labels = dns.name.from_text(question.name).labels
    domain = dns.name.Name([each for each in labels if not each.startswith(b"_")])
    targets = {key.target for key in items if isinstance(key, BoxKey)}
    found = {}
    for each in message.additional:
        if each.rdclass != dns.rdataclass.IN or each.rdtype not in (Kind.A.value, Kind.AAAA.value):
            continue
        target = _text(each.name)
        if target in targets and each.name.is_subdomain(domain) and domain != dns.name.root:
            kind = Kind(int(each.rdtype))
            found[Question(target, kind)] = Good({rdata.address: None for rdata in each}, each.ttl)
    return found


def _text(name: dns.name.Name) -> str:
    return name.canonicalize().to_text(omit_final_dot=True)
