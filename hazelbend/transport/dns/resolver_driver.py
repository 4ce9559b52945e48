"""Drives the resolver: sends its queries, gives it their results, and calls it when its next query is due."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable

from hazelbend.dns_discovery.answers import QueryFailure, QueryResult
from hazelbend.dns_discovery.resolver import Query, Resolver
from hazelbend.transport.background_work import RepeatingTimer
from hazelbend.transport.dns.dns_client import DnsClient

log = logging.getLogger("hazelbend.names")


class ResolverDriver:
    """The resolver with its sockets and its timer.

    `on_changed` is called with the SRV names whose endpoints may have changed, once for all of a turn.
    """

    def __init__(
        self, resolver: Resolver, now: Callable[[], int], on_changed: Callable[[Iterable[str]], None]
    ) -> None:
        self._resolver = resolver
        self._now = now
        self._on_changed = on_changed
        self._client = self._new_client()
        self._in_flight: dict[asyncio.Task[QueryResult], Query] = {}
        self._timer = RepeatingTimer("DNS resolver", self.run_due)
        self._closed = False

    @property
    def queries_in_flight(self) -> int:
        """How many queries have no result yet."""
        return len(self._in_flight)

    def run_due(self) -> None:
        """Send the queries that are due, report changes, and set the timer for the next query."""
        if self._closed:
            return
        now = self._now()
        for query in self._resolver.take_due_queries(now):
            self._send(query)
        if self._resolver.names.changed:
            names, self._resolver.names.changed = self._resolver.names.changed, set()
            self._on_changed(names)
        self._timer.cancel()
        if (next_at := self._resolver.next_due_at(now)) is not None:
            self._timer.set(max(next_at - now, 0) / 1e6)

    def reconnect(self) -> None:
        """Use the nameservers and the time-out of the settings. Queries in flight are cancelled."""
        old_client = self._client
        self._client = self._new_client()
        for task in list(self._in_flight):
            task.cancel()
        old_client.close()
        self.run_due()

    async def close(self) -> None:
        """Cancel the queries in flight, and wait for their end."""
        self._closed = True
        self._timer.cancel()
        tasks = list(self._in_flight)
        for task in tasks:
            task.cancel()
        self._client.close()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _new_client(self) -> DnsClient:
        settings = self._resolver.settings
        addresses = tuple(nameserver.endpoint for nameserver in settings.nameservers)
        return DnsClient(addresses, settings.budgets.timeout_s)

    def _send(self, query: Query) -> None:
        task = asyncio.create_task(self._client.query(query))
        self._in_flight[task] = query
        # A callback, as it is also called for a task that is cancelled before it first runs.
        task.add_done_callback(self._query_done)

    def _query_done(self, task: asyncio.Task[QueryResult]) -> None:
        query = self._in_flight.pop(task)
        if self._closed:
            return
        result: QueryResult
        if task.cancelled():
            result = QueryFailure("given up")
        elif (error := task.exception()) is not None:
            log.error("%s: fault in the client", query.question, exc_info=error)
            result = QueryFailure("a fault of ours")
        else:
            result = task.result()
        for follow_up in self._resolver.handle_result(query.id, result, self._now()):
            self._send(follow_up)
        self.run_due()
