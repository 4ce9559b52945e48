"""A listener for clients that can be drained: it serves new connections, but keeps none alive."""

from __future__ import annotations

import math

from hazelbend.transport.connection_memory import ConnectionMemory
from hazelbend.transport.http.client_connection import ClientConnection
from hazelbend.transport.http.http_listener import HttpListener


class DrainingListener(HttpListener):
    """While draining, closes each connection after its next response, and idle ones at the idle deadline.

    Times are in seconds of the event loop's clock.
    """

    def __init__(self, connection_limit: int, memory: ConnectionMemory) -> None:
        super().__init__(connection_limit, memory)
        self.is_closing = False
        self.is_draining = False
        self.idle_deadline = math.inf  # when idle connections that have carried a request are closed
        self.partial_request_deadline = math.inf  # when connections without a complete request are closed

    @property
    def accepts_clients(self) -> bool:
        """Whether new clients should connect."""
        return self._listener is not None and not self.is_draining and not self.is_closing

    @property
    def allows_keep_alive(self) -> bool:
        """Whether a connection may stay open after its response."""
        # Above the limit no connection is kept alive: new clients and servers need the file descriptors.
        return not (self.is_closing or self.is_draining or self.connections > self.connection_limit)

    def release_listener(self) -> None:
        """Leave the listening socket to another process; connections accepted here are still served here."""
        super().stop_accepting()

    def start_draining(self, idle_deadline: float, partial_request_deadline: float) -> None:
        """Close idle connections from the first deadline on, and incomplete requests from the second."""
        self.is_draining = True
        self.idle_deadline = idle_deadline
        self.partial_request_deadline = partial_request_deadline

    def restore_request_timeout(self) -> None:
        """Continue to drain, but give new connections the full request timeout again."""
        self.partial_request_deadline = math.inf

    def stop_draining(self) -> None:
        """Accept clients and keep connections alive again."""
        self.is_draining = False
        self.idle_deadline = math.inf
        self.partial_request_deadline = math.inf

    def stop_accepting(self) -> None:
        """Accept no new connections; close idle ones now and the others after their responses.

        A connection that has sent nothing yet is not closed: its first request may be in transit, and closing
        without a response would lose it.
        """
        self.is_closing = True
        super().stop_accepting()
        for connection in list(self._open):
            if connection.was_used:
                connection.close_if_idle()

    def _check_connection(self, connection: ClientConnection, now: float) -> None:
        is_past_deadline = now >= self.partial_request_deadline and connection.has_partial_request
        if is_past_deadline and connection.deadline is not None:
            connection.deadline = min(connection.deadline, now)
        connection.enforce_deadline(now)
        # A connection that has sent nothing yet does not count as idle: its first request may be in transit.
        close_at = self.idle_deadline if connection.was_used else self.partial_request_deadline
        if now >= close_at:
            connection.close_if_idle()
