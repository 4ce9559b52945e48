"""Messages between control processes, and between them and routers: msgpack frames. Any message can be lost.

Renamed classes pin the tag, and renamed fields pin the name, that earlier versions use on the wire.
"""

from __future__ import annotations

import zlib

import msgspec

from hazelbend.consensus.messages import Message as RaftMessage
from hazelbend.consensus.messages import Timestamp
from hazelbend.control.load_table import CachedPrefix, LoadUpdate, RouterLoad
from hazelbend.control.workers import WorkerRecord

CACHE_ZLIB_LEVEL = 1  # the fastest level


class PeerHello(msgspec.Struct, frozen=True, tag="Hello"):
    """The heartbeat between control processes, sent several times a second."""

    identity: str
    counts_for_quorum: bool = msgspec.field(name="counted")  # whether the sender may vote
    control_addresses: tuple[str, ...] = msgspec.field(name="controls")  # of the processes the sender knows
    leader: str = ""  # identity of the leader that the sender knows, for receivers that have no vote
    leaving: bool = False  # whether the sender is about to shut down
    stamp: Timestamp | None = None  # the sender's incarnation and time, which the receiver echoes
    echoed_stamp: Timestamp | None = msgspec.field(default=None, name="answers")  # the receiver's last stamp


class RaftMessages(msgspec.Struct, frozen=True, tag="Agreement"):
    """Messages of the replicated log."""

    messages: tuple[RaftMessage, ...]


class SnapshotSource(msgspec.Struct, frozen=True):
    """Identifies the sender of a snapshot of all worker records; see `worker_recovery`."""

    identity: str
    voters: tuple[str, ...]  # the voter list that the sender knows
    receiver_incarnation: int  # the run of the receiver of which the sender had a hello before the snapshot


class WorkerUpdate(msgspec.Struct, frozen=True, tag="WorkerNews"):
    """Changed worker records. If `request_id` is above 0, the sender waits for a `WorkerUpdateAck`."""

    request_id: int = msgspec.field(name="number")
    records: tuple[WorkerRecord, ...]
    ages: dict[str, int] = {}  # microseconds since each worker's last heartbeat
    # Of the sender; request ids are unique within one incarnation.
    incarnation: int = msgspec.field(default=0, name="life")
    # In a snapshot of all records that a recovery may count. Left out otherwise.
    source: SnapshotSource | msgspec.UnsetType = msgspec.UNSET
    # To routers; left out by earlier releases:
    expired: tuple[str, ...] | msgspec.UnsetType = msgspec.UNSET  # instances that the sender has removed
    complete: bool | msgspec.UnsetType = msgspec.UNSET  # whether these are all records of the sender


class WorkerUpdateAck(msgspec.Struct, frozen=True, tag="WorkerNewsTaken"):
    """Acknowledges that a process that counts for the quorum has stored the records of a `WorkerUpdate`."""

    request_id: int = msgspec.field(name="number")
    incarnation: int = msgspec.field(name="life")  # of the process that sent the update
    identity: str  # of the process that holds the records
    voters: tuple[str, ...]  # the voter list that the holder knows


class WorkerAges(msgspec.Struct, frozen=True, tag="Ages"):
    """Ages of the last heartbeats of all workers with a heartbeat since the sender's last `WorkerAges`."""

    ages: dict[str, int]  # microseconds, by instance
    routers: tuple[str, ...] = ()  # routers that are subscribed to the sender
    switching: tuple[str, ...] = ()  # instances that the sender has ordered to switch to another phase
    digest: int = 0  # of the worker records that the sender holds


class WorkerSyncRequest(msgspec.Struct, frozen=True, tag="WorkersWanted"):
    """Requests all worker records of the receiver, because they differ from those of a peer or a router."""


class SubscribeRequest(msgspec.Struct, frozen=True, tag="Watch"):
    """A router subscribes to all updates. `version`: of the configuration that it has."""

    router: str
    version: int
    loads: bool = True  # whether to send the loads of other routers; one of its subscriptions is enough
    caches: bool = True  # whether to send all cached prefixes; a router that received every change has them


class Ping(msgspec.Struct, frozen=True, tag=True):
    """A router's heartbeat on a subscription, with the router's time in microseconds."""

    sent_at: int = 0
    # Of the configuration in force; earlier releases send none.
    version: int | msgspec.UnsetType = msgspec.UNSET


class Pong(msgspec.Struct, frozen=True, tag=True):
    """The answer to a `Ping`: the configuration version of the sender, and the age of its confirmation.

    From the time of its ping and the age, the router computes a time at which that version was the newest.
    """

    sent_at: int  # copied from the ping
    version: int
    # Microseconds since a majority confirmed that the version is the newest; None: not in this incarnation.
    confirmed_age: int | None


class ConfigUpdate(msgspec.Struct, frozen=True, tag="ConfigNews"):
    """A committed configuration; `body` is compressed."""

    version: int
    body: bytes


class CacheUpdate(msgspec.Struct, frozen=True, tag="CacheNews"):
    """To a router that has none of them: all prefixes in workers' caches; `body` is compressed.

    This is by far the largest message to a router, so it is sent last.
    """

    body: bytes

    @classmethod
    def from_prefixes(cls, prefixes: dict[str, dict[str, int]]) -> CacheUpdate:
        """Build the message. `prefixes`: tokens by prefix by instance."""
        return cls(zlib.compress(_encoder.encode(prefixes), CACHE_ZLIB_LEVEL))

    def cached_prefixes(self) -> tuple[CachedPrefix, ...]:
        """The prefixes in the form of `LoadUpdate.cached`.

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


class RegistryStatus(msgspec.Struct, frozen=True):
    """The worker registry of a control process, for the comparison with a router's replica of it."""

    digest: int  # of the records that the process reports to routers
    knows_all: bool  # whether a worker without a record there has expired


class FleetStatus(msgspec.Struct, frozen=True, tag="FleetNews"):
    """To routers, periodically: the alive control processes, the number of routers, silent workers."""

    control_addresses: tuple[str, ...] = msgspec.field(name="controls")
    routers: int
    silent_ages_us: dict[str, int] = msgspec.field(name="silent")  # by instance: since the last heartbeat
    switching: tuple[str, ...] = ()  # instances that are switching to another phase
    # Left out by earlier releases, and by a process that has started and does not report all workers yet.
    registry: RegistryStatus | msgspec.UnsetType = msgspec.UNSET


class SoftState(msgspec.Struct, frozen=True):
    """State that a control process saves for its next start. Losing it does no harm."""

    workers: tuple[WorkerRecord, ...]
    cached: tuple[CachedPrefix, ...]
    routers: int = 1  # the highest number of routers at one time


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
    """Encode a message as the content of one frame."""
    return _encoder.encode(body)


def decode(content: bytes) -> Body:
    """Decode the message in a frame.

    Raises:
        msgspec.DecodeError: the content is not a valid message.
    """
    return _decoder.decode(content)


def encode_soft_state(state: SoftState) -> bytes:
    """Encode the soft state as the content of its file."""
    return _encoder.encode(state)


def decode_soft_state(content: bytes) -> SoftState:
    """Decode the soft state from the content of its file.

    Raises:
        msgspec.DecodeError: the content is not a valid soft state.
    """
    return _soft_state_decoder.decode(content)
