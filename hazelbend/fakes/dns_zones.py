"""The responses of an authoritative nameserver (RFC 1035, 2308, 2782), correct ones and faulty ones."""

from __future__ import annotations

from dataclasses import dataclass, field

import dns.flags
import dns.message
import dns.name
import dns.node
import dns.rcode
import dns.rdatatype
import dns.rrset
import dns.zone

from hazelbend.fakes.dns_faults import FaultKind

MAX_ALIASES = 8  # CNAME records that are followed for one response
OVERSIZED_RECORDS = 1_500
_RCODES = {
    FaultKind.SERVFAIL: dns.rcode.SERVFAIL,
    FaultKind.REFUSED: dns.rcode.REFUSED,
    FaultKind.FORMERR: dns.rcode.FORMERR,
}


def empty_response(
    query: dns.message.Message, rcode: dns.rcode.Rcode = dns.rcode.NOERROR
) -> dns.message.Message:
    """Return an authoritative response without records."""
    response = dns.message.make_response(query)
    response.flags |= dns.flags.AA
    response.set_rcode(dns.rcode.Rcode(rcode))
    return response


@dataclass(slots=True)
class Zones:
    """The zones for which a nameserver is authoritative."""

    by_origin: dict[dns.name.Name, dns.zone.Zone] = field(default_factory=dict)
    add_target_addresses: bool = True
    """Whether the additional section has the addresses of SRV targets (RFC 2782)."""

    def load(self, text: str, origin: str) -> None:
        """Serve this master file (RFC 1035, section 5) for the origin, replacing an earlier zone."""
        zone = dns.zone.from_text(text, origin, relativize=False, check_origin=False)
        self.by_origin[dns.name.from_text(origin)] = zone

    def response(self, query: dns.message.Message, fault: str | None = None) -> dns.message.Message:
        """Return the response to a query, with the fault if that changes the content of the response."""
        return self._faulty_response(query, fault) or self._true_response(query, fault)

    def _true_response(self, query: dns.message.Message, fault: str | None) -> dns.message.Message:
        question = query.question[0]
        zone = self._zone_of(question.name)
        if zone is None:
            response = empty_response(query, dns.rcode.REFUSED)
        else:
            response = empty_response(query)
            self._add_answer(response, question, zone)
            if self.add_target_addresses and response.answer and question.rdtype == dns.rdatatype.SRV:
                for rdata in response.answer[-1]:
                    self._add_addresses(response, getattr(rdata, "target", dns.name.root), zone)
        if fault == FaultKind.LAME:
            response.flags &= ~dns.flags.AA
        if fault == FaultKind.OVERSIZED:
            rows = [f"0 1 {1 + number} b{number}.example.org." for number in range(OVERSIZED_RECORDS)]
            response.answer = [dns.rrset.from_text(question.name, 30, "IN", "SRV", *rows)]
        return response

    def _add_answer(
        self, response: dns.message.Message, question: dns.rrset.RRset, zone: dns.zone.Zone
    ) -> None:
        """Add the CNAME chain of the name, as far as it stays in the zone, and the records at its end."""
        owner: dns.name.Name = question.name
        for _ in range(MAX_ALIASES):
            node = zone.get_node(owner)
            records = _records(node, zone, question.rdtype)
            if records is not None:
                response.answer.append(dns.rrset.from_rdata_list(owner, records.ttl, list(records)))
                return
            alias = _records(node, zone, dns.rdatatype.CNAME)
            if alias is None:
                if node is None and not response.answer:
                    response.set_rcode(dns.rcode.NXDOMAIN)
                _add_soa(response, zone)
                return
            response.answer.append(dns.rrset.from_rdata_list(owner, alias.ttl, list(alias)))
            owner = alias[0].target
            if self._zone_of(owner) is not zone:
                return

    def _add_addresses(
        self, response: dns.message.Message, target: dns.name.Name, zone: dns.zone.Zone
    ) -> None:
        node = zone.get_node(target) if self._zone_of(target) is zone else None
        for record_type in (dns.rdatatype.A, dns.rdatatype.AAAA):
            records = _records(node, zone, record_type)
            if records is not None:
                response.additional.append(dns.rrset.from_rdata_list(target, records.ttl, list(records)))

    def _zone_of(self, name: dns.name.Name) -> dns.zone.Zone | None:
        origins = [origin for origin in self.by_origin if name.is_subdomain(origin)]
        return self.by_origin[max(origins, key=len)] if origins else None

    def _faulty_response(self, query: dns.message.Message, fault: str | None) -> dns.message.Message | None:
        """Return the response if the fault replaces its whole content, else None."""
        question = query.question[0]
        response: dns.message.Message | None = None
        match fault:
            case FaultKind.SERVFAIL | FaultKind.REFUSED | FaultKind.FORMERR:
                response = empty_response(query, _RCODES[FaultKind(fault)])
            case FaultKind.FORMERR_EDNS if query.edns >= 0:
                response = empty_response(query, dns.rcode.FORMERR)
                response.use_edns(False)
            case FaultKind.NXDOMAIN | FaultKind.EMPTY:
                rcode = dns.rcode.NXDOMAIN if fault == FaultKind.NXDOMAIN else dns.rcode.NOERROR
                response = empty_response(query, rcode)
                soa = "ns.example.org. host.example.org. 1 3600 600 86400 5"
                response.authority.append(dns.rrset.from_text("example.org.", 5, "IN", "SOA", soa))
            case FaultKind.REFERRAL:
                response = empty_response(query)
                response.flags &= ~dns.flags.AA
                nameserver = dns.rrset.from_text("org.", 300, "IN", "NS", "ns.elsewhere.example.")
                response.authority.append(nameserver)
            case FaultKind.ALIAS_LOOP:
                response = empty_response(query)
                own_name = question.name.to_text()
                response.answer.append(dns.rrset.from_text(question.name, 300, "IN", "CNAME", own_name))
            case FaultKind.ALIAS_AWAY:
                response = empty_response(query)
                away = "_arama._tcp.elsewhere.example."
                response.answer.append(dns.rrset.from_text(question.name, 300, "IN", "CNAME", away))
        return response


def _records(
    node: dns.node.Node | None, zone: dns.zone.Zone, record_type: dns.rdatatype.RdataType
) -> dns.rdataset.Rdataset | None:
    return node.get_rdataset(zone.rdclass, record_type) if node is not None else None


def _add_soa(response: dns.message.Message, zone: dns.zone.Zone) -> None:
    """Add the SOA record, which gives how long the negative answer may be cached (RFC 2308)."""
    origin = zone.origin or dns.name.root
    soa = zone.get_rdataset(origin, dns.rdatatype.SOA)
    if soa is not None:
        response.authority.append(dns.rrset.from_rdata_list(origin, soa.ttl, list(soa)))
