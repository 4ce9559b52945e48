"""The dispatcher process: wiring of its components, signals, start, reload and shutdown."""

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
from hazelbend.transport.connection_memory import ConnectionMemory, connection_limits
from hazelbend.transport.http.backend_client import ConnectionPool, PoolSettings
from hazelbend.transport.http.client_listener import ClientListener
from hazelbend.transport.http.discovery_watch import DiscoveryWatch
from hazelbend.transport.http.http_listener import inherited_listener
from hazelbend.transport.peer.handover import Handover
from hazelbend.transport.stomp.stomp_listener import StompListener
from hazelbend.transport.stomp.stomp_worker_registry import WorkerRegistry

log = logging.getLogger("hazelbend")

# How long a start waits for the first list from discovery. A start on a passed listener must complete in 6 s.
FIRST_LIST_TIMEOUT_S = 3.0
LISTEN_RETRY_DELAY_S = 0.2  # between attempts to bind an address that the previous process still uses
RESERVED_DESCRIPTORS = 64  # for the admin listener, discovery, listeners, the log and the interpreter
MIN_DESCRIPTORS = 8  # for the client connections, and for the server connections
SERVER_LOG_LINES = 200  # per period of the rate limit


class Agent(Protocol):
    """The SNMP agent. Its module is imported only if it is enabled."""

    async def start(self) -> None:
        """Start to listen."""

    async def close(self) -> None:
        """Stop listening."""

    def server_changed(self, server: Backend, is_up: bool) -> None:
        """Send a notification that a server has begun (`is_up`) or ceased to accept work."""


