"""Messages that fleet members exchange by gossip (SWIM).

The wire format is msgpack. The classes pin the tags and field names of earlier versions, because members of
two versions share one fleet during an upgrade.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import msgspec


class MemberStatus(IntEnum):
    """The status of a member. Of updates with the same incarnation the one with the higher status wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MembershipUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The status of one member as one process reports it, piggybacked on other messages.

    `member` is an identity. `by` is the identity of the reporting process: reports of several processes that
    suspect the same member shorten its suspicion timeout.
    """

    member: str
    incarnation: int
    status: MemberStatus
    by: str = ""


class Ping(msgspec.Struct, frozen=True, tag="Probe"):
    """SWIM's `ping`, or its `ping-req` if `target` is set.

    A `ping-req` requests that the receiver pings `target` and relays the ack. The sender chooses the sequence
    number; the `Ack` returns it.
    """

    sequence_number: int = msgspec.field(name="number")
    target: str = ""


class Ack(msgspec.Struct, frozen=True, tag="Answer"):
    """The answer to a `Ping`.

    `ok` is False for a nack (Lifeguard): the relay of a `ping-req` is reachable but has received no ack yet.
    """

    sequence_number: int = msgspec.field(name="number")
    ok: bool = True


class FullState(msgspec.Struct, frozen=True, tag="Whole"):
    """Anti-entropy: the packet's updates are the sender's complete member table.

    With `reply_wanted` the receiver sends its own table back. A new member joins the fleet by the same
    exchange with a seed.
    """

    reply_wanted: bool = msgspec.field(name="answer")


PacketBody = Ping | Ack | FullState


class LeaderHint(NamedTuple):
    """The newest leader that a process knows of, disseminated to members that do not vote."""

    epoch: int
    term: int
    leader: str


NO_LEADER = LeaderHint(0, 0, "")


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """One message between two members. It is encoded as an array, in the order of the fields.

    `to` is an identity, or only an address if the identity at that address is not known.
    """

    fleet: str
    sender: str
    to: str
    body: PacketBody
    updates: tuple[MembershipUpdate, ...] = ()
    leader_hint: LeaderHint = NO_LEADER
