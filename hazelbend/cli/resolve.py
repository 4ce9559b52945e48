"""`resolve NAME`: query each nameserver as the dispatcher would, and print the answers."""

from __future__ import annotations

import asyncio
import os
import sys
import tomllib
from dataclasses import dataclass
from itertools import count
from pathlib import Path

import msgspec

from hazelbend.dispatcher.deploy_files import DEPLOY_VARIABLE
from hazelbend.dispatcher.text_table import format_table
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
    RecordType,
    SrvPreference,
    TruncatedAnswer,
    canonical_name,
)
from hazelbend.dns_discovery.resolver import Query
from hazelbend.dns_discovery.settings import Nameserver
from hazelbend.transport.dns.dns_client import DnsClient

EXIT_LISTED = 0  # at least one nameserver lists endpoints
EXIT_NOT_LISTED = 1  # no nameserver lists endpoints
EXIT_USAGE = 2  # the command cannot query


@dataclass(slots=True)
class EndpointReport:
    """One SRV record, with the addresses of its target. The field names are in the output of `--json`."""

    target: str
    port: int
    priority: int
    weight: int
    addresses: list[str]


class NameserverReport(msgspec.Struct):
    """The answer of one nameserver. The field names are in the output of `--json`."""

    nameserver: str
    answer: str
    ttl_s: int | None = msgspec.field(default=None, name="lifetime")  # least of the records and addresses
    endpoints: list[EndpointReport] = msgspec.field(default_factory=list, name="records")


def run(name: str, nameservers: tuple[str, ...], timeout: float, as_json: bool) -> int:
    """Run the command and return its exit code, an `EXIT_` constant."""
    try:
        canonical = canonical_name(name)
        addresses = nameservers or _configured_nameservers()
        servers = tuple(Nameserver(address).endpoint for address in addresses)
        if not servers:
            raise ValueError("no nameserver: name one with --nameserver, or in deploy/srv.toml")
    except (ValueError, OSError, KeyError, TypeError) as error:
        print(f"hazelbend resolve: {error}", file=sys.stderr)
        return EXIT_USAGE
    reports = asyncio.run(_query_all(canonical, addresses, servers, timeout))
    if as_json:
        print(msgspec.json.encode({"name": canonical, "nameservers": reports}).decode())
    else:
        _print_reports(reports)
    return EXIT_LISTED if any(report.endpoints for report in reports) else EXIT_NOT_LISTED


def _configured_nameservers() -> tuple[str, ...]:
    path = Path(os.environ.get(DEPLOY_VARIABLE, "deploy")) / "srv.toml"
    if not path.exists():
        return ()
    entries = tomllib.loads(path.read_text()).get("nameserver", [])
    return tuple(entry["address"] for entry in entries)


async def _query_all(
    name: str, addresses: tuple[str, ...], servers: tuple[tuple[str, int], ...], timeout_s: float
) -> list[NameserverReport]:
    client = DnsClient(servers, timeout_s)
    try:
        calls = (_report(client, index, address, name) for index, address in enumerate(addresses))
        return list(await asyncio.gather(*calls))
    finally:
        client.close()


async def _report(client: DnsClient, server: int, address: str, name: str) -> NameserverReport:
    result = await _query(client, server, Question(name, RecordType.SRV))
    if not isinstance(result, PositiveAnswer):
        return NameserverReport(address, describe(result))
    ttls = [result.ttl_s]
    endpoints: list[EndpointReport] = []
    for key, preference in result.records.items():
        assert isinstance(key, EndpointKey)
        assert isinstance(preference, SrvPreference)
        answers = await _query_addresses(client, server, key.target, result)
        ttls.extend(answer.ttl_s for answer in answers)
        found = sorted(str(address) for answer in answers for address in answer.records)
        endpoints.append(EndpointReport(key.target, key.port, preference.priority, preference.weight, found))
    endpoints.sort(key=lambda row: (row.priority, -row.weight, row.target, row.port))
    return NameserverReport(address, "listed", min(ttls), endpoints)


async def _query_addresses(
    client: DnsClient, server: int, target: str, srv_answer: PositiveAnswer
) -> list[PositiveAnswer]:
    """Return the addresses of a target, from the additional section of the SRV answer if it has them."""
    answers: list[PositiveAnswer] = []
    for record_type in ADDRESS_TYPES:
        question = Question(target, record_type)
        answer = srv_answer.additional.get(question)
        has_address = any(answer.records for answer in answers)
        if answer is None and not (record_type is RecordType.AAAA and has_address):
            result = await _query(client, server, question)
            answer = result if isinstance(result, PositiveAnswer) else None
        if answer is not None:
            answers.append(answer)
    return answers


async def _query(client: DnsClient, server: int, question: Question) -> QueryResult:
    """Query until the result is final: over TCP, without EDNS and along CNAMEs as the resolver would."""
    query_name = question.name
    over_tcp = False
    edns = True
    for query_id in count(1):
        query = Query(query_id, server, question, query_name, over_tcp=over_tcp, edns=edns)
        result = await client.query(query)
        if isinstance(result, TruncatedAnswer) and not over_tcp:
            over_tcp = True
        elif isinstance(result, QueryFailure) and result.edns_suspected and edns:
            edns = False
        elif isinstance(result, CnameAlias) and query_id <= MAX_CNAME_CHAIN:
            query_name = result.target
            over_tcp = False
        else:
            return result
    raise AssertionError("count has no end")


def describe(result: QueryResult) -> str:
    """Return the text of a result in the output."""
    match result:
        case NegativeAnswer(reason=reason):
            return f"nothing: {reason}"
        case QueryFailure(reason=reason):
            return f"unknown: {reason}"
        case CnameAlias(target=target):
            return f"unknown: aliases without an end, at {target}"
        case TruncatedAnswer():
            return "unknown: truncated"
    return "listed"


def _print_reports(reports: list[NameserverReport]) -> None:
    rows: list[tuple[object, ...]] = [("NAMESERVER", "ANSWER", "BOXES", "LIFETIME")]
    for report in reports:
        ttl = "-" if report.ttl_s is None else f"{report.ttl_s} s"
        rows.append((report.nameserver, report.answer, len(report.endpoints), ttl))
    print(format_table(rows))
    printed: list[list[EndpointReport]] = []
    for report in reports:
        if not report.endpoints or report.endpoints in printed:
            continue
        printed.append(report.endpoints)
        same = [other.nameserver for other in reports if other.endpoints == report.endpoints]
        print(f"\nby {', '.join(same)}:")
        _print_endpoints(report.endpoints)


def _print_endpoints(endpoints: list[EndpointReport]) -> None:
    rows: list[tuple[object, ...]] = [("TARGET", "PORT", "PRIORITY", "WEIGHT", "ADDRESSES")]
    for endpoint in endpoints:
        addresses = " ".join(endpoint.addresses) or "-"
        rows.append((endpoint.target, endpoint.port, endpoint.priority, endpoint.weight, addresses))
    print(format_table(rows))
