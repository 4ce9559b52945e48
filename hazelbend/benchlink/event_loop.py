"""Reads batches of events from standard input, and writes replies with actions to standard output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from hazelbend.benchlink import records
from hazelbend.benchlink.decoder import Decoder
from hazelbend.benchlink.encoder import encode_failure, encode_reply
from hazelbend.benchlink.errors import InstanceFailedError, MalformedInputError
from hazelbend.benchlink.instances import InstanceTable


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Write one reply for each batch, until the input ends between two batches.

    Raises:
        MalformedInputError: the input violates the protocol; the text names the batch.
    """
    decoder = Decoder()
    instances = InstanceTable()
    batch = 0
    while header := source.read(records.BATCH_HEADER.size):
        try:
            reply = _reply_to_batch(header, source, decoder, instances)
        except MalformedInputError as error:
            raise MalformedInputError(f"batch {batch}, {error}") from None
        except InstanceFailedError as failure:
            reply = encode_failure(failure.instance, str(failure))
        sink.write(reply)
        sink.flush()
        batch += 1


def _reply_to_batch(header: bytes, source: BinaryIO, decoder: Decoder, instances: InstanceTable) -> bytes:
    if len(header) < records.BATCH_HEADER.size:
        raise MalformedInputError(f"header: input ends after {len(header)} bytes")
    count, size, now = records.BATCH_HEADER.unpack(header)
    body = source.read(size)
    if len(body) < size:
        raise MalformedInputError(f"body: input ends after {len(body)} of {size} bytes")
    messages = decoder.decode(count, body)
    return encode_reply(instances.handle_batch(messages, now))


def main() -> int:
    """Run until the input ends, and return the exit status. Malformed input gives one line on stderr."""
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedInputError as error:
        print(f"hazelbend: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:  # the simulator has ended
        return 1
    return 0
