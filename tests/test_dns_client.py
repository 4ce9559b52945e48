"""The resolver's sockets against a nameserver that goes wrong in every way that it knows."""

import asyncio

import pytest
from srv_kit import NAME, nameservers, zone

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

BOXES = {
    EndpointKey("b1.konya-1.example.org", 7101): SrvPreference(0, 1),
    EndpointKey("b2.konya-1.example.org", 7102): SrvPreference(1, 5),
}
ZONE = zone(("b1", 7101), ("b2", 7102, 1, 5))
MEANT = {
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
OVER_TCP = {
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
    return Query(query_id, 0, Question(NAME, RecordType.SRV), NAME, over_tcp=over_tcp, edns=True)


def ask(what, tcp=False, name=NAME, kind=RecordType.SRV, timeout=20.0):
    async def run():
        async with nameservers(1, ZONE) as [server]:
            if what:
                server.faults = [Fault(what, delay_s=60.0)]
            host, _, port = server.address.rpartition(":")
            client = DnsClient(((host, int(port)),), timeout)
            meaning = await client.query(Query(1, 0, Question(name, kind), name, over_tcp=tcp, edns=True))
            client.close()
            return meaning, server.queries

    return asyncio.run(run())


def patience(wanted):
    """Short only where no answer is to come: a busy machine may be slow with the others."""
    return 0.3 if wanted in ("no answer in time", "") else 20.0


def check(meaning, wanted):
    if isinstance(wanted, str):
        assert isinstance(meaning, QueryFailure) and wanted in meaning.reason, meaning
    else:
        assert isinstance(meaning, wanted), meaning


def test_every_fault_has_its_meaning():
    assert set(MEANT) == set(FaultKind)


@pytest.mark.parametrize("what", [kind.value for kind in FaultKind])
def test_what_goes_wrong_over_udp(what):
    check(ask(what, timeout=patience(MEANT[what]))[0], MEANT[what])


@pytest.mark.parametrize("what", OVER_TCP)
def test_what_goes_wrong_over_tcp(what):
    check(ask(what, tcp=True, timeout=patience(OVER_TCP[what]))[0], OVER_TCP[what])


@pytest.mark.parametrize("tcp", [False, True])
def test_a_good_answer_with_addresses_beside_it(tcp):
    meaning, [query] = ask("", tcp)
    assert meaning.records == BOXES and meaning.ttl_s == 5 and query.tcp is tcp
    addresses = {question.name: good.records for question, good in meaning.additional.items()}
    assert addresses == {key.target: {"127.0.0.1": None} for key in BOXES}


def test_what_is_not_there():
    for name, kind, why in (("_arama._tcp.adana-1.example.org", RecordType.SRV, "NXDOMAIN"),
                            ("b1.konya-1.example.org", RecordType.AAAA, "NODATA")):  # fmt: skip
        assert ask("", name=name, kind=kind)[0] == NegativeAnswer(why, 5)


def test_an_answer_that_is_none_does_not_end_the_query():
    """Guards against forged answers (RFC 5452): the true one is waited for, and counts."""

    async def run():
        async with nameservers(1, ZONE) as [server]:
            server.faults = [Fault("slow", delay_s=0.2)]
            client = DnsClient((("127.0.0.1", int(server.address.rpartition(":")[2])),), 3.0)
            asking = asyncio.create_task(
                client.query(Query(1, 0, Question(NAME, RecordType.SRV), NAME, over_tcp=False, edns=True))
            )
            while not server.queries:
                await asyncio.sleep(0.005)
            [query] = server.queries
            forged = (query.id ^ 1).to_bytes(2) + b"\x84\x00" + bytes(8)
            server._udp.sendto(forged, ("127.0.0.1", query.port))
            return await asking

    assert asyncio.run(run()).records == BOXES


def test_ids_ports_and_case_are_drawn_anew():
    async def run():
        async with nameservers(1, ZONE) as [server]:
            client = DnsClient((("127.0.0.1", int(server.address.rpartition(":")[2])),), 3.0)
            for number in range(20):
                await client.query(
                    Query(number, 0, Question(NAME, RecordType.SRV), NAME, over_tcp=False, edns=True)
                )
            return server.queries

    queries = asyncio.run(run())
    assert len({each.id for each in queries}) > 15 and len({each.port for each in queries}) > 15


def test_a_tcp_connection_is_kept_and_carries_several():
    async def run():
        async with nameservers(1, ZONE) as [server]:
            client = DnsClient((("127.0.0.1", int(server.address.rpartition(":")[2])),), 3.0)
            asks = [
                Query(number, 0, Question(NAME, RecordType.SRV), NAME, over_tcp=True, edns=True)
                for number in range(50)
            ]
            meanings = await asyncio.gather(*map(client.query, asks))
            meanings.append(await client.query(asks[0]))
            client.close()
            return meanings, server.queries

    meanings, queries = asyncio.run(run())
    assert all(isinstance(each, PositiveAnswer) for each in meanings) and len(queries) == 51
    assert len({each.port for each in queries}) == 1


def test_nobody_there_is_known_at_once():
    async def run():
        async with nameservers(1, ZONE) as [server]:
            port = int(server.address.rpartition(":")[2])
        client = DnsClient((("127.0.0.1", port),), 5.0)
        question = Question(NAME, RecordType.SRV)
        return [
            await client.query(Query(1, 0, question, NAME, over_tcp=tcp, edns=True)) for tcp in (False, True)
        ]

    for meaning in asyncio.run(run()):
        assert isinstance(meaning, QueryFailure) and meaning.server_unreachable, meaning
