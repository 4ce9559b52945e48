"""Wiring, signals, and the program's life."""

from __future__ import annotations

import asyncio
import logging
import signal
from typing import Protocol

from hazelbend.decisions.brain import Dispatcher
from hazelbend.program import config
from hazelbend.program.console_server import ConsoleServer
from hazelbend.program.log import RecentLines, set_up
from hazelbend.routing.clock import Clock
from hazelbend.routing.overview import Overview, take_overview
from hazelbend.routing.router import Router
from hazelbend.routing.table import RealServer, ServerTable
from hazelbend.transport.discovery_watch import DiscoveryWatch
from hazelbend.transport.edge import Edge
from hazelbend.transport.links import LinkPool
from hazelbend.transport.stomp_boxes import Boxes
from hazelbend.transport.stomp_listener import StompListener

log = logging.getLogger("hazelbend")

LEAVE_AFTER = 0.5  # seconds after SIGTERM that new connections are still taken: they come for up to 0.4 s
RESERVED = 64  # descriptors for discovery, listeners, the log and the interpreter


class Agent(Protocol):
    """The SNMP agent, whose module is imported only where it is enabled."""

    async def start(self) -> None: ...

    async def close(self) -> None: ...

    def server_changed(self, server: RealServer, takes_work: bool) -> None: ...


class App:
    """One dispatcher: everything that runs in the process."""

    def __init__(self, conf: config.Config, recent: RecentLines | None = None) -> None:
        self.conf = conf
        self.recent = recent or RecentLines()
        self.stopping = asyncio.Event()
        # Half of the descriptors for the servers' side, half for the clients'; STOMP's come off first.
        sockets = conf.sockets - RESERVED - (conf.stomp.connections if conf.stomp else 0)
        half = max(sockets // 2, 8)
        self.pool = LinkPool(conf.connect_timeout, conf.keepalive, half, conf.load_fields)
        table = ServerTable(lambda entry: self.pool.link(entry.dial))
        self.router = Router(Dispatcher(conf.settings, conf.seed), Clock(), table)
        self.watch = DiscoveryWatch(conf.discovery, conf.reader) if conf.discovery else None
        self.router.discovery = self.watch
        self.edge = Edge(self.router, conf.catalogue, half)
        self.boxes = Boxes(self.router, conf.catalogue, conf.load_fields)
        self.stomp: StompListener | None = None
        if conf.stomp is not None:
            self.stomp = StompListener(conf.stomp, self.router.take, self.boxes, conf.catalogue)
        self.console: ConsoleServer | None = None
        if conf.console is not None:
            self.console = ConsoleServer(conf.console, self)
        self.agent: Agent | None = None
        if conf.snmp is not None:
            from hazelbend.transport.snmp_agent import SnmpAgent

            snmp = conf.snmp
            self.agent = SnmpAgent(snmp.host, snmp.port, snmp.community, snmp.notify, self.overview)
        table.watcher = self._server_changed

    def overview(self) -> Overview:
        fronts = {
            "edge": self.edge.connections,
            "stomp": self.stomp.connections if self.stomp is not None else 0,
            "boxes": self.boxes.connected,
        }
        return take_overview(self.router, self.conf.name, self.edge.leaving, fronts)

    def _server_changed(self, server: RealServer, takes_work: bool) -> None:
        log.info("server %s: %s", server.entry.host, "up" if takes_work else "down")
        if self.agent is not None:
            self.agent.server_changed(server, takes_work)

    async def start(self) -> None:
        """Everything that can fail for want of an address comes before the edge says that it is ready."""
        self.router.begin(self.conf.known)
        if self.stomp is not None:
            await self.stomp.listen()
            log.info("stomp: listening on %s:%d", self.stomp.settings.host, self.stomp.port)
        if self.console is not None:
            await self.console.listen()
        if self.agent is not None:
            await self.agent.start()
        await self.edge.listen(*self.conf.listen)
        log.info("%s: listening on %s:%d", self.conf.name, self.conf.listen[0], self.edge.port)

    async def leave(self, after: float = LEAVE_AFTER) -> None:
        """A planned end: serve on while clients still come, then finish all that was taken."""
        log.info("leaving: %d flows open", len(self.router.flows))
        self.edge.leaving = True
        await asyncio.sleep(after)
        self.edge.stop_accepting()
        if self.stomp is not None:
            self.stomp.stop_accepting()
        await self.router.drained()
        await self.close()
        log.info("left")

    async def close(self) -> None:
        await self.edge.close()
        if self.stomp is not None:
            await self.stomp.close()
        if self.watch is not None:
            await self.watch.close()
        if self.console is not None:
            await self.console.close()
        if self.agent is not None:
            await self.agent.close()
        self.router.close()
        await self.pool.close()

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        await self.start()
        await self.stopping.wait()
        await self.leave()


def main() -> int:
    recent = set_up()
    try:
        conf = config.load()
    except config.ConfigError as error:
        log.error("configuration: %s", error)
        return 2
    try:
        asyncio.run(_run(conf, recent))
    except OSError as error:
        log.error("cannot start: %s", error)
        return 1
    return 0


async def _run(conf: config.Config, recent: RecentLines) -> None:
    await App(conf, recent).run()
