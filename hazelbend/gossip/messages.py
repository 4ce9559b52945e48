"""Messages that fleet members exchange by gossip (SWIM).

The wire format is msgpack. The tags and field names on it are older than the names used here, so the classes
pin them: members of two versions share one fleet during an upgrade.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import msgspec


class MemberStatus(IntEnum):
    """What a process believes of a member. Of two updates with one incarnation the higher status wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MembershipUpdate(msgspec.Struct, frozen=True, array_like=True):
    """One statement about a member, disseminated by piggybacking on other messages.

    `member` is an identity. `by` is the identity of the process that makes the statement: several processes
    that suspect the same member shorten its suspicion.
    """

    member: str
    incarnation: int
    status: MemberStatus
    by: str = ""


class Ping(msgspec.Struct, frozen=True, tag="Probe"):
    """SWIM's `ping`, or its `ping-req` if `target` is set.

    A `ping-req` asks the receiver to ping `target` and to relay the ack. The sender chooses the sequence
    number; the `Ack` returns it.
    """

    sequence_number: int = msgspec.field(name="number")
    target: str = ""


class Ack(msgspec.Struct, frozen=True, tag="Answer"):
    """Answer to a `Ping`.

    `ok` is False for a nack (Lifeguard): the relay of a `ping-req` has no ack yet, but is itself reachable.
    """

    sequence_number: int = msgspec.field(name="number")
    ok: bool = True


class FullState(msgspec.Struct, frozen=True, tag="Whole"):
    """Anti-entropy: the packet's updates are the sender's complete member table.

    With `reply_wanted` the receiver sends its own table back. The same exchange joins a fleet at a seed.
    """

    reply_wanted: bool = msgspec.field(name="answer")


PacketBody = Ping | Ack | FullState


class LeaderHint(NamedTuple):
    """The newest leader that a process has heard of, for members that do not vote."""

    epoch: int
    term: int
    leader: str


NO_LEADER = LeaderHint(0, 0, "")


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """One message between two members. Only the order of the fields counts on the wire.

    `to` is an identity, or only an address while no member there is known.
    """

    fleet: str
    sender: str
    to: str
    body: PacketBody
    updates: tuple[MembershipUpdate, ...] = ()
    leader_hint: LeaderHint = NO_LEADER
