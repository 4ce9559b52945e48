"""The SNMP agent: HAZELBEND-MIB and the system group, read-only, over SNMPv2c. Imported where enabled."""

from __future__ import annotations

import asyncio
import logging
from bisect import bisect_right
from collections.abc import Callable
from typing import Any

from pysnmp.carrier.asyncio.dgram import udp
from pysnmp.entity import config, engine
from pysnmp.entity.rfc3413 import cmdrsp, context, ntforg
from pysnmp.proto import rfc1902, rfc1905
from pysnmp.smi.instrum import AbstractMibInstrumController

from hazelbend.routing.overview import MANUALLY_DRAINED, Overview
from hazelbend.routing.table import Backend
from hazelbend.transport.snmp.hazelbend_mib import (
    BASE,
    NAME_COLUMN,
    SERVER_DOWN,
    SERVER_ENTRY,
    SERVER_STATES,
    SERVER_UP,
    SNMP_TRAP,
    SNMP_TRAP_OID,
    STATE_COLUMN,
    SYSTEM,
    Oid,
    object_values,
)

log = logging.getLogger("hazelbend.snmp")

CACHE_S = 0.5  # how long one snapshot serves: a walk asks for many single values
SNMP_V2C = 2  # security model
END_OF_BASE: Oid = (*BASE[:-1], BASE[-1] + 1)  # the first identifier after our subtree


class _MibController(AbstractMibInstrumController):  # type: ignore[misc]  # pysnmp has no types
    """Serves our subtree from a snapshot, and all else from pysnmp's own objects. Nothing can be written."""

    def __init__(self, build_overview: Callable[[], Overview], system_objects: Any) -> None:
        self._build_overview = build_overview
        self._system_objects = system_objects
        self._values: dict[Oid, Any] = {}
        self._sorted_oids: list[Oid] = []
        self._taken_at = -CACHE_S

    def _refresh(self) -> None:
        now = asyncio.get_running_loop().time()
        if now - self._taken_at >= CACHE_S:
            self._values = object_values(self._build_overview())
            self._taken_at = now
            self._sorted_oids = sorted(self._values)

    def read_variables(self, *varBinds: Any, **context: Any) -> list[Any]:  # noqa: N803 (pysnmp's name)
        """Answer a GET."""
        self._refresh()
        return [
            self._get(name, value, context | {"idx": index}) for index, (name, value) in enumerate(varBinds)
        ]

    def read_next_variables(self, *varBinds: Any, **context: Any) -> list[Any]:  # noqa: N803
        """Answer a GETNEXT or GETBULK."""
        self._refresh()
        return [
            self._next(name, value, context | {"idx": index}) for index, (name, value) in enumerate(varBinds)
        ]

    def _get(self, name: Any, value: Any, context: dict[str, Any]) -> Any:
        oid = tuple(name)
        if oid[: len(BASE)] != BASE:
            return self._system_objects.read_variables((name, value), **context)[0]
        if _is_hidden(name, value, context):
            return name, rfc1905.noSuchObject
        if oid in self._values:
            return name, self._values[oid]
        known = any(oid[: len(instance) - 1] == instance[:-1] for instance in self._sorted_oids)
        return name, rfc1905.noSuchInstance if known else rfc1905.noSuchObject

    def _next(self, name: Any, value: Any, context: dict[str, Any]) -> Any:
        oid = tuple(name)
        if oid < BASE:
            following, found = self._system_objects.read_next_variables((name, value), **context)[0]
            if not rfc1905.endOfMibView.isSameTypeWith(found) and tuple(following) < BASE:
                return following, found
        if oid < END_OF_BASE:
            for instance in self._sorted_oids[bisect_right(self._sorted_oids, oid) :]:
                if not _is_hidden(rfc1902.ObjectName(instance), self._values[instance], context):
                    return rfc1902.ObjectName(instance), self._values[instance]
        return name, rfc1905.endOfMibView


def _is_hidden(name: Any, value: Any, context: dict[str, Any]) -> bool:
    """Whether access control (VACM) hides this object; pysnmp raises where there is no access at all."""
    allowed = context.get("acFun")
    return bool(allowed is not None and allowed("read", (name, value), **context))


