"""Wiring, signals, and the program's life."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys

from hazelbend.decisions.brain import Dispatcher
from hazelbend.program import config
from hazelbend.routing.clock import Clock
from hazelbend.routing.router import Router
from hazelbend.routing.table import ServerTable
from hazelbend.transport.discovery_watch import DiscoveryWatch
from hazelbend.transport.edge import Edge
from hazelbend.transport.links import LinkPool

log = logging.getLogger("hazelbend")

LEAVE_AFTER = 0.5  # seconds after SIGTERM that new connections are still taken: they come for up to 0.4 s
RESERVED = 64  # descriptors for discovery, listeners, the log and the interpreter


class App:
    def __init__(self, conf: config.Config) -> None:
        self.conf = conf
        self.stopping = asyncio.Event()
        # Half of the descriptors for the servers' side, half for the clients'.
        self.pool = LinkPool(
            conf.connect_timeout, conf.keepalive, max((conf.sockets - RESERVED) // 2, 8), conf.load_fields
        )
        table = ServerTable(lambda entry: self.pool.link(entry.dial))
        self.router = Router(Dispatcher(conf.settings, conf.seed), Clock(), table)
        self.watch = DiscoveryWatch(conf.discovery, conf.reader) if conf.discovery else None
        self.router.discovery = self.watch
        self.edge = Edge(self.router, conf.catalogue)

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        self.router.begin(self.conf.known)
        await self.edge.listen(*self.conf.listen)
        log.info("%s: listening on %s:%d", self.conf.name, *self.conf.listen)
        await self.stopping.wait()
        log.info("leaving: %d flows open", len(self.router.flows))
        self.edge.leaving = True
        await asyncio.sleep(LEAVE_AFTER)
        await self.edge.stop_accepting()
        await self.router.drained()
        await self.edge.close()
        if self.watch is not None:
            await self.watch.close()
        await self.pool.close()
        log.info("left")


def main() -> int:
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    try:
        conf = config.load()
    except config.ConfigError as error:
        log.error("configuration: %s", error)
        return 2
    asyncio.run(_main(conf))
    return 0


async def _main(conf: config.Config) -> None:
    await App(conf).run()
