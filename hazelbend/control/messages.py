"""What control processes say to each other and to routers: msgpack frames. Any message may be lost."""

from __future__ import annotations

import zlib

import msgspec

from hazelbend.consensus.messages import Message as RaftMessage
from hazelbend.consensus.messages import Stamp
from hazelbend.control.load_table import CachedPrefix, LoadUpdate, RouterLoad
from hazelbend.control.workers import WorkerRecord

CACHE_COMPRESSION = 1  # of zlib: the fastest


class PeerHello(msgspec.Struct, frozen=True, tag="Hello"):
    """A control process names itself to another, several times a second."""

    identity: str
    counts_for_quorum: bool = msgspec.field(name="counted")  # whether it may vote
    controls: tuple[str, ...]  # addresses of the control processes that it knows
    leader: str = ""  # identity of the leader, as far as it knows: for those that have no vote
    leaving: bool = False  # it is about to end
    stamp: Stamp | None = None  # its life and time, which the receiver gives back
    answers: Stamp | None = None  # the last stamp that it had from the receiver


class RaftMessages(msgspec.Struct, frozen=True, tag="Agreement"):
    """Messages of the replicated log."""

    messages: tuple[RaftMessage, ...]


class WorkerUpdate(msgspec.Struct, frozen=True, tag="WorkerNews"):
    """Records that the sender has taken. `number` above 0: the sender waits for `WorkerUpdateAck`."""

    number: int
    records: tuple[WorkerRecord, ...]
    ages: dict[str, int] = {}  # microseconds since each was heard
    life: int = 0  # the sender's: numbers hold within one


class WorkerUpdateAck(msgspec.Struct, frozen=True, tag="WorkerNewsTaken"):
    """A counted process holds the records of this number."""

    number: int
    life: int  # of the process that asked
    identity: str  # of the one that holds them
    voters: tuple[str, ...]  # as it knows them


class WorkerAges(msgspec.Struct, frozen=True, tag="Ages"):
    """Microseconds since workers were heard, of those that were heard since the sender's last word; and the
    routers that watch the sender."""

    ages: dict[str, int]
    routers: tuple[str, ...] = ()
    switching: tuple[str, ...] = ()  # instances of which the sender has ordered another part
    digest: int = 0  # of the workers that the sender knows


class WorkerSyncRequest(msgspec.Struct, frozen=True, tag="WorkersWanted"):
    """The sender knows other workers than the receiver: it asks for all that the receiver knows."""


class Watch(msgspec.Struct, frozen=True, tag=True):
    """A router asks for all news from now on; `version`: the configuration that it has."""

    router: str
    version: int
    loads: bool = True  # whether it wants the loads of others here: one of its watches is enough
    caches: bool = True  # whether it wants to know what workers keep: a router that hears of changes knows it


class Ping(msgspec.Struct, frozen=True, tag=True):
    """A router's heartbeat on a watch, with its own time in microseconds."""

    sent_at: int = 0


class Pong(msgspec.Struct, frozen=True, tag=True):
    """The answer to a `Ping`: what this process has in force, and how long ago a majority has confirmed that
    it is the newest. With the ping's time the router knows a time at which that was surely so."""

    sent_at: int  # as in the ping
    version: int
    confirmed_age: int | None  # microseconds; None: not in this life


class ConfigUpdate(msgspec.Struct, frozen=True, tag="ConfigNews"):
    """A configuration in force; `body` is compressed."""

    version: int
    body: bytes


class CacheUpdate(msgspec.Struct, frozen=True, tag="CacheNews"):
    """To a router that knows nothing of them: the parts that workers keep; `body` is compressed. It is by far
    the largest of all that a router is told, so it comes last."""

    body: bytes

    @classmethod
    def of(cls, parts: dict[str, dict[str, int]]) -> CacheUpdate:
        """`parts`: tokens by part by instance."""
        return cls(zlib.compress(_encoder.encode(parts), CACHE_COMPRESSION))

    def cached(self) -> tuple[CachedPrefix, ...]:
        """The parts, as other news tells them.

        Raises:
            msgspec.DecodeError: they can't be read.
        """
        try:
            known = _caches.decode(zlib.decompress(self.body))
        except zlib.error as error:
            raise msgspec.DecodeError(str(error)) from None
        return tuple(
            CachedPrefix(instance, part, tokens)
            for instance, parts in known.items()
            for part, tokens in parts.items()
        )


class FleetStatus(msgspec.Struct, frozen=True, tag="FleetNews"):
    """To routers, now and then: the control processes that are alive (addresses of `portRange`), how many
    routers there are, and microseconds since each worker was heard that is silent."""

    controls: tuple[str, ...]
    routers: int
    silent: dict[str, int]
    switching: tuple[str, ...] = ()  # instances that are changing their part


class SoftState(msgspec.Struct, frozen=True):
    """What a control process keeps for its next start, beside what must last."""

    workers: tuple[WorkerRecord, ...]
    cached: tuple[CachedPrefix, ...]
    routers: int = 1  # the most that there have been


Body = (
    PeerHello
    | RaftMessages
    | WorkerUpdate
    | WorkerUpdateAck
    | WorkerAges
    | WorkerSyncRequest
    | Watch
    | Ping
    | Pong
    | ConfigUpdate
    | FleetStatus
    | RouterLoad
    | LoadUpdate
    | CacheUpdate
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Body)
_caches = msgspec.msgpack.Decoder(dict[str, dict[str, int]])
_soft_states = msgspec.msgpack.Decoder(SoftState)


def encode(body: Body) -> bytes:
    """One frame's content."""
    return _encoder.encode(body)


def encode_soft_state(state: SoftState) -> bytes:
    """The content of its file."""
    return _encoder.encode(state)


def decode_soft_state(content: bytes) -> SoftState:
    """The state in a file.

    Raises:
        msgspec.DecodeError: it is none.
    """
    return _soft_states.decode(content)


def decode(content: bytes) -> Body:
    """The message of a frame.

    Raises:
        msgspec.DecodeError: it is none.
    """
    return _decoder.decode(content)
