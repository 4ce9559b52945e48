"""The dispatcher process: wiring of its parts, signals, start, reload and end."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import signal
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import fields, replace
from typing import Any, Protocol

import orjson

from hazelbend.decisions.dispatcher import Dispatcher
from hazelbend.decisions.learned_state import export_state, import_state
from hazelbend.dispatcher import config
from hazelbend.dispatcher.admin_endpoint import AdminEndpoint
from hazelbend.dispatcher.console_server import ConsoleServer
from hazelbend.dispatcher.drain import Drain
from hazelbend.dispatcher.extensions import EXTENSION_CLASSES, Extension, load_extension
from hazelbend.dispatcher.log import RateLimitedLog, RecentLines, set_up
from hazelbend.dispatcher.shutdown import GracefulShutdown
from hazelbend.protocol.handover import HandoverState
from hazelbend.routing.clock import Clock
from hazelbend.routing.overview import Figures, Overview, build_overview, collect_figures
from hazelbend.routing.ports import EndpointList
from hazelbend.routing.router import Router
from hazelbend.routing.table import Backend, BackendTable
from hazelbend.transport.background_work import FAILURES, count_loop_errors
from hazelbend.transport.http.backend_client import ConnectionPool, PoolSettings
from hazelbend.transport.http.client_listener import ClientListener
from hazelbend.transport.http.discovery_watch import DiscoveryWatch
from hazelbend.transport.http.http_listener import inherited_listener
from hazelbend.transport.peer.handover import Handover
from hazelbend.transport.stomp.stomp_listener import StompListener
from hazelbend.transport.stomp.stomp_worker_registry import WorkerRegistry

log = logging.getLogger("hazelbend")

FIRST_LIST_TIMEOUT_S = 3.0  # for which a start on a passed listener waits for discovery; it is due within 6
LISTEN_RETRY_DELAY_S = 0.2  # between tries for an address that the previous process still holds
RESERVED_DESCRIPTORS = 64  # for the admin listener, discovery, listeners, the log and the interpreter
MIN_DESCRIPTORS = 8  # for one side, clients or servers
SERVER_LOG_LINES = 200  # in a period of the rate limit


class Agent(Protocol):
    """The SNMP agent, whose module is imported only where it is enabled."""

    async def start(self) -> None:
        """Listen."""

    async def close(self) -> None:
        """Stop listening."""

    def server_changed(self, server: Backend, is_up: bool) -> None:
        """Notify that a server takes work, or no longer does."""


class App:
    """One dispatcher: everything that runs in the process."""

    def __init__(self, conf: config.Config, recent: RecentLines | None = None) -> None:
        self.conf = conf
        self.recent = recent or RecentLines()
        self.stopping = asyncio.Event()
        self.leaving = self._closed = False
        self.pool = ConnectionPool(_pool_settings(conf))
        table = BackendTable(lambda entry: self.pool.client(entry.dial))
        self.module = Dispatcher(conf.settings, conf.seed)
        self.router = Router(self.module, Clock(), table)
        self.watch = DiscoveryWatch(
            conf.discovery, conf.reader, conf.settings.fleet_size, is_pushed=conf.settings.list_is_pushed
        )
        self.router.discovery = self
        self._closing: set[asyncio.Task[None]] = set()
        self._server_lines = RateLimitedLog(log, SERVER_LOG_LINES)
        self.client_listener = ClientListener(self.router, conf.catalogue, _descriptors_of_one_side(conf))
        self.stomp_workers = WorkerRegistry(self.router, conf.catalogue, conf.load_fields)
        self.stomp: StompListener | None = None
        if conf.stomp is not None:
            self.stomp = StompListener(conf.stomp, self.router, self.stomp_workers, conf.catalogue)
        self.extensions: dict[str, Extension] = {}  # by their name in Config
        self.console: ConsoleServer | None = None
        if conf.console is not None:
            self.console = ConsoleServer(conf.console, self)
        self.agent: Agent | None = None
        if conf.snmp is not None:
            from hazelbend.transport.snmp.snmp_agent import SnmpAgent

            snmp = conf.snmp
            self.agent = SnmpAgent(snmp.host, snmp.port, snmp.community, snmp.notify, self.overview)
        table.on_accepts_work_changed = self._server_changed
        for name in EXTENSION_CLASSES:
            if getattr(conf, name) is not None:
                self.extensions[name] = load_extension(name, self)
        self._drain = Drain(self)
        self._final_deadlines: dict[str, int] = {}  # by reason, in microseconds of the router's clock
        self.admin = AdminEndpoint(self, lambda: self.conf.ops)
        self._siblings = 0  # other processes of this dispatcher, in an upgrade
        self.handover: Handover | None = None
        if conf.handover is not None:
            self.handover = Handover(conf.handover, self, lambda: self.conf.reader)
            self.router.is_open_elsewhere, self.router.on_open_ids_changed = (
                self.handover.is_open_elsewhere,
                self.handover.broadcast_update,
            )
        self._opening: list[asyncio.Task[None]] = []  # addresses that are not free yet

    # --- what operators see and do ---

    @property
    def accepts_clients(self) -> bool:
        """Whether clients should connect."""
        return self.client_listener.accepts_clients

    def figures(self) -> Figures:
        """Counters and gauges, for the admin listener."""
        return replace(
            collect_figures(self.router, self._class_names), component_figures=self._component_figures()
        )

    def _component_figures(self) -> dict[str, int]:
        """The figures of the extensions, and errors of background work if there were any."""
        figures = {
            name: count
            for extension in self.extensions.values()
            for name, count in extension.counts().items()
        }
        if FAILURES.total:
            figures["unexpected_errors"] = FAILURES.total
        return figures

    def drain(self) -> None:
        """Send clients away; the process goes on."""
        self._drain.start()
        for extension in self.extensions.values():
            extension.drain()

    def undrain(self) -> bool:
        """Accept clients again; False: the process is ending."""
        if self.leaving:
            return False
        self._drain.stop()
        return True

    def set_final_deadline(self, reason: str, deadline: int | None) -> None:
        """Set or remove (None) the final deadline of requests, in microseconds of the router's clock.

        Each reason has a deadline of its own, and the earliest is in force.
        """
        if deadline is None:
            self._final_deadlines.pop(reason, None)
        else:
            self._final_deadlines[reason] = deadline
        self.router.set_final_deadline(min(self._final_deadlines.values(), default=None))

    def overview(self) -> Overview:
        """Everything that the console and SNMP show."""
        connections = {
            "edge": self.client_listener.connections,
            "stomp": self.stomp.connections if self.stomp is not None else 0,
            "boxes": self.stomp_workers.connected,
        }
        state = "leaving" if self.leaving else "draining" if self._drain.is_on else "serving"
        view = build_overview(self.router, self.conf.name, state, self._class_names, connections)
        return replace(view, figures=replace(view.figures, component_figures=self._component_figures()))

    @property
    def _class_names(self) -> list[str]:
        return [row.name for row in self.conf.catalogue.classes]

    def subscribe(self, on_list: Callable[[EndpointList], None]) -> None:
        """Discovery, as the router subscribes to it: the watch's updates, as extensions pass them on."""

        def filter_update(update: EndpointList) -> None:
            for extension in self.extensions.values():
                update = extension.filter_update(update)
            on_list(update)

        self.watch.subscribe(filter_update)

    def _server_changed(self, server: Backend, is_up: bool) -> None:
        self._server_lines.info("server %s: %s", server.entry.host, "up" if is_up else "down")
        for extension in self.extensions.values():
            extension.on_servers_changed()
        if self.agent is not None:
            self.agent.server_changed(server, is_up)

    async def start(self) -> None:
        """Open all listeners, that for clients last: what can fail for want of an address comes before."""
        passed = self.conf.passed_socket
        listener = inherited_listener(passed) if passed is not None else None
        state = await self.handover.fetch_state() if self.handover is not None else None
        self._start_router(state)
        await self._open_listeners()
        settings = self.conf.settings
        if settings.list_is_pushed or (listener is not None and settings.list_is_polled):
            await self._wait_for_first_list()
        await self.client_listener.listen(*self.conf.listen, listener)
        if self.handover is not None:
            await self.handover.listen()
        log.info("%s: listening on %s:%d", self.conf.name, self.conf.listen[0], self.client_listener.port)
        self._log_settings_report()

    async def _open_listeners(self) -> None:
        if self.stomp is not None:
            await self._open(self.stomp.listen)
        if self.console is not None:
            await self._open(self.console.listen)
        if self.agent is not None:
            await self._open(self.agent.start)
        for extension in self.extensions.values():
            await self._open(extension.start)
        await self.admin.move()

    async def _wait_for_first_list(self) -> None:
        """The list as last known may lack drains: those that the previous process was told, in an upgrade;
        all that discovery has, where lists are pushed.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_LIST_TIMEOUT_S):
                await self.router.list_received.wait()

    def _log_settings_report(self) -> None:
        """How the settings were read, in one line that a program can read too, and warnings."""
        report = self.conf.settings_report
        log.info("understood %s", orjson.dumps(report.as_plain_values()).decode())
        for warning in report.warnings:
            log.warning("settings: %s: %s", warning.key, warning.text)

    def _start_router(self, state: HandoverState | None) -> None:
        """From the configuration, or from the state that the previous process hands over."""
        known = state.endpoints if state is not None and state.endpoints.entries else self.conf.known
        if known.is_complete and known.entries and self.conf.passed_socket is None and self.conf.srv is None:
            # An upgrade waits for the complete list, and where lists are merged it is what one of them says.
            self.watch.known_version = known.seq
        for name, extension in self.extensions.items():
            component_state = state.component_states.get(name, {}) if state is not None else {}
            known = extension.initial_endpoints(known, component_state)
        self.router.start(known)
        if state is not None:
            self._take_over(state)

    def _take_over(self, state: HandoverState) -> None:
        """Drains by hand, and what the previous process has learned."""
        for host in state.drained_hosts:
            self.router.set_manual_drain(host, True)
        if list(state.class_names) != self._class_names:
            return
        try:
            import_state(self.module, state.learned, self.router.clock.now())
        except ValueError as error:
            log.warning("what the process before has learnt cannot be used: %s", error)
        else:
            log.info("going on from the process before: %d servers", len(state.endpoints.entries))

    def _reload_extension(self, name: str) -> None:
        """Its settings have come, gone or changed, or something that they rest on has."""
        is_enabled = getattr(self.conf, name) is not None
        extension = self.extensions.get(name)
        if extension is None and is_enabled:
            self._add_extension(name)
        elif extension is not None and is_enabled:
            extension.change()
        elif extension is not None:
            del self.extensions[name]
            extension.stop()
            self._run_in_background(extension.close())

    def _add_extension(self, name: str) -> None:
        extension = self.extensions[name] = load_extension(name, self)
        known = self.router.table.listed()
        endpoints = extension.initial_endpoints(known, {})
        if endpoints is not known:
            self.router.apply_list(endpoints)
        self._run_in_background(extension.start())

    def _run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    def state(self) -> HandoverState:
        """What this process hands over to the next one."""
        table = self.router.table
        discovered = (extension.discovered_endpoints() for extension in self.extensions.values())
        endpoints = next((found for found in discovered if found is not None), None)
        states = {name: extension.handover_state() for name, extension in self.extensions.items()}
        return HandoverState(
            tuple(self._class_names),
            endpoints if endpoints is not None else table.listed(),
            table.manually_drained(),
            self.router.open_ids,
            export_state(self.module, self.router.clock.now()),
            {name: state for name, state in states.items() if state},
        )

    def siblings_changed(self, count: int) -> None:
        """Processes of this dispatcher have started or ended, in an upgrade: all share its descriptors."""
        if not self._closed:
            self._siblings = count
            self._share_descriptors()

    def _share_descriptors(self) -> None:
        self.client_listener.connection_limit = _descriptors_of_one_side(self.conf, self._siblings)
        self.pool.set_limit(_descriptors_of_one_side(self.conf, self._siblings))

    async def _open(self, listen: Callable[[], Awaitable[None]]) -> None:
        """Listen at an address; in an upgrade, once the previous process no longer holds it."""
        try:
            await listen()
        except OSError as error:
            if self.conf.passed_socket is None:
                raise
            log.warning("an address is still held, and taken when it is free: %s", error)
            self._opening.append(asyncio.create_task(self._open_later(listen)))

    async def _open_later(self, listen: Callable[[], Awaitable[None]]) -> None:
        while True:
            await asyncio.sleep(LISTEN_RETRY_DELAY_S)
            with contextlib.suppress(OSError):
                return await listen()

    def reload(self) -> None:
        """SIGHUP: read the configuration again. One that is bad changes nothing."""
        if self._closed:
            return
        try:
            conf = config.load()
        except config.ConfigError as error:
            log.error("reload: %s; the settings stay as they were", error)
        except Exception:
            log.exception("reload: fault; the settings stay as they were")
        else:
            self.apply(conf)

    def apply(self, conf: config.Config) -> None:
        """Apply all that differs and can change in a running process: here and nowhere else."""
        old = self.conf
        kept = config.unchangeable(old, conf)
        self.conf = conf = replace(conf, **{name: getattr(old, name) for name in kept})
        names = (each.name for each in fields(conf) if each.compare)
        changed = [name for name in names if getattr(conf, name) != getattr(old, name)]
        self._apply_connections(old, conf)
        self._apply_settings(old, conf)
        for name in EXTENSION_CLASSES if conf != old else ():
            self._reload_extension(name)
        if conf.ops != self.admin.address:
            self.admin.move_later()
        log.info("reloaded: %s", ", ".join(changed) or "nothing has changed")
        if kept:
            log.warning("reload: these wait for a restart: %s", ", ".join(kept))

    def _apply_connections(self, old: config.Config, conf: config.Config) -> None:
        if _pool_settings(conf) != _pool_settings(old):
            self.pool.apply_settings(_pool_settings(conf))
        self.client_listener.catalogue = conf.catalogue
        self._share_descriptors()
        if (conf.catalogue, conf.load_fields) != (old.catalogue, old.load_fields):
            self.stomp_workers.change(conf.catalogue, conf.load_fields)
            if self.stomp is not None:
                self.stomp.change(conf.catalogue)

    def _apply_settings(self, old: config.Config, conf: config.Config) -> None:
        if conf.settings != old.settings:
            self.router.apply_settings(conf.settings)
            self._log_settings_report()
            self.watch.fleet_size = conf.settings.fleet_size
            self.watch.is_pushed = conf.settings.list_is_pushed
        if (conf.discovery, conf.reader) != (old.discovery, old.reader):
            self.watch.change_address(conf.discovery, conf.reader)

    async def leave(self) -> None:
        """A planned end: finish what was taken, then close."""
        log.info("leaving: %d flows open", len(self.router.requests))
        self.leaving = True
        await GracefulShutdown(self, self._drain, self.extensions.values()).run()
        await self.close()
        log.info("left")

    async def close(self) -> None:
        """End everything at once."""
        self._closed = True
        self._drain.close()
        for task in self._opening:
            task.cancel()
        self.admin.cancel_move()
        for extension in self.extensions.values():
            extension.end()
        await self.client_listener.close()
        await self.admin.close()
        if self.handover is not None:
            await self.handover.close()
        if self.stomp is not None:
            await self.stomp.close()
        await self.watch.close()
        await asyncio.gather(*self._closing, return_exceptions=True)
        if self.console is not None:
            await self.console.close()
        if self.agent is not None:
            await self.agent.close()
        for extension in self.extensions.values():
            await extension.close()
        self.router.close()
        await self.pool.close()

    async def run(self) -> None:
        """Run until a signal ends it."""
        loop = asyncio.get_running_loop()
        count_loop_errors()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await self.stopping.wait()
        await self.leave()


def _descriptors_of_one_side(conf: config.Config, siblings: int = 0) -> int:
    """Half of the descriptors, for clients or for servers, without those of STOMP.

    `siblings`: other processes of this dispatcher.
    """
    own = conf.sockets // (1 + siblings)
    stomp = conf.stomp.connections if conf.stomp is not None else 0
    return max((own - RESERVED_DESCRIPTORS - stomp) // 2, MIN_DESCRIPTORS)


def _pool_settings(conf: config.Config) -> PoolSettings:
    return PoolSettings(
        conf.connect_timeout, conf.keepalive, _descriptors_of_one_side(conf), conf.load_fields
    )


def main() -> int:
    """Run a dispatcher as the environment configures it; the exit status."""
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
