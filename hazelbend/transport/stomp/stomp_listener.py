"""The STOMP listener: accepts connections, authenticates clients and workers, and manages the mailboxes."""

from __future__ import annotations

import asyncio
import hmac
import logging
from collections.abc import Callable
from hashlib import sha256

from hazelbend.protocol.http_fields import Catalogue
from hazelbend.protocol.stomp import Frame, StompError
from hazelbend.routing.router import Router
from hazelbend.transport.listening_sockets import ACCEPTS_PER_TURN, prepare_listener
from hazelbend.transport.stomp.stomp_mailbox import Mailbox, StompGate, StoredBytes
from hazelbend.transport.stomp.stomp_session import Session
from hazelbend.transport.stomp.stomp_settings import ClientAccount, StompSettings, WorkerAccount
from hazelbend.transport.stomp.stomp_worker_registry import WorkerRegistry

log = logging.getLogger("hazelbend.stomp")

BACKLOG = 100  # connections that wait in the kernel to be accepted
RECEIVE_BUFFER_BYTES = 16 * 1024  # in the kernel, for each connection
MAX_MAILBOXES = 1_024  # clients choose their identities, and each identity has its own mailbox


class StompListener:
    """The listener and its sessions."""

    def __init__(
        self, settings: StompSettings, router: Router, workers: WorkerRegistry, catalogue: Catalogue
    ) -> None:
        self.settings = settings
        self.workers = workers
        self.catalogue = catalogue
        self._router = router
        self._mailboxes: dict[str, Mailbox] = {}
        self._stored = StoredBytes()
        self._sessions: dict[Session, None] = {}  # in the order in which they connected
        self._listener: asyncio.Server | None = None
        self._gate: StompGate | None = None
        # Cancels a queued job, given the client identity and the request-id:
        self.cancel: Callable[[str, str], bool] | None = None

    @property
    def gate(self) -> StompGate | None:
        """The gate of the job queue, for all clients; None if there is no queue."""
        return self._gate

    @gate.setter
    def gate(self, gate: StompGate | None) -> None:
        self._gate = gate
        for mailbox in self._mailboxes.values():
            mailbox.gate = gate

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return len(self._sessions)

    @property
    def port(self) -> int:
        """The port in use, even if the settings specify any free port (0)."""
        assert self._listener is not None
        return int(self._listener.sockets[0].getsockname()[1])

    async def listen(self) -> None:
        """Start to accept connections.

        Raises:
            OSError: the address is not available.
        """
        self._listener = await asyncio.start_server(
            self._on_connection, self.settings.host, self.settings.port, backlog=ACCEPTS_PER_TURN
        )
        for listening in self._listener.sockets:
            prepare_listener(listening, BACKLOG, RECEIVE_BUFFER_BYTES)
        log.info("listening on %s:%d", self.settings.host, self.port)

    def change(self, catalogue: Catalogue) -> None:
        """Use new classes and tenants for all further frames; open requests are not affected."""
        self.catalogue = catalogue
        for mailbox in self._mailboxes.values():
            mailbox.catalogue = catalogue

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections are kept."""
        if self._listener is not None:
            self._listener.close()

    def close_idle_clients(self) -> None:
        """Close the connections of clients without open requests, so that they connect to another dispatcher.

        Workers stay connected.
        """
        for session in list(self._sessions):
            if session.is_idle:
                session.close_with_error("this dispatcher is being emptied: connect to another")

    async def close(self) -> None:
        """Stop accepting, then flush and close all connections."""
        self.stop_accepting()
        await asyncio.gather(*(session.close() for session in list(self._sessions)))

    def mailbox(self, identity: str) -> Mailbox:
        """Return the mailbox of a client, creating it if necessary.

        Raises:
            StompError: there are too many mailboxes.
        """
        if identity not in self._mailboxes:
            self._mailboxes[identity] = self._new_mailbox(identity)
        return self._mailboxes[identity]

    def _new_mailbox(self, identity: str) -> Mailbox:
        for empty in [name for name, mailbox in self._mailboxes.items() if mailbox.is_empty]:
            del self._mailboxes[empty]
        if len(self._mailboxes) >= MAX_MAILBOXES:
            raise StompError("too many clients have answers waiting")
        mailbox = Mailbox(
            identity,
            self.settings.mailbox_limits,
            self._router,
            self.catalogue,
            self._stored,
            self._free_memory,
        )
        mailbox.gate = self._gate
        return mailbox

    def _free_memory(self) -> None:
        for mailbox in self._mailboxes.values():
            mailbox.drop_acknowledged()

    def _evict_unauthenticated(self) -> bool:
        """Close the oldest unauthenticated connection, so that such connections cannot exhaust the limit.

        Returns whether there was one.
        """
        unauthenticated = next((session for session in self._sessions if not session.is_authenticated), None)
        if unauthenticated is not None:
            del self._sessions[unauthenticated]
            unauthenticated.close_with_error("others wait for this place")
        return unauthenticated is not None

    def authenticate(self, frame: Frame) -> ClientAccount | WorkerAccount:
        """Return the account for a CONNECT frame. Digests are compared in constant time.

        Raises:
            StompError: the login or the passcode is wrong.
        """
        digest = sha256(frame.get("passcode").encode()).hexdigest()
        matching_account: ClientAccount | WorkerAccount | None = None
        accounts: list[ClientAccount | WorkerAccount] = [*self.settings.clients, *self.settings.workers]
        for account in accounts:
            if account.login == frame.get("login") and hmac.compare_digest(account.passcode_sha256, digest):
                matching_account = account
        if matching_account is None:
            raise StompError("login or passcode not known")
        return matching_account

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        session = Session(self, reader, writer)
        if len(self._sessions) >= self.settings.connections and not self._evict_unauthenticated():
            session.send_error("too many connections")
            await session.close()
            return
        self._sessions[session] = None
        try:
            await session.run()
        except Exception:
            # An error in one connection must not end the others.
            log.exception("connection: unexpected error")
        finally:
            self._sessions.pop(session, None)
            session.on_connection_lost()
            await session.close()
