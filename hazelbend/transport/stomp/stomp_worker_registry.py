"""Registry of the workers connected over STOMP. It keeps the router's table of these workers up to date."""

from __future__ import annotations

import logging

from hazelbend.decisions.interface import WorkerState
from hazelbend.protocol.http_fields import Catalogue
from hazelbend.protocol.worker_lines import LoadReportFields
from hazelbend.routing.ports import Endpoint
from hazelbend.routing.router import Router
from hazelbend.transport.stomp.stomp_backend_client import StompBackendClient
from hazelbend.transport.stomp.stomp_mailbox import FrameSink
from hazelbend.transport.stomp.stomp_settings import WorkerAccount

log = logging.getLogger("hazelbend.stomp")


class WorkerRegistry:
    """The connected workers, by login. A second connection of a worker replaces the first."""

    def __init__(self, router: Router, catalogue: Catalogue, report_fields: LoadReportFields) -> None:
        self._router = router
        self._catalogue = catalogue
        self._report_fields = report_fields
        self._clients: dict[str, StompBackendClient] = {}

    def change(self, catalogue: Catalogue, report_fields: LoadReportFields) -> None:
        """Use new settings for all workers."""
        self._catalogue = catalogue
        self._report_fields = report_fields
        for client in self._clients.values():
            client.change(catalogue, report_fields)

    @property
    def connected(self) -> int:
        """The number of connected workers."""
        return len(self._clients)

    def connect(self, account: WorkerAccount, sink: FrameSink, subscription_id: str) -> StompBackendClient:
        """Add a worker that has subscribed to jobs. A new connection counts as a restart (slow start)."""
        client = self._clients.get(account.login)
        if client is not None and client.sink is sink:
            client.subscription_id = subscription_id
            self._router.change_registered(_host_name(account), WorkerState.READY)
            return client
        if client is not None:
            self.disconnect(account, client)
            client.sink.close_with_error("another connection of this box has taken its place")
        client = StompBackendClient(sink, subscription_id, self._catalogue, self._report_fields)
        self._clients[account.login] = client
        self._router.register(_endpoint(account, self._router.clock.now()), client)
        log.info("worker %s: connected", account.login)
        return client

    def drain(self, account: WorkerAccount, client: StompBackendClient) -> None:
        """Mark a worker that has unsubscribed as draining: it finishes its jobs and gets no new ones."""
        if self._clients.get(account.login) is client:
            self._router.change_registered(_host_name(account), WorkerState.DRAINING)

    def disconnect(self, account: WorkerAccount, client: StompBackendClient) -> None:
        """Remove a worker whose connection is lost."""
        client.on_connection_lost()
        if self._clients.get(account.login) is client:
            del self._clients[account.login]
            self._router.change_registered(_host_name(account), WorkerState.GONE)
            log.info("worker %s: disconnected", account.login)


def _endpoint(account: WorkerAccount, started_at: int) -> Endpoint:
    return Endpoint(
        host=_host_name(account),
        dial="",
        zone=account.zone,
        kind=account.kind,
        cell=account.cell,
        state=WorkerState.READY,
        weight=account.weight,
        started_at=started_at,
    )


def _host_name(account: WorkerAccount) -> str:
    return f"stomp/{account.login}"
