"""Faults that the fake nameserver can simulate, and the corruption of responses for faults on the wire."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

import dns.rrset

HEADER_BYTES = 12  # of a DNS message (RFC 1035, section 4.1.1)
TYPE_AND_CLASS_BYTES = 4  # after the name in a question
GARBAGE_BYTES = 60
COMPRESSION_POINTER = 0xC000  # the two high bits of a pointer (RFC 1035, section 4.1.4)


class FaultKind(StrEnum):
    """The kinds of faults."""

    TRUNCATED = "truncated"
    """Over UDP a response with the TC flag and no records."""
    TRUNCATED_ALWAYS = "truncated-always"
    """As TRUNCATED, but over TCP as well."""
    SERVFAIL = "servfail"
    REFUSED = "refused"
    FORMERR = "formerr"
    FORMERR_EDNS = "formerr-edns"
    """FORMERR, but only to queries with EDNS."""
    NXDOMAIN = "nxdomain"
    EMPTY = "empty"
    """The name exists, but has no records of the queried type (NODATA)."""
    LAME = "lame"
    """An answer without the AA flag."""
    REFERRAL = "referral"
    ALIAS_LOOP = "alias-loop"
    """A CNAME to the name itself."""
    ALIAS_AWAY = "alias-away"
    """A CNAME that leaves the zone."""
    SILENT = "silent"
    SLOW = "slow"
    WRONG_ID = "wrong-id"
    WRONG_QUESTION = "wrong-question"
    WRONG_CASE = "wrong-case"
    """The response repeats the question with the case of its letters swapped (0x20 encoding)."""
    GARBAGE = "garbage"
    CUT = "cut"
    """The last third of the message is missing."""
    COMPRESSION_LOOP = "compression-loop"
    HALF_TCP = "half-tcp"
    """Truncated over UDP. Over TCP half of the message is sent, then the connection is closed."""
    CLOSE_TCP = "close-tcp"
    """Truncated over UDP. Over TCP the connection is closed without a response."""
    OVERSIZED = "oversized"
    """More records than fit into a UDP message."""


@dataclass(slots=True)
class Fault:
    """A fault, and the queries to which it applies."""

    kind: str
    """A `FaultKind`, or the value of one."""
    name: str = ""
    """The name in the question, in lower case; "" for any name."""
    record_type: str = ""
    """The type in the question, such as "SRV"; "" for any type."""
    remaining: int | None = None
    """The number of further queries to which it applies; None for no limit."""
    delay_s: float = 0.0
    """The delay of a response for `FaultKind.SLOW`."""
    share: float = 1.0
    """The fraction of the matching queries to which it applies, evenly spread."""
    _matches: int = 0

    def __post_init__(self) -> None:
        """Convert the kind.

        Raises:
            ValueError: the kind is not a `FaultKind`.
        """
        self.kind = FaultKind(self.kind)

    def applies_to(self, name: str, record_type: str) -> bool:
        """Count a query, and return whether the fault applies to it."""
        if self.remaining == 0 or self.name not in ("", name) or self.record_type not in ("", record_type):
            return False
        self._matches += 1
        if int(self._matches * self.share) == int((self._matches - 1) * self.share):
            return False
        if self.remaining is not None:
            self.remaining -= 1
        return True


def corrupt(message: bytes, kind: str | None, question: dns.rrset.RRset) -> bytes:
    """Return the message with this fault; unchanged if the fault does not corrupt messages."""
    question_end = HEADER_BYTES + len(question.name.to_wire() or b"")
    match kind:
        case FaultKind.WRONG_ID:
            message = ((int.from_bytes(message[:2]) + 1) % 65_536).to_bytes(2) + message[2:]
        case FaultKind.WRONG_QUESTION:
            # Change one byte of the first label, which gives another name of the same length.
            first = HEADER_BYTES + 1
            message = message[:first] + bytes([message[first] ^ 0x01]) + message[first + 1 :]
        case FaultKind.WRONG_CASE:
            name = message[HEADER_BYTES:question_end]
            message = message[:HEADER_BYTES] + name.swapcase() + message[question_end:]
        case FaultKind.GARBAGE:
            message = message[:2] + bytes((7 * index + 13) % 256 for index in range(GARBAGE_BYTES))
        case FaultKind.CUT:
            message = message[: max(len(message) * 2 // 3, HEADER_BYTES + 1)]
        case FaultKind.COMPRESSION_LOOP:
            message = _with_compression_loop(message, question_end + TYPE_AND_CLASS_BYTES)
    return message


def _with_compression_loop(message: bytes, answer_offset: int) -> bytes:
    """Return the message with one SRV record instead of its own, whose owner is a pointer to itself."""
    flags_and_counts = b"\x84\x00" + b"\x00\x01\x00\x01\x00\x00\x00\x00"  # authoritative, one answer
    owner = (COMPRESSION_POINTER | answer_offset).to_bytes(2)
    type_to_data = b"\x00\x21\x00\x01\x00\x00\x00\x1e\x00\x02\xc0\x0c"
    question = message[HEADER_BYTES:answer_offset]
    return message[:2] + flags_and_counts + question + owner + type_to_data
