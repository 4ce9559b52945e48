"""`resolve NAME`: ask each nameserver, as the dispatcher would, and say what each answer means."""

from __future__ import annotations

import asyncio
import os
import sys
import tomllib
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path

import msgspec

from hazelbend.dns_discovery.answers import (
    MOST_ALIASES,
    Alias,
    Good,
    Kind,
    Meaning,
    Nothing,
    Question,
    Truncated,
    Unknown,
    canonical,
)
from hazelbend.dns_discovery.resolver import Ask
from hazelbend.dns_discovery.settings import Nameserver
from hazelbend.program.config import DEPLOY_VARIABLE
from hazelbend.program.parts import table
from hazelbend.transport.dns.dns_client import DnsClient


@dataclass(slots=True)
class Record:
    target: str
    port: int
    priority: int
    weight: int
    addresses: list[str]


@dataclass(slots=True)
class Said:
    """What one nameserver said."""

    nameserver: str
    answer: str
    lifetime: int | None = None  # seconds, the least of the records and addresses
    records: list[Record] = field(default_factory=list)


def run(name: str, nameservers: tuple[str, ...], timeout: float, as_json: bool) -> int:
    try:
        wanted = canonical(name)
        addresses = nameservers or _configured()
        servers = tuple(Nameserver(each).endpoint for each in addresses)
        if not servers:
            raise ValueError("no nameserver: name one with --nameserver, or in deploy/srv.toml")
    except (ValueError, OSError, KeyError, TypeError) as error:
        print(f"hazelbend resolve: {error}", file=sys.stderr)
        return 2
    said = asyncio.run(_ask_all(wanted, addresses, servers, timeout))
    if as_json:
        print(msgspec.json.encode({"name": wanted, "nameservers": said}).decode())
    else:
        _print(said)
    return 0 if any(each.records for each in said) else 1


def _configured() -> tuple[str, ...]:
    path = Path(os.environ.get(DEPLOY_VARIABLE, "deploy")) / "srv.toml"
    if not path.exists():
        return ()
    rows = tomllib.loads(path.read_text()).get("nameserver", [])
    return tuple(row["address"] for row in rows)


async def _ask_all(
    name: str, addresses: tuple[str, ...], servers: tuple[tuple[str, int], ...], timeout: float
) -> list[Said]:
    client = DnsClient(servers, timeout)
    try:
        calls = (_ask_one(client, index, address, name) for index, address in enumerate(addresses))
        return list(await asyncio.gather(*calls))
    finally:
        client.close()


async def _ask_one(client: DnsClient, server: int, address: str, name: str) -> Said:
    meaning = await _ask(client, server, Question(name, Kind.SRV))
    if not isinstance(meaning, Good):
        return Said(address, describe(meaning))
    lifetimes, records = [meaning.lifetime], []
    for key, rank in meaning.items.items():
        found: list[str] = []
        for kind in (Kind.A, Kind.AAAA):
            question = Question(key.target, kind)  # type: ignore[union-attr]
            said = meaning.extra.get(question)
            if said is None and not (kind is Kind.AAAA and found):
                other = await _ask(client, server, question)
                said = other if isinstance(other, Good) else None
            if said is not None:
                lifetimes.append(said.lifetime)
                found.extend(str(each) for each in said.items)
        records.append(Record(key.target, key.port, rank.priority, rank.weight, sorted(found)))  # type: ignore[union-attr]
    records.sort(key=lambda each: (each.priority, -each.weight, each.target, each.port))
    return Said(address, "listed", min(lifetimes), records)


async def _ask(client: DnsClient, server: int, question: Question) -> Meaning:
    numbers, asked, tcp, edns = count(1), question.name, False, True
    for number in numbers:
        meaning = await client.ask(Ask(number, server, question, asked, tcp, edns))
        if isinstance(meaning, Truncated) and not tcp:
            tcp = True
        elif isinstance(meaning, Unknown) and meaning.plain and edns:
            edns = False
        elif isinstance(meaning, Alias) and number <= MOST_ALIASES:
            asked, tcp = meaning.to, False
        else:
            return meaning
    raise AssertionError("count has no end")


def describe(meaning: Meaning) -> str:
    match meaning:
        case Nothing(why=why):
            return f"nothing: {why}"
        case Unknown(why=why):
            return f"unknown: {why}"
        case Alias(to=to):
            return f"unknown: aliases without an end, at {to}"
        case Truncated():
            return "unknown: truncated"
    return "listed"


def _print(said: list[Said]) -> None:
    head = ("NAMESERVER", "ANSWER", "BOXES", "LIFETIME")
    rows = [
        (
            each.nameserver,
            each.answer,
            len(each.records),
            "-" if each.lifetime is None else f"{each.lifetime} s",
        )
        for each in said
    ]
    print(table([head, *rows]))
    shown: list[list[Record]] = []
    for each in said:
        if not each.records or each.records in shown:
            continue
        shown.append(each.records)
        print(f"\nby {', '.join(other.nameserver for other in said if other.records == each.records)}:")
        columns = ("TARGET", "PORT", "PRIORITY", "WEIGHT", "ADDRESSES")
        print(
            table(
                [columns]
                + [
                    (row.target, row.port, row.priority, row.weight, " ".join(row.addresses) or "-")
                    for row in each.records
                ]
            )
        )
