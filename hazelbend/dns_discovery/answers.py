"""Questions and the results of queries, as plain values. `protocol/dns.py` decodes them from messages.

A query has one of these results:

    PositiveAnswer    records and their TTL
    NegativeAnswer    the server reports that there are no records: NXDOMAIN or NODATA (RFC 2308), or an SRV
                      target of "." (RFC 2782). It counts as a vote like a positive answer, see `quorum`
    CnameAlias        a CNAME that the server did not follow; the resolver queries its target next
    TruncatedAnswer   the answer was truncated; the resolver repeats the query over TCP (RFC 7766)
    QueryFailure      anything else: SERVFAIL, REFUSED, FORMERR, a timeout, a malformed message, a lame
                      server or an endless CNAME chain. It gives no information about the records, so the
                      accepted ones stay
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import lru_cache
from typing import TypeAlias

import dns.exception
import dns.name

MAX_CNAME_CHAIN = 8
CANONICAL_NAME_CACHE_SIZE = 65_536


class RecordType(Enum):
    """The record types that are queried, with their numbers (RFC 1035, RFC 3596, RFC 2782)."""

    SRV = 33
    A = 1
    AAAA = 28


ADDRESS_TYPES = (RecordType.A, RecordType.AAAA)


@lru_cache(CANONICAL_NAME_CACHE_SIZE)
def canonical_name(name: str) -> str:
    """Return the name in lower case, without the final dot.

    Raises:
        ValueError: the text is not a domain name.
    """
    try:
        parsed = dns.name.from_text(name)
    except (dns.exception.DNSException, UnicodeError) as error:
        raise ValueError(str(error) or "no name") from None
    return parsed.canonicalize().to_text(omit_final_dot=True)


@dataclass(slots=True, frozen=True)
class Question:
    """A name and the record type that is queried for it."""

    name: str  # canonical
    record_type: RecordType

    def __str__(self) -> str:
        return f"{self.name} {self.record_type.name}"


@dataclass(slots=True, frozen=True, order=True)
class EndpointKey:
    """The target and port by which an SRV record identifies an endpoint."""

    target: str  # canonical
    port: int

    def __str__(self) -> str:
        return f"{self.target}:{self.port}"


@dataclass(slots=True, frozen=True)
class SrvPreference:
    """Priority and weight of an SRV record (RFC 2782).

    The lowest priority number is preferred. Endpoints with the same priority share the load by weight.
    """

    priority: int
    weight: int


# For SRV: from EndpointKey to SrvPreference. For A and AAAA: from address to None.
Records: TypeAlias = Mapping[EndpointKey, SrvPreference] | Mapping[str, None]


@dataclass(slots=True, frozen=True)
class PositiveAnswer:
    """Records, and the addresses of their targets if the additional section has them."""

    records: Records
    ttl_s: int  # as the server sent it
    additional: Mapping[Question, PositiveAnswer] = field(default_factory=dict)  # only in-bailiwick addresses


@dataclass(slots=True, frozen=True)
class NegativeAnswer:
    """The server reports that there are no such records."""

    reason: str
    ttl_s: int = 0


@dataclass(slots=True, frozen=True)
class CnameAlias:
    """The name is an alias of another name, for which the server sent no records."""

    target: str


@dataclass(slots=True, frozen=True)
class TruncatedAnswer:
    """The answer did not fit into a datagram."""


@dataclass(slots=True, frozen=True)
class QueryFailure:
    """The query gave no information about the records."""

    reason: str
    server_unreachable: bool = False  # the server did not respond, or refused to serve this client
    edns_suspected: bool = False  # the server may not support EDNS (RFC 6891, section 7)


QueryResult: TypeAlias = PositiveAnswer | NegativeAnswer | CnameAlias | TruncatedAnswer | QueryFailure
