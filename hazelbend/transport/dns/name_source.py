"""The resolver at work: it is told the time and what came of its queries, and its queries are sent."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable

from hazelbend.dns_discovery.answers import Meaning, Unknown
from hazelbend.dns_discovery.resolver import Ask, Resolver
from hazelbend.transport.dns.dns_client import DnsClient

log = logging.getLogger("hazelbend.names")


class NameSource:
    """`changed` is called with the SRV names whose boxes may have changed, once for all together."""

    def __init__(
        self, resolver: Resolver, now: Callable[[], int], changed: Callable[[Iterable[str]], None]
    ) -> None:
        self.resolver, self._now, self._changed = resolver, now, changed
        self._client = self._connect()
        self._tasks: dict[asyncio.Task[Meaning], Ask] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False

    def _connect(self) -> DnsClient:
        settings = self.resolver.settings
        servers = tuple(each.endpoint for each in settings.nameserver)
        return DnsClient(servers, settings.budgets.timeout_s)

    @property
    def queries_out(self) -> int:
        return len(self._tasks)

    def pump(self) -> None:
        """Send what is due, tell what has changed, and come back when there is more."""
        if self._closed:
            return
        now = self._now()
        for ask in self.resolver.due(now):
            self._send(ask)
        if self.resolver.changed:
            names, self.resolver.changed = self.resolver.changed, set()
            self._changed(names)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if (at := self.resolver.next_at(now)) is not None:
            self._timer = asyncio.get_running_loop().call_later(max(at - now, 0) / 1e6, self.pump)

    def reconnect(self) -> None:
        """Other nameservers or another time-out: what is out to the old ones is given up."""
        before, self._client = self._client, self._connect()
        for task in list(self._tasks):
            task.cancel()
        before.close()
        self.pump()

    async def close(self) -> None:
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        self._client.close()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _send(self, ask: Ask) -> None:
        task = asyncio.create_task(self._client.ask(ask))
        self._tasks[task] = ask
        task.add_done_callback(self._heard)  # also of one that is cancelled before it first runs

    def _heard(self, task: asyncio.Task[Meaning]) -> None:
        ask = self._tasks.pop(task)
        if self._closed:
            return
        if task.cancelled():
            meaning: Meaning = Unknown("given up")
        elif (error := task.exception()) is not None:
            log.error("%s: fault in the client", ask.question, exc_info=error)
            meaning = Unknown("a fault of ours")
        else:
            meaning = task.result()
        for further in self.resolver.heard(ask.number, meaning, self._now()):
            self._send(further)
        self.pump()
