"""A clients' address that can be emptied: new connections are still served, and none is kept."""

from __future__ import annotations

import math

from hazelbend.transport.http.client_connection import ClientConnection
from hazelbend.transport.http.http_listener import HttpListener


class DrainingListener(HttpListener):
    """While it is being emptied, connections that come are still served, and none is kept: each closes with
    its next answer, and one that has been used and is idle closes by itself once clients know.
    """

    def __init__(self, limit: int) -> None:
        super().__init__(limit)
        self.leaving = False
        self.emptying = False
        self.idle_until = self.part_until = math.inf  # loop time from which such connections are closed

    @property
    def takes_clients(self) -> bool:
        """Whether clients should come."""
        return self._listener is not None and not self.emptying and not self.leaving

    @property
    def keeps_connections(self) -> bool:
        """Whether a connection may stay open after its answer."""
        # Over its share of the descriptors, connections are not kept: new ones and servers need room.
        return not (self.leaving or self.emptying or self.connections > self.limit)

    def stop_listening(self) -> None:
        """The listener is another process's from now on; what was accepted here is served here."""
        super().stop_accepting()

    def empty(self, idle_until: float, part_until: float) -> None:
        """Send clients away. `idle_until`: loop time from which idle connections close; `part_until`: from
        which those close too that have not sent a whole request."""
        self.emptying, self.idle_until, self.part_until = True, idle_until, part_until

    def keep_late_connections(self) -> None:
        """New connections have their whole time again; none is kept after its answer still."""
        self.part_until = math.inf

    def refill(self) -> None:
        """Take clients again."""
        self.emptying, self.idle_until, self.part_until = False, math.inf, math.inf

    def stop_accepting(self) -> None:
        """No new connections; idle ones close, the others after their answer. One that has sent nothing
        yet is no idle one: its first request may be on its way, and a close without an answer would lose
        it."""
        self.leaving = True
        super().stop_accepting()
        for connection in list(self._open):
            if connection.asked or connection.bad:
                connection.close_if_idle()

    def _look(self, connection: ClientConnection, now: float) -> None:
        if now >= self.part_until and connection.part and connection.due is not None:
            connection.due = min(connection.due, now)
        connection.look(now)
        # One that has sent nothing yet is no kept one: its first request may be on its way.
        until = self.idle_until if connection.asked or connection.bad else self.part_until
        if now >= until:
            connection.close_if_idle()
