"""Messages between control processes, and between them and routers: msgpack frames. Any may be lost.

The tags and field names on the wire are older than the names here, so each class that was renamed pins its
tag, and each field that was renamed its name.
"""

from __future__ import annotations

import zlib

import msgspec

from hazelbend.consensus.messages import Message as RaftMessage
from hazelbend.consensus.messages import Timestamp
from hazelbend.control.load_table import CachedPrefix, LoadUpdate, RouterLoad
from hazelbend.control.workers import WorkerRecord

CACHE_ZLIB_LEVEL = 1  # the fastest


class PeerHello(msgspec.Struct, frozen=True, tag="Hello"):
    """A control process introduces itself to another, several times a second: the heartbeat between peers."""

    identity: str
    counts_for_quorum: bool = msgspec.field(name="counted")  # whether it may vote
    control_addresses: tuple[str, ...] = msgspec.field(name="controls")  # of the processes that it knows
    leader: str = ""  # identity of the leader, as far as it knows: for those that have no vote
    leaving: bool = False  # it is about to end
    stamp: Timestamp | None = None  # its incarnation and time, which the receiver echoes
    echoed_stamp: Timestamp | None = msgspec.field(default=None, name="answers")  # the receiver's last stamp


class RaftMessages(msgspec.Struct, frozen=True, tag="Agreement"):
    """Messages of the replicated log."""

    messages: tuple[RaftMessage, ...]


class WorkerUpdate(msgspec.Struct, frozen=True, tag="WorkerNews"):
    """Records that the sender has taken. If `request_id` is above 0, it waits for a `WorkerUpdateAck`."""

    request_id: int = msgspec.field(name="number")
    records: tuple[WorkerRecord, ...]
    ages: dict[str, int] = {}  # microseconds since each worker was heard
    incarnation: int = msgspec.field(default=0, name="life")  # the sender's: request ids hold within one


class WorkerUpdateAck(msgspec.Struct, frozen=True, tag="WorkerNewsTaken"):
    """A process that counts for the quorum holds the records of this request."""

    request_id: int = msgspec.field(name="number")
    incarnation: int = msgspec.field(name="life")  # of the process that asked
    identity: str  # of the process that holds them
    voters: tuple[str, ...]  # as the holder knows them


class WorkerAges(msgspec.Struct, frozen=True, tag="Ages"):
    """Microseconds since workers were heard, of those heard since the sender's last `WorkerAges`.

    It also names the routers that watch the sender.
    """

    ages: dict[str, int]
    routers: tuple[str, ...] = ()
    switching: tuple[str, ...] = ()  # instances that the sender has ordered to another phase
    digest: int = 0  # over the workers that the sender knows


class WorkerSyncRequest(msgspec.Struct, frozen=True, tag="WorkersWanted"):
    """The sender knows other workers than the receiver: it requests all that the receiver knows."""


class SubscribeRequest(msgspec.Struct, frozen=True, tag="Watch"):
    """A router subscribes to all updates; `version`: of the configuration that it has."""

    router: str
    version: int
    loads: bool = True  # whether it wants the loads of others here: one of its subscriptions is enough
    caches: bool = True  # whether it wants the workers' cached prefixes: not if it has followed the changes


class Ping(msgspec.Struct, frozen=True, tag=True):
    """A router's heartbeat on a subscription, with its own time in microseconds."""

    sent_at: int = 0


class Pong(msgspec.Struct, frozen=True, tag=True):
    """The answer to a `Ping`: the version in force here, and when a majority confirmed that it is the newest.

    With the time of its ping the router knows a time at which that was surely so.
    """

    sent_at: int  # as in the ping
    version: int
    confirmed_age: int | None  # microseconds; None: not in this incarnation


class ConfigUpdate(msgspec.Struct, frozen=True, tag="ConfigNews"):
    """A configuration in force; `body` is compressed."""

    version: int
    body: bytes


class CacheUpdate(msgspec.Struct, frozen=True, tag="CacheNews"):
    """To a router that knows none of them: the prefixes in workers' caches; `body` is compressed.

    It is by far the largest message to a router, so it is sent last.
    """

    body: bytes

    @classmethod
    def from_prefixes(cls, prefixes: dict[str, dict[str, int]]) -> CacheUpdate:
        """Build the message. `prefixes`: tokens by prefix by instance."""
        return cls(zlib.compress(_encoder.encode(prefixes), CACHE_ZLIB_LEVEL))

    def cached_prefixes(self) -> tuple[CachedPrefix, ...]:
        """The prefixes, as a `LoadUpdate` lists them.

        Raises:
            msgspec.DecodeError: the body can't be decompressed or decoded.
        """
        try:
            by_instance = _prefix_decoder.decode(zlib.decompress(self.body))
        except zlib.error as error:
            raise msgspec.DecodeError(str(error)) from None
        return tuple(
            CachedPrefix(instance, prefix_id, tokens)
            for instance, prefixes in by_instance.items()
            for prefix_id, tokens in prefixes.items()
        )


class FleetStatus(msgspec.Struct, frozen=True, tag="FleetNews"):
    """To routers, periodically: control processes that are alive, the number of routers, silent workers."""

    control_addresses: tuple[str, ...] = msgspec.field(name="controls")
    routers: int
    silent_ages_us: dict[str, int] = msgspec.field(name="silent")  # by instance: since it was heard
    switching: tuple[str, ...] = ()  # instances that are changing their phase


class SoftState(msgspec.Struct, frozen=True):
    """What a control process caches on its disk for its next start; it may be lost without harm."""

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
    | SubscribeRequest
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
_prefix_decoder = msgspec.msgpack.Decoder(dict[str, dict[str, int]])
_soft_state_decoder = msgspec.msgpack.Decoder(SoftState)


def encode(body: Body) -> bytes:
    """The content of one frame."""
    return _encoder.encode(body)


def decode(content: bytes) -> Body:
    """The message in a frame.

    Raises:
        msgspec.DecodeError: it is no message.
    """
    return _decoder.decode(content)


def encode_soft_state(state: SoftState) -> bytes:
    """The content of the soft state's file."""
    return _encoder.encode(state)


def decode_soft_state(content: bytes) -> SoftState:
    """The soft state in a file.

    Raises:
        msgspec.DecodeError: the content is no soft state.
    """
    return _soft_state_decoder.decode(content)
