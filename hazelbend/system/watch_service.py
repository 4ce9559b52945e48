"""The watches of routers on a control process: configurations, workers, loads and caches go out over them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path

import msgspec
import picologging

from hazelbend.control import messages as m
from hazelbend.control.config_machine import StoredConfig
from hazelbend.control.load_table import CachedPart, CacheTable, LoadNews, LoadTable, Outcomes, RouterLoad
from hazelbend.control.workers import WorkerRecord, WorkerState
from hazelbend.system.agreement import Agreement
from hazelbend.system.clock import clock
from hazelbend.transport.peer.frame_link import FrameConnection
from hazelbend.transport.storage.soft_state_file import read_soft_state, write_soft_state

log = picologging.getLogger("hazelbend.control")

FLEET_NEWS_PERIOD = 0.5  # seconds between two words to routers on the fleet
LOADS_PERIOD, LOADS_PERIOD_PER_ROUTER = 0.04, 0.002  # seconds between two reports of load to routers
SOFT_STATE_PERIOD = 1.5  # seconds between two writes of it
UNSENT_BEFORE_CONFIG = 64 * 1024  # bytes that may wait for a router before it is sent another configuration


@dataclass(slots=True)
class _Watcher:
    router: str
    loads: bool  # whether it wants the loads of others
    owed: bool = False  # the newest configuration, once it has read what was sent before


class WatchService:
    """All watches on this process, and what is told over them."""

    def __init__(self, agreement: Agreement, soft_state: Path | None) -> None:
        self._agreement, self._soft_path = agreement, soft_state
        self._watchers: dict[FrameConnection, _Watcher] = {}
        self.loads = LoadTable()
        self._loads_changed = False
        self._cached: list[CachedPart] = []  # not told yet
        self._outcomes: list[tuple[str, Outcomes]] = []  # by router, not told yet
        self._caches = CacheTable()
        self._soft_written = b""
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Recall what was kept, and begin to tell."""
        await self._restore()
        upkeep = (self._send_fleet_news_regularly, self._send_loads_regularly, self._keep_soft_state)
        self._tasks = [asyncio.create_task(each()) for each in upkeep]

    def close(self) -> None:
        """Tell nothing any more."""
        for task in self._tasks:
            task.cancel()

    # --- what comes from routers ---

    def watch(self, connection: FrameConnection, watch: m.Watch) -> None:
        """A router asks for all there is, and for what changes. An observer has no configuration to tell: it
        names those that have, and closes."""
        if not self._agreement.engine.plan.counted:
            connection.send(m.encode(self._agreement.engine.fleet_news(clock())))
            connection.close()
            return
        self._watchers[connection] = _Watcher(watch.router, watch.loads)
        self._count()
        loads = self.loads.all_others(watch.router) if watch.loads else {}
        engine, config, now = self._agreement.engine, self._agreement.config, clock()
        bodies: list[m.Body] = [m.WorkerNews(0, engine.registry.records())]
        if config.version > watch.version:  # before what a router can serve without
            bodies.append(m.ConfigNews(config.version, config.body))
        bodies += [engine.fleet_news(now), LoadNews(loads, whole=watch.loads)]
        if watch.caches:
            bodies.append(m.CacheNews.of(self._caches.by_instance))
        for body in bodies:
            connection.send(m.encode(body))

    def gone(self, connection: FrameConnection) -> None:
        """A connection has ended."""
        if self._watchers.pop(connection, None) is not None:
            self._count()

    def take_load(self, connection: FrameConnection, load: RouterLoad) -> None:
        """A router's unfinished work, from itself or from another control process."""
        if not self.loads.merge(load, clock()):
            return
        self._cached += load.cached
        self._outcomes += [(load.router, each) for each in load.outcomes]
        self._caches.add(load.cached)
        self._loads_changed = True
        if connection in self._watchers:  # from the router itself: others may not watch this process
            frame = m.encode(load)
            for address in self._agreement.engine.peers.other_counted(clock()):
                self._agreement.send(address, frame)

    def _count(self) -> None:
        self._agreement.engine.own_routers = {each.router for each in self._watchers.values()}

    # --- what goes to routers ---

    def config_changed(self, config: StoredConfig) -> None:
        """A configuration is in force. A slow router is sent the newest one once it has read what was sent
        before: else a storm of large ones would never let it have a whole one."""
        for watcher in self._watchers.values():
            watcher.owed = True
        self._send_owed_configs(config)

    def _send_owed_configs(self, config: StoredConfig) -> None:
        frame = m.encode(m.ConfigNews(config.version, config.body))
        for connection, watcher in list(self._watchers.items()):
            if not watcher.owed or connection.unsent_bytes > UNSENT_BEFORE_CONFIG:
                continue
            watcher.owed = False
            if not connection.send(frame):
                connection.close()

    def workers_changed(self, records: list[WorkerRecord]) -> None:
        """Workers are known otherwise than before."""
        for record in records:
            if record.state is WorkerState.GONE:
                self._caches.forget(record.instance)
            state = record.state.name.lower()
            log.info("control: worker %s %s %s %s", record.instance, record.service, record.phase, state)
        self._send_to_all(m.WorkerNews(0, tuple(records)))

    def send_fleet_news(self) -> None:
        """What routers are told now and then, at once."""
        self._send_to_all(self._agreement.engine.fleet_news(clock()))

    def _send_to_all(self, body: m.Body) -> None:
        frame = m.encode(body)
        for connection in list(self._watchers):
            if not connection.send(frame):
                connection.close()  # it does not read: it begins again with all there is

    async def _send_fleet_news_regularly(self) -> None:
        while True:
            await asyncio.sleep(FLEET_NEWS_PERIOD)
            self.send_fleet_news()
            if any(watcher.owed for watcher in self._watchers.values()):
                self._send_owed_configs(self._agreement.config)

    async def _send_loads_regularly(self) -> None:
        while True:
            await asyncio.sleep(max(LOADS_PERIOD, LOADS_PERIOD_PER_ROUTER * len(self._watchers)))
            self.loads.expire(clock())
            if not self._loads_changed:
                continue
            self._loads_changed = False
            cached, self._cached = tuple(self._cached), []
            outcomes, self._outcomes = self._outcomes, []
            changed = self.loads.take_changed()
            for connection, watcher in list(self._watchers.items()):
                if not watcher.loads:
                    continue
                others = tuple(each for router, each in outcomes if router != watcher.router)
                news = LoadNews(self.loads.others(watcher.router, changed), cached, outcomes=others)
                if not connection.send(m.encode(news)):
                    connection.close()  # these changes are lost: it begins again with all there is

    # --- what is good to know after a restart ---

    async def _restore(self) -> None:
        if self._soft_path is None:
            return
        content = await asyncio.to_thread(read_soft_state, self._soft_path)
        if content is None:
            return
        try:
            state = m.decode_soft_state(content)
        except msgspec.DecodeError as error:
            log.warning("control: soft state: %s; not used", error)
            return
        self._agreement.engine.restore_workers(state.workers, clock())
        self._agreement.engine.most_routers = max(state.routers, 1)
        self._caches.add(state.cached)

    async def _keep_soft_state(self) -> None:
        while self._soft_path is not None:
            await asyncio.sleep(SOFT_STATE_PERIOD)
            engine = self._agreement.engine
            state = m.SoftState(engine.registry.records(), self._caches.all(), engine.most_routers)
            content = m.encode_soft_state(state)
            if content == self._soft_written:
                continue
            try:
                await asyncio.to_thread(write_soft_state, self._soft_path, content)
                self._soft_written = content
            except OSError as error:
                log.warning("control: soft state: %s", error)
