"""The DNS client against a fake nameserver, with each fault that the fake can inject."""

import asyncio

import pytest

from hazelbend.dns_discovery.answers import (
    CnameAlias,
    EndpointKey,
    NegativeAnswer,
    PositiveAnswer,
    QueryFailure,
    Question,
    RecordType,
    SrvPreference,
    TruncatedAnswer,
)
from hazelbend.dns_discovery.resolver import Query
from hazelbend.fakes.dns_faults import Fault, FaultKind
from hazelbend.transport.dns.dns_client import DnsClient
from tests.support.srv_kit import SRV_NAME, running_nameservers, zone_file_text

ENDPOINTS = {
    EndpointKey("b1.konya-1.example.org", 7101): SrvPreference(0, 1),
    EndpointKey("b2.konya-1.example.org", 7102): SrvPreference(1, 5),
}
ZONE = zone_file_text(("b1", 7101), ("b2", 7102, 1, 5))
EXPECTED = {
    "truncated": TruncatedAnswer,
    "truncated-always": TruncatedAnswer,
    "servfail": "SERVFAIL",
    "refused": "REFUSED",
    "formerr": "FORMERR",
    "formerr-edns": "FORMERR",
    "nxdomain": NegativeAnswer,
    "empty": NegativeAnswer,
    "lame": "lame",
    "referral": "lame",
    "alias-loop": "loop of aliases",
    "alias-away": CnameAlias,
    "silent": "no answer in time",
    "slow": "no answer in time",
    "wrong-id": "no answer in time",
    "wrong-question": "no answer in time",
    "wrong-case": "no answer in time",
    "garbage": "",
    "cut": "malformed",
    "compression-loop": "malformed",
    "half-tcp": TruncatedAnswer,
    "close-tcp": TruncatedAnswer,
    "oversized": TruncatedAnswer,
}
EXPECTED_OVER_TCP = {
    "truncated": PositiveAnswer,
    "truncated-always": "truncated over TCP",
    "half-tcp": "closed",
    "close-tcp": "closed",
    "oversized": PositiveAnswer,
    "wrong-id": "no answer in time",
    "wrong-question": "wrong question",
    "cut": "malformed",
}


def query_of(query_id, over_tcp=False):
    return Query(query_id, 0, Question(SRV_NAME, RecordType.SRV), SRV_NAME, over_tcp=over_tcp, edns=True)


def query_once(fault, tcp=False, name=SRV_NAME, kind=RecordType.SRV, timeout=20.0):
    async def run():
        async with running_nameservers(1, ZONE) as [server]:
            if fault:
                server.faults = [Fault(fault, delay_s=60.0)]
            host, _, port = server.address.rpartition(":")
            client = DnsClient(((host, int(port)),), timeout)
            result = await client.query(Query(1, 0, Question(name, kind), name, over_tcp=tcp, edns=True))
            client.close()
            return result, server.queries

    return asyncio.run(run())


def timeout_for(expected):
    """Return a short timeout only if no answer is expected: a busy machine may answer the others slowly."""
    return 0.3 if expected in ("no answer in time", "") else 20.0


def check(result, expected):
    if isinstance(expected, str):
        assert isinstance(result, QueryFailure) and expected in result.reason, result
    else:
        assert isinstance(result, expected), result


def test_each_fault_of_the_fake_has_an_expected_result():
    assert set(EXPECTED) == set(FaultKind)


@pytest.mark.parametrize("fault", [kind.value for kind in FaultKind])
def test_fault_over_udp_gives_its_expected_result(fault):
    check(query_once(fault, timeout=timeout_for(EXPECTED[fault]))[0], EXPECTED[fault])


@pytest.mark.parametrize("fault", EXPECTED_OVER_TCP)
def test_fault_over_tcp_gives_its_expected_result(fault):
    check(
        query_once(fault, tcp=True, timeout=timeout_for(EXPECTED_OVER_TCP[fault]))[0],
        EXPECTED_OVER_TCP[fault],
    )


@pytest.mark.parametrize("tcp", [False, True])
def test_positive_answer_includes_additional_addresses(tcp):
    result, [query] = query_once("", tcp)
    assert result.records == ENDPOINTS and result.ttl_s == 5 and query.tcp is tcp
    addresses = {question.name: good.records for question, good in result.additional.items()}
    assert addresses == {key.target: {"127.0.0.1": None} for key in ENDPOINTS}


def test_negative_answers():
    for name, kind, reason in (("_arama._tcp.adana-1.example.org", RecordType.SRV, "NXDOMAIN"),
                            ("b1.konya-1.example.org", RecordType.AAAA, "NODATA")):  # fmt: skip
        assert query_once("", name=name, kind=kind)[0] == NegativeAnswer(reason, 5)


def test_mismatched_datagram_does_not_end_the_query():
    """Guards against forged answers (RFC 5452): the client waits for the true answer and returns it."""

    async def run():
        async with running_nameservers(1, ZONE) as [server]:
            server.faults = [Fault("slow", delay_s=0.2)]
            client = DnsClient((("127.0.0.1", int(server.address.rpartition(":")[2])),), 3.0)
            query_task = asyncio.create_task(
                client.query(
                    Query(1, 0, Question(SRV_NAME, RecordType.SRV), SRV_NAME, over_tcp=False, edns=True)
                )
            )
            while not server.queries:
                await asyncio.sleep(0.005)
            [query] = server.queries
            forged = (query.id ^ 1).to_bytes(2) + b"\x84\x00" + bytes(8)
            server._udp.sendto(forged, ("127.0.0.1", query.port))
            return await query_task

    assert asyncio.run(run()).records == ENDPOINTS


def test_ids_ports_and_case_are_random_for_each_query():
    async def run():
        async with running_nameservers(1, ZONE) as [server]:
            client = DnsClient((("127.0.0.1", int(server.address.rpartition(":")[2])),), 3.0)
            for number in range(20):
                await client.query(
                    Query(number, 0, Question(SRV_NAME, RecordType.SRV), SRV_NAME, over_tcp=False, edns=True)
                )
            return server.queries

    queries = asyncio.run(run())
    assert len({query.id for query in queries}) > 15 and len({query.port for query in queries}) > 15


def test_tcp_connection_is_shared_by_several_queries():
    async def run():
        async with running_nameservers(1, ZONE) as [server]:
            client = DnsClient((("127.0.0.1", int(server.address.rpartition(":")[2])),), 3.0)
            tcp_queries = [
                Query(number, 0, Question(SRV_NAME, RecordType.SRV), SRV_NAME, over_tcp=True, edns=True)
                for number in range(50)
            ]
            results = await asyncio.gather(*map(client.query, tcp_queries))
            results.append(await client.query(tcp_queries[0]))
            client.close()
            return results, server.queries

    results, queries = asyncio.run(run())
    assert all(isinstance(result, PositiveAnswer) for result in results) and len(queries) == 51
    assert len({query.port for query in queries}) == 1


def test_refused_connection_fails_at_once():
    async def run():
        async with running_nameservers(1, ZONE) as [server]:
            port = int(server.address.rpartition(":")[2])
        client = DnsClient((("127.0.0.1", port),), 5.0)
        question = Question(SRV_NAME, RecordType.SRV)
        return [
            await client.query(Query(1, 0, question, SRV_NAME, over_tcp=tcp, edns=True))
            for tcp in (False, True)
        ]

    for result in asyncio.run(run()):
        assert isinstance(result, QueryFailure) and result.server_unreachable, result
