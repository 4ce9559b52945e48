"""Bodies of the calls between dispatchers of a fleet, in msgpack."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from hazelbend.consensus.messages import Message
from hazelbend.gossip.messages import Packet
from hazelbend.leases.lease_node import PeerMessage, Reply
from hazelbend.leases.operations import Operation
from hazelbend.leases.views import FleetView

CONTENT_TYPE = "application/msgpack"
FORCE_NEW_EPOCH = b"anyway"

_encoder = msgspec.msgpack.Encoder()
# Packets and consensus messages are both arrays: which is which is told by the part of the pair.
_peer_messages = msgspec.msgpack.Decoder(tuple[tuple[Packet, ...], tuple[Message, ...]])
_operations = msgspec.msgpack.Decoder(Operation)
_replies = msgspec.msgpack.Decoder(Reply)
_views = msgspec.msgpack.Decoder(FleetView)


def encode(value: object) -> bytes:
    """An operation, a reply or a view."""
    return _encoder.encode(value)


def encode_peer_messages(messages: Sequence[PeerMessage]) -> bytes:
    """Body of `tell`: gossip packets and consensus messages, each in their order."""
    packets = [message for message in messages if isinstance(message, Packet)]
    consensus = [message for message in messages if isinstance(message, Message)]
    return _encoder.encode((packets, consensus))


def decode_peer_messages(body: bytes) -> list[PeerMessage]:
    """Body of `tell`. Raises msgspec.DecodeError, as all of these do."""
    packets, consensus = _peer_messages.decode(body)
    return [*packets, *consensus]


def decode_operation(body: bytes) -> Operation:
    """Body of `ask`."""
    return _operations.decode(body)


def decode_reply(body: bytes) -> Reply:
    """Answer to `ask`."""
    return _replies.decode(body)


def decode_view(body: bytes) -> FleetView:
    """Answer to `view`."""
    return _views.decode(body)
