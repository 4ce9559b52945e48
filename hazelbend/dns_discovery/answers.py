"""Questions and what their answers mean, as plain values. protocol/dns.py makes them from bytes.

An answer is one of:

    Good       records, and how long they hold
    Nothing    the server says that there are none: NXDOMAIN, NODATA (RFC 2308), or the target "." (RFC 2782).
               It is a vote like any other: quorum.py
    Alias      a CNAME that the server did not follow; it is asked for next
    Truncated  ask again over TCP (RFC 7766)
    Unknown    anything else: SERVFAIL, REFUSED, FORMERR, a time-out, cut or malformed bytes, a lame server, a
               chain of aliases without an end. It says nothing of the records: the last good answer stands
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import lru_cache
from typing import TypeAlias

import dns.exception
import dns.name

MOST_ALIASES = 8  # of a chain


class Kind(Enum):
    SRV = 33
    A = 1
    AAAA = 28


@lru_cache(65_536)
def canonical(name: str) -> str:
    """Lower case, without the last dot. ValueError if it is no name."""
    try:
        found = dns.name.from_text(name)
    except (dns.exception.DNSException, UnicodeError) as error:
        raise ValueError(str(error) or "no name") from None
    return found.canonicalize().to_text(omit_final_dot=True)


@dataclass(slots=True, frozen=True)
class Question:
    name: str  # canonical
    kind: Kind

    def __str__(self) -> str:
        return f"{self.name} {self.kind.name}"


@dataclass(slots=True, frozen=True, order=True)
class BoxKey:
    """A box as SRV names it."""

    target: str  # canonical
    port: int

    def __str__(self) -> str:
        return f"{self.target}:{self.port}"


@dataclass(slots=True, frozen=True)
class Rank:
    """RFC 2782: the lowest priority first; of equal ones, shares by weight."""

    priority: int
    weight: int


# SRV: a BoxKey to its Rank. A and AAAA: an address to None.
Items: TypeAlias = Mapping[BoxKey, Rank] | Mapping[str, None]


@dataclass(slots=True, frozen=True)
class Good:
    items: Items
    lifetime: int  # seconds, as the server says
    extra: Mapping[Question, Good] = field(default_factory=dict)  # addresses of targets, in bailiwick


@dataclass(slots=True, frozen=True)
class Nothing:
    why: str
    lifetime: int = 0


@dataclass(slots=True, frozen=True)
class Alias:
    to: str


@dataclass(slots=True, frozen=True)
class Truncated:
    pass


@dataclass(slots=True, frozen=True)
class Unknown:
    why: str
    unreachable: bool = False  # the server itself was not heard, or will not speak to us
    plain: bool = False  # it may be that it does not know EDNS


Meaning: TypeAlias = Good | Nothing | Alias | Truncated | Unknown
