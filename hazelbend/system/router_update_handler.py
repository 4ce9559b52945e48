"""Applies the updates of control processes to the state that a router's decisions are based on."""

from __future__ import annotations

import zlib
from collections.abc import Callable

import picologging

from hazelbend.control import messages as m
from hazelbend.control.configuration import Limits
from hazelbend.control.configuration_reader import InvalidConfigurationError, read_configuration
from hazelbend.control.load_table import LoadUpdate, LoadView
from hazelbend.control.workers import AGE_EXPIRY_HEARTBEATS
from hazelbend.forwarding.fleet_state import FleetState
from hazelbend.placement.routes import RouteTable
from hazelbend.placement.worker_replicas import WorkerReplicas
from hazelbend.system.clock import SECOND_US, clock
from hazelbend.system.settings import Settings

log = picologging.getLogger("hazelbend.router")


class RouterUpdateHandler:
    """Implements `control_subscriptions.UpdateHandler`.

    `on_limits` is called with the limits of each configuration that comes into force, `on_fleet_status` with
    each periodic update after it was applied.
    """

    def __init__(
        self,
        settings: Settings,
        state: FleetState,
        on_limits: Callable[[Limits], None],
        on_fleet_status: Callable[[m.FleetStatus], None],
    ) -> None:
        self.settings = settings  # replaced at a reload
        self._state = state
        self._placement = state.placement
        self._on_limits = on_limits
        self._on_fleet_status = on_fleet_status
        self._replicas = WorkerReplicas()
        self._other_routers = LoadView()
        self.unreadable_version = 0  # of a configuration newer than the one in force, if there is one
        self._config_confirmed_at = 0  # microseconds of this process's clock

    def has_current_config(self) -> bool:
        """Whether a majority has recently confirmed that this router's configuration is the newest."""
        return clock() - self._config_confirmed_at < self.settings.config_apply_us

    def config_version(self) -> int:
        """Return the version of the configuration in force; 0 if there is none."""
        route_table = self._state.route_table
        return route_table.configuration.version if route_table is not None else 0

    def apply_config(self, update: m.ConfigUpdate) -> None:
        """Put a configuration into force, unless it is not newer than the current one."""
        if update.version <= self.config_version():
            return
        try:
            route_table = RouteTable(read_configuration(zlib.decompress(update.body)))
        except (InvalidConfigurationError, zlib.error) as error:
            self._report_unreadable(update.version, error)
            return
        if self._state.apply_configuration(route_table):
            if update.version >= self.unreadable_version:
                self.unreadable_version = 0
            self._on_limits(route_table.configuration.limits)
            log.info("router: configuration %d is in force", update.version)

    def _report_unreadable(self, version: int, error: Exception) -> None:
        """Log an unreadable configuration once, although each subscription sends it."""
        if version > self.unreadable_version:
            self.unreadable_version = version
            in_force = self.config_version()
            log.error("router: configuration %d is unreadable, keeping %d: %s", version, in_force, error)

    def config_confirmed(self, version: int, at_s: float) -> None:
        """Record a majority's confirmation that no configuration was newer than this version at `at_s`."""
        if self.config_version() >= version:
            self._config_confirmed_at = max(self._config_confirmed_at, round(at_s * SECOND_US))

    def subscription_opened(self, source: str) -> None:
        """Start a new replica of the workers of this control process."""
        self._replicas.open(source)

    def subscription_ended(self, source: str) -> None:
        """End the replica of the workers of this control process."""
        self._replicas.close(source)

    def take_resync_request(self, source: str) -> bool:
        """Whether to request all workers of this control process."""
        return self._replicas.take_resync_request(source)

    def apply_workers(self, source: str, update: m.WorkerUpdate) -> None:
        """Merge the records of workers into the placement."""
        self._replicas.apply_update(source, update)
        for record in update.records:
            self._placement.merge(record)

    def apply_fleet_status(self, source: str, update: m.FleetStatus) -> None:
        """Apply the number of routers, the workers' liveness, and the workers that change their phase."""
        self._state.max_routers = max(self._state.max_routers, update.routers)
        self._placement.set_phase_changing(set(update.switching))
        self._replicas.apply_status(source, update, AGE_EXPIRY_HEARTBEATS * self.settings.heartbeat_us)
        self._update_workers()
        self._on_fleet_status(update)

    def _update_workers(self) -> None:
        """Use each worker that a control process has, whatever the reason for which it was dropped before."""
        for record in self._replicas.records():
            self._placement.reconcile(record)
        for instance in self._placement.update_liveness(self._replicas.liveness):
            log.info("router: worker %s is removed: it has ended or expired", instance)

    def apply_loads(self, update: LoadUpdate) -> None:
        """Apply the other routers' requests in flight, cache contents, and the outcomes of their attempts."""
        self._other_routers.apply(update)
        self._placement.apply_load_report(self._other_routers.loads, update.cached, clock())
        self._placement.apply_peer_outcomes(update.outcomes, clock())
