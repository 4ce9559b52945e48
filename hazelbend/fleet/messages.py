"""What dispatchers of a fleet say to each other. The bodies of HTTP requests, by msgspec; see record.py for
what each means. Every message can be lost, doubled, late, or out of order."""

from __future__ import annotations

import msgspec


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One fact of the record: a new list of voters, an operation of the machine, or, with neither,
    nothing."""

    term: int
    voters: tuple[str, ...] | None = None
    op: bytes = b""


class Ask(msgspec.Struct, frozen=True, tag=True):
    """For a vote; `pre`: whether it would get one."""

    pre: bool
    last: int
    last_term: int
    handed: bool = False  # the leader itself asked it to stand


class Vote(msgspec.Struct, frozen=True, tag=True):
    granted: bool
    pre: bool


class Put(msgspec.Struct, frozen=True, tag=True):
    """Entries after one that both should hold; without any, a sign of life."""

    before: int
    before_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


class Install(msgspec.Struct, frozen=True, tag=True):
    """The state after an entry, for who is too far behind for the entries."""

    base: int
    base_term: int
    voters: tuple[str, ...]
    state: bytes
    round: int


class Taken(msgspec.Struct, frozen=True, tag=True):
    """`ok`: all up to this index is held as the leader holds it; else up to it may be."""

    ok: bool
    index: int
    round: int


class TimeIsUp(msgspec.Struct, frozen=True, tag=True):
    """Stand for election at once: the leader hands over."""


Body = Ask | Vote | Put | Install | Taken | TimeIsUp


class Message(msgspec.Struct, frozen=True, array_like=True):
    sender: str
    to: str
    epoch: int
    term: int
    body: Body