class App:
    """One dispatcher process: creates, starts, reloads and closes all its components."""

    def __init__(self, conf: config.Config, recent: RecentLines | None = None) -> None:
        self.conf = conf
        self.recent = recent or RecentLines()
        self.stopping = asyncio.Event()
        self.is_shutting_down = self._closed = False
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
        memory = ConnectionMemory(connection_limits(conf.memory_mb))
        self.client_listener = ClientListener(
            self.router, conf.catalogue, _descriptors_of_one_side(conf), memory
        )
        self.stomp_workers = WorkerRegistry(self.router, conf.catalogue, conf.load_fields)
        self.stomp: StompListener | None = None
        if conf.stomp is not None:
            self.stomp = StompListener(conf.stomp, self.router, self.stomp_workers, conf.catalogue)
        self.extensions: dict[str, Extension] = {}  # by the name of their field in Config
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
        self.admin = AdminEndpoint(self, lambda: self.conf.ops, memory)
        self._siblings = 0  # other running processes of this dispatcher, during an upgrade
        self.handover: Handover | None = None
        if conf.handover is not None:
            self.handover = Handover(conf.handover, self, lambda: self.conf.reader)
            self.router.is_open_elsewhere, self.router.on_open_ids_changed = (
                self.handover.is_open_elsewhere,
                self.handover.broadcast_update,
            )
        self._opening: list[asyncio.Task[None]] = []  # retry to bind addresses that are still in use

    # --- operations ---

    @property
    def accepts_clients(self) -> bool:
        """Whether clients should connect to this dispatcher."""
        return self.client_listener.accepts_clients

    def figures(self) -> Figures:
        """Return counters and gauges, for the admin listener."""
        return replace(
            collect_figures(self.router, self._class_names), component_figures=self._component_figures()
        )

    def _component_figures(self) -> dict[str, int]:
        """Return the figures of the extensions, and the number of background errors unless it is 0."""
        figures = {
            name: count
            for extension in self.extensions.values()
            for name, count in extension.counts().items()
        }
        if FAILURES.total:
            figures["unexpected_errors"] = FAILURES.total
        return figures

    def drain(self) -> None:
        """Start a drain: clients are sent away while the process continues to run."""
        self._drain.start()
        for extension in self.extensions.values():
            extension.drain()

    def undrain(self) -> bool:
        """Stop the drain. Returns False, and does nothing, if the process is shutting down."""
        if self.is_shutting_down:
            return False
        self._drain.stop()
        return True

    def set_final_deadline(self, reason: str, deadline: int | None) -> None:
        """Set or remove (None) the final deadline of requests, in microseconds of the router's clock.

        Each reason has its own deadline. The earliest of them applies.
        """
        if deadline is None:
            self._final_deadlines.pop(reason, None)
        else:
            self._final_deadlines[reason] = deadline
        self.router.set_final_deadline(min(self._final_deadlines.values(), default=None))

    def overview(self) -> Overview:
        """Return everything that the console and SNMP show."""
        connections = {
            "edge": self.client_listener.connections,
            "stomp": self.stomp.connections if self.stomp is not None else 0,
            "boxes": self.stomp_workers.connected,
        }
        state = "leaving" if self.is_shutting_down else "draining" if self._drain.is_on else "serving"
        view = build_overview(self.router, self.conf.name, state, self._class_names, connections)
        return replace(view, figures=replace(view.figures, component_figures=self._component_figures()))

    @property
    def _class_names(self) -> list[str]:
        return [row.name for row in self.conf.catalogue.classes]

    def subscribe(self, on_list: Callable[[EndpointList], None]) -> None:
        """Subscribe to the updates of the discovery watch, after each extension has filtered them.

        The router uses this object as its discovery.
        """

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
        """Open all listeners, the client listener last: before it, an address in use fails the start."""
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
        """Wait up to FIRST_LIST_TIMEOUT_S for the first list from discovery.

        The known list may lack drains: in an upgrade those that the previous process received, and if lists
        are pushed all that discovery has.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_LIST_TIMEOUT_S):
                await self.router.list_received.wait()

    def _log_settings_report(self) -> None:
        """Log how the settings were read, as one line with JSON, and one line for each warning."""
        report = self.conf.settings_report
        log.info("understood %s", orjson.dumps(report.as_plain_values()).decode())
        for warning in report.warnings:
            log.warning("settings: %s: %s", warning.key, warning.text)

    def _start_router(self, state: HandoverState | None) -> None:
        """Start the router with the configured endpoints, or with the state of the previous process."""
        known = state.endpoints if state is not None and state.endpoints.entries else self.conf.known
        if known.is_complete and known.entries and self.conf.passed_socket is None and self.conf.srv is None:
            # Otherwise the watch requests the complete list: an upgrade waits for it, and with SRV names the
            # known list is only one of the lists that are merged.
            self.watch.known_version = known.seq
        for name, extension in self.extensions.items():
            component_state = state.component_states.get(name, {}) if state is not None else {}
            known = extension.initial_endpoints(known, component_state)
        self.router.start(known)
        if state is not None:
            self._take_over(state)

    def _take_over(self, state: HandoverState) -> None:
        """Restore the manual drains and the learned state of the previous process."""
        for host in state.drained_hosts:
            self.router.set_manual_drain(host, True)
        if list(state.class_names) != self._class_names:
            return
        try:
            import_state(self.module, state.learned, self.router.clock.now())
        except ValueError as error:
            log.warning("upgrade: the learned state of the previous process cannot be used: %s", error)
        else:
            log.info(
                "upgrade: took over the state of the previous process: %d servers",
                len(state.endpoints.entries),
            )

    def _reload_extension(self, name: str) -> None:
        """Create, change or remove an extension after a reload.

        Its settings may have been added, removed or changed, or other settings that it uses.
        """
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
        """Return the state that this process hands over to the next one."""
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
        """Adapt the limits of descriptors, which all processes of this dispatcher share during an upgrade.

        `count`: how many other processes run now.
        """
        if not self._closed:
            self._siblings = count
            self._share_descriptors()

    def _share_descriptors(self) -> None:
        self.client_listener.connection_limit = _descriptors_of_one_side(self.conf, self._siblings)
        self.pool.set_limit(_descriptors_of_one_side(self.conf, self._siblings))

    async def _open(self, listen: Callable[[], Awaitable[None]]) -> None:
        """Listen at an address. In an upgrade: retry in the background while the previous process uses it."""
        try:
            await listen()
        except OSError as error:
            if self.conf.passed_socket is None:
                raise
            log.warning("upgrade: an address is still in use, retrying until it is free: %s", error)
            self._opening.append(asyncio.create_task(self._open_later(listen)))

    async def _open_later(self, listen: Callable[[], Awaitable[None]]) -> None:
        while True:
            await asyncio.sleep(LISTEN_RETRY_DELAY_S)
            with contextlib.suppress(OSError):
                return await listen()

    def reload(self) -> None:
        """Read the configuration again, after SIGHUP. An invalid configuration changes nothing."""
        if self._closed:
            return
        try:
            conf = config.load()
        except config.ConfigError as error:
            log.error("reload: %s; the settings are unchanged", error)
        except Exception:
            log.exception("reload: unexpected error; the settings are unchanged")
        else:
            self.apply(conf)

    def apply(self, conf: config.Config) -> None:
        """Apply all differences that a running process can apply. A reload changes settings only here."""
        old = self.conf
        restart_only = config.restart_only_changes(old, conf)
        self.conf = conf = replace(conf, **{name: getattr(old, name) for name in restart_only})
        names = (config_field.name for config_field in fields(conf) if config_field.compare)
        changed = [name for name in names if getattr(conf, name) != getattr(old, name)]
        self._apply_connections(old, conf)
        self._apply_settings(old, conf)
        for name in EXTENSION_CLASSES if conf != old else ():
            self._reload_extension(name)
        if conf.ops != self.admin.address:
            self.admin.move_later()
        log.info("reloaded: %s", ", ".join(changed) or "nothing has changed")
        if restart_only:
            log.warning("reload: these wait for a restart: %s", ", ".join(restart_only))

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
        """Shut down gracefully: complete the accepted requests, then close."""
        log.info("shutting down: %d requests open", len(self.router.requests))
        self.is_shutting_down = True
        await GracefulShutdown(self, self._drain, self.extensions.values()).run()
        await self.close()
        log.info("shutdown complete")

    async def close(self) -> None:
        """Close everything at once."""
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
        """Run until SIGTERM or SIGINT, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        count_loop_errors()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await self.stopping.wait()
        await self.leave()


def _descriptors_of_one_side(conf: config.Config, siblings: int = 0) -> int:
    """Return half of the descriptors, less the reserved ones and those of STOMP.

    One half is for client connections, the other for server connections. `siblings`: other running processes
    of this dispatcher, with which it shares its descriptors.
    """
    own = conf.sockets // (1 + siblings)
    stomp = conf.stomp.connections if conf.stomp is not None else 0
    return max((own - RESERVED_DESCRIPTORS - stomp) // 2, MIN_DESCRIPTORS)


def _pool_settings(conf: config.Config) -> PoolSettings:
    return PoolSettings(
        conf.connect_timeout, conf.keepalive, _descriptors_of_one_side(conf), conf.load_fields
    )


def main() -> int:
    """Run a dispatcher with the configuration that the environment names, and return the exit status."""
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
