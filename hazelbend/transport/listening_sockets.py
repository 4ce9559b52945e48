"""Options of listening sockets: how many connections wait in the kernel, and what it receives for each."""

from __future__ import annotations

import socket

from hazelbend.transport.connection_memory import SMALL_RECEIVE_BUFFER_BYTES, bound_receive_buffer

# asyncio uses one number for both the backlog and the accepts in one iteration of the event loop. Few are
# accepted at once, so that connections above a limit can be closed in between; many may wait.
ACCEPTS_PER_TURN = 16


def prepare_listener(
    listening: socket.socket, backlog: int, receive_buffer_bytes: int = SMALL_RECEIVE_BUFFER_BYTES
) -> None:
    """Let `backlog` connections wait, with receive buffers of this size (a value of SO_RCVBUF).

    `listening` may be a socket of an asyncio server, which allows neither.
    """
    with socket.socket(fileno=socket.dup(listening.fileno())) as duplicate:
        bound_receive_buffer(duplicate, receive_buffer_bytes)
        duplicate.listen(backlog)
