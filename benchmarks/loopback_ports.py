"""Reserves TCP ports on loopback for processes that are started later, a different one for each caller.

If a port were only checked to be free, another test process could pick it before the first one's program
listens on it. Therefore a port is reserved by a socket that is bound to it and does not listen. A program can
still bind the port, as servers set SO_REUSEADDR (Linux allows that unless a socket listens); another
reservation binds without that option and fails.
"""

from __future__ import annotations

import random
import socket
from collections import deque

# Outside the kernel's ephemeral range (on Linux 32768 to 60999): a port from there could go to any outgoing
# connection before the program has bound it.
FIRST_PORT = 20_000
LAST_PORT = 32_767
MAX_RESERVED_PORTS = 1_024  # per process; the oldest is released, long after its program was started


class LoopbackPorts:
    """The reservations of one process; they end with the process."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._reservations: deque[socket.socket] = deque(maxlen=MAX_RESERVED_PORTS)

    def reserve(self, host: str) -> int:
        """Reserve a random port that no process listens on and no other process has reserved."""
        while True:
            port = self._random.randint(FIRST_PORT, LAST_PORT)
            reservation = socket.socket()
            try:
                reservation.bind((host, port))
            except OSError:
                reservation.close()
                continue
            # Set after the bind: with this option the bind would succeed despite another reservation.
            reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._reservations.append(reservation)
            return port


_ports = LoopbackPorts(random.SystemRandom())  # does not consume draws of seeded generators


def free_port(host: str = "127.0.0.1") -> int:
    """Reserve a TCP port for a program that is started later, until this process ends."""
    return _ports.reserve(host)