class SnmpAgent:
    """The agent: answers one community, and notifies the configured targets of servers that go up or down."""

    def __init__(
        self,
        host: str,
        port: int,
        community: str,
        notify: tuple[tuple[str, int], ...],
        build_overview: Callable[[], Overview],
    ) -> None:
        self._address = (host, port)
        self._community = community
        self._notify = notify
        self._build_overview = build_overview
        self._engine: engine.SnmpEngine | None = None
        self._transport: Any = None
        self._originator = ntforg.NotificationOriginator()

    @property
    def port(self) -> int:
        """The UDP port in use."""
        return int(self._transport.transport.get_extra_info("sockname")[1])

    async def start(self) -> None:
        """Bind the socket and answer requests.

        Raises:
            OSError: the address is not available.
        """
        snmp = engine.SnmpEngine()
        self._engine = snmp
        self._transport = udp.UdpAsyncioTransport().open_server_mode(self._address)
        try:
            await self._transport._lport  # the socket is bound by a task; an address in use must show now
        except OSError:
            self._engine = None
            raise
        config.add_transport(snmp, udp.DOMAIN_NAME, self._transport)
        self._configure_access(snmp)
        if self._notify:
            self._configure_targets(snmp)
        self._add_responders(snmp)
        log.info("snmp: listening on %s:%d", self._address[0], self.port)

    def _configure_access(self, snmp: engine.SnmpEngine) -> None:
        """Let the community read, and be notified of, our subtrees, over SNMPv2c alone."""
        config.add_v1_system(snmp, "reader", self._community)
        config.add_context(snmp, "")
        config.add_vacm_group(snmp, "readers", SNMP_V2C, "reader")
        config.add_vacm_access(snmp, "readers", "", SNMP_V2C, "noAuthNoPriv", "exact", "ours", "none", "ours")
        for subtree in (SYSTEM, BASE, SNMP_TRAP):
            config.add_vacm_view(snmp, "ours", "included", subtree, "")

    def _configure_targets(self, snmp: engine.SnmpEngine) -> None:
        config.add_target_parameters(snmp, "notified", "reader", "noAuthNoPriv", 1)
        for number, target in enumerate(self._notify):
            config.add_target_address(
                snmp, f"target{number}", udp.DOMAIN_NAME, target, "notified", tagList="all"
            )
        config.add_notification_target(snmp, "notices", "notified", "all", "trap")

    def _add_responders(self, snmp: engine.SnmpEngine) -> None:
        snmp_context = context.SnmpContext(snmp)
        system_objects = snmp_context.get_mib_instrum()
        snmp_context.unregister_context_name(b"")
        snmp_context.register_context_name(b"", _MibController(self._build_overview, system_objects))
        for responder in (
            cmdrsp.GetCommandResponder,
            cmdrsp.NextCommandResponder,
            cmdrsp.BulkCommandResponder,
        ):
            responder(snmp, snmp_context)

    async def close(self) -> None:
        """Stop to answer and close the socket."""
        if self._engine is not None:
            self._engine.close_dispatcher()

    def server_changed(self, server: Backend, is_up: bool) -> None:
        """Notify the targets that a server went up (`is_up`) or down."""
        if self._engine is None or not self._notify:
            return
        down_state = MANUALLY_DRAINED if server.is_manually_drained else "draining"
        state = SERVER_STATES["ready" if is_up else down_state]
        notification = rfc1902.ObjectIdentifier(SERVER_UP if is_up else SERVER_DOWN)
        objects = [
            (SNMP_TRAP_OID, notification),
            ((*SERVER_ENTRY, NAME_COLUMN, server.index), rfc1902.OctetString(server.entry.host)),
            ((*SERVER_ENTRY, STATE_COLUMN, server.index), rfc1902.Integer32(state)),
        ]
        try:
            # The default context as octets: pysnmp's access control does not know it as a str, and drops.
            self._originator.send_varbinds(self._engine, "notices", None, rfc1902.OctetString(b""), objects)
        except Exception:
            # A notification that cannot be sent must not stop the dispatcher.
            log.exception("snmp: a notification could not be sent")
