"""Opens and closes the priorities of SRV names by whether their endpoints are available."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from hazelbend.decisions.interface import WorkerId, WorkerState
from hazelbend.dispatcher.log import RateLimitedLog
from hazelbend.dns_discovery.answers import EndpointKey
from hazelbend.endpoints.merger import EndpointMerger
from hazelbend.endpoints.priority_pool import PriorityPool
from hazelbend.endpoints.srv_claims import SrvClaim
from hazelbend.endpoints.view import MergedEndpoint
from hazelbend.routing.ports import EndpointList
from hazelbend.routing.router import Router


class SrvPriorities:
    """The priority pools of all SRV names. `send` takes changes to the router."""

    def __init__(
        self,
        merger: EndpointMerger,
        router: Router,
        send: Callable[[EndpointList], None],
        log: RateLimitedLog,
    ) -> None:
        self._merger = merger
        self._router = router
        self._send = send
        self._log = log
        self._pools: dict[str, PriorityPool] = {}
        self._with_several: set[str] = set()  # names whose endpoints have several priorities

    def level(self, name: str) -> int | None:
        """Up to which priority an SRV name is open; None: it has no endpoints."""
        pool = self._pools.get(name)
        return pool.level if pool is not None else None

    def apply(self, name: str, claims: Mapping[EndpointKey, SrvClaim], now: int) -> EndpointList:
        """An SRV name is about to list these endpoints. Returns the changes."""
        priorities = {claim.preference.priority for claim in claims.values()}
        pool = self._pools.setdefault(name, PriorityPool())
        if len(priorities) > 1:
            self._with_several.add(name)
            if pool.level is not None:
                return EndpointList()  # `update` changes it from now on
            level = pool.update(dict.fromkeys(priorities, True), now, 0)
            return self._merger.open_priorities(name, level, now)
        self._with_several.discard(name)
        # The one priority is open, and endpoints of further ones are spare from the start.
        pool.level = min(priorities, default=None)
        return self._merger.open_priorities(name, pool.level, now)

    def remove(self, name: str, now: int) -> None:
        """An SRV name is no longer tracked, and lists no endpoint."""
        self._pools.pop(name, None)
        self._with_several.discard(name)
        self._merger.open_priorities(name, None, now)

    def update(self, now: int, failback_delay_us: int) -> None:
        """Open and close priorities by which endpoints are available now."""
        if not self._with_several:
            return
        ejected = self._router.module.workers_in_backoff(now)
        members = self._merger.view.members
        for name in sorted(self._with_several):
            available = self._available_priorities(name, members, ejected)
            pool = self._pools[name]
            before = pool.level
            level = pool.update(available, now, failback_delay_us)
            if level != before:
                self._log.info("%s: open up to priority %s (%s before)", name, level, before)
            self._send(self._merger.open_priorities(name, level, now))

    def _available_priorities(
        self, name: str, members: Mapping[str, MergedEndpoint], ejected: set[WorkerId]
    ) -> dict[int, bool]:
        """For each priority, whether an endpoint of it can take work."""
        available: dict[int, bool] = {}
        for host, priority in self._merger.priorities(name).items():
            member = members[host]
            server = self._router.table.by_host(host)
            ready = member.spare or member.entry.state is WorkerState.READY
            excluded = server is not None and (server.is_manually_drained or server.id in ejected)
            available[priority] = available.get(priority, False) or (ready and not excluded)
        return available
