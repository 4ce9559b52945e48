"""Encodes the bodies of the calls between the dispatchers of a fleet in msgpack."""

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
# Gossip packets and consensus messages are both arrays, so their position in the pair distinguishes them.
_peer_messages = msgspec.msgpack.Decoder(tuple[tuple[Packet, ...], tuple[Message, ...]])
_operations = msgspec.msgpack.Decoder(Operation)
_replies = msgspec.msgpack.Decoder(Reply)
_views = msgspec.msgpack.Decoder(FleetView)


def encode(value: object) -> bytes:
    """Encode an operation, a reply or a view."""
    return _encoder.encode(value)


def encode_peer_messages(messages: Sequence[PeerMessage]) -> bytes:
    """Encode the body of `tell`: gossip packets and consensus messages, each in their original order."""
    packets = [message for message in messages if isinstance(message, Packet)]
    consensus = [message for message in messages if isinstance(message, Message)]
    return _encoder.encode((packets, consensus))


def decode_peer_messages(body: bytes) -> list[PeerMessage]:
    """Decode the body of `tell`. Like all of these functions, raises msgspec.DecodeError."""
    packets, consensus = _peer_messages.decode(body)
    return [*packets, *consensus]


def decode_operation(body: bytes) -> Operation:
    """Decode the body of `ask`."""
    return _operations.decode(body)


def decode_reply(body: bytes) -> Reply:
    """Decode the response to `ask`."""
    return _replies.decode(body)


def decode_view(body: bytes) -> FleetView:
    """Decode the response to `view`."""
    return _views.decode(body)
