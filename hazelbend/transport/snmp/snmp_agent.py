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

from hazelbend.decisions.interface import Outcome
from hazelbend.routing.overview import Overview, ServerRow
from hazelbend.routing.ports import Verdict
from hazelbend.routing.table import Backend

log = logging.getLogger("hazelbend.snmp")

Oid = tuple[int, ...]

BASE: Oid = (
    1,
    3,
    6,
    1,
    4,
    1,
    32473,
    1,
)  # documentation enterprise: until the users have a number of their own
SYSTEM: Oid = (1, 3, 6, 1, 2, 1, 1)
OBJECTS, NOTIFICATIONS = (*BASE, 1), (*BASE, 0)
SERVER_UP, SERVER_DOWN = (*NOTIFICATIONS, 1), (*NOTIFICATIONS, 2)
SERVER_ENTRY, CLASS_ENTRY = (*OBJECTS, 5, 1), (*OBJECTS, 6, 1)
NAME_COLUMN, STATE_COLUMN = 2, 4
PROGRAM_STATES = {"serving": 1, "leaving": 2, "draining": 3}
STATES = {"ready": 1, "draining": 2, "held back": 3, "gone": 2}
NAMES = ("followed", "unknown", "stale", "boxes", "spare")
WAITING = ("released", "refused", "expired", "cancelled")
FRESH = 0.5  # seconds for which one view of the program serves: a walk asks for a lot of single values

_VERDICTS = (Verdict.SERVED, Verdict.REFUSED, Verdict.FAILED)
_OUTCOMES = (
    Outcome.SERVED,
    Outcome.ERROR,
    Outcome.FULL,
    Outcome.TIMED_OUT,
    Outcome.CONNECT_FAILED,
    Outcome.RESET,
    Outcome.CANCELLED,
    Outcome.NOT_SENT,
)


def values(view: Overview) -> dict[Oid, Any]:
    """Every instance of the MIB's objects, in the order of a walk."""
    figures = view.figures
    counter, gauge, text = rfc1902.Counter64, rfc1902.Gauge32, rfc1902.OctetString
    groups = [
        [
            text(view.name),
            rfc1902.TimeTicks(view.uptime_us // 10_000 % 2**32),
            rfc1902.Integer32(PROGRAM_STATES[view.state]),
        ],
        [
            counter(view.received),
            *(counter(view.verdicts[each]) for each in _VERDICTS),
            counter(view.abandoned),
            gauge(figures.outstanding),
        ],
        [
            *(counter(view.outcomes[each]) for each in _OUTCOMES),
            gauge(sum(row.in_flight for row in view.servers)),
        ],
        [gauge(view.fronts.get(name, 0)) for name in ("edge", "stomp", "boxes")],
    ]
    # Groups 5 and 6 are the tables.
    numbers = [counter(figures.forwards), gauge(figures.discovered), gauge(figures.ejected)]
    found: dict[Oid, Any] = {
        (*OBJECTS, group, place, 0): value
        for group, members in enumerate(groups, 1)
        for place, value in enumerate(members, 1)
    }
    further = figures.component_figures
    names = [gauge(further.get(f"names.{each}", 0)) for each in NAMES]
    names += [counter(further.get(f"names.{each}", 0)) for each in ("queries", "failures")]
    waiting = [gauge(further.get("waiting.jobs", 0))]
    waiting += [counter(further.get(f"waiting.{each}", 0)) for each in WAITING]
    for group, members in ((7, numbers), (8, names), (9, waiting)):
        found |= {(*OBJECTS, group, place, 0): value for place, value in enumerate(members, 1)}
    servers = [(row.index, _columns(row)) for row in view.servers]
    classes = [
        (
            index,
            [
                text(row.name),
                counter(row.succeeded),
                counter(row.declined),
                counter(row.aborted),
                gauge(further.get(f"waiting.longest_ms.{row.name}", 0)),
            ],
        )
        for index, row in enumerate(figures.classes, 1)
    ]
    for entry, rows in ((SERVER_ENTRY, servers), (CLASS_ENTRY, classes)):
        for index, cells in rows:
            for column, value in enumerate(cells, NAME_COLUMN):
                found[(*entry, column, index)] = value
    return found


def _columns(row: ServerRow) -> list[Any]:
    return [
        rfc1902.OctetString(row.host),
        rfc1902.OctetString(row.dial),
        rfc1902.Integer32(STATES[row.state]),
        rfc1902.Gauge32(row.in_flight),
        rfc1902.Counter64(row.served),
        rfc1902.Counter64(row.failed),
    ]


class _Objects(AbstractMibInstrumController):  # type: ignore[misc]  # pysnmp has no types
    """Our subtree from the program's state; all else from pysnmp's own objects. Nothing can be written."""

    def __init__(self, view: Callable[[], Overview], rest: Any) -> None:
        self._view, self._rest = view, rest
        self._values: dict[Oid, Any] = {}
        self._order: list[Oid] = []
        self._taken_at = -FRESH

    def _refresh(self) -> None:
        now = asyncio.get_running_loop().time()
        if now - self._taken_at >= FRESH:
            self._values, self._taken_at = values(self._view()), now
            self._order = sorted(self._values)

    def read_variables(self, *varBinds: Any, **context: Any) -> list[Any]:  # noqa: N803 (pysnmp's name)
        self._refresh()
        return [self._get(name, value, context | {"idx": at}) for at, (name, value) in enumerate(varBinds)]

    def read_next_variables(self, *varBinds: Any, **context: Any) -> list[Any]:  # noqa: N803
        self._refresh()
        return [self._next(name, value, context | {"idx": at}) for at, (name, value) in enumerate(varBinds)]

    def _get(self, name: Any, value: Any, context: dict[str, Any]) -> Any:
        oid = tuple(name)
        if oid[: len(BASE)] != BASE:
            return self._rest.read_variables((name, value), **context)[0]
        if _hidden(name, value, context):
            return name, rfc1905.noSuchObject
        if oid in self._values:
            return name, self._values[oid]
        known = any(oid[: len(each) - 1] == each[:-1] for each in self._order)
        return name, rfc1905.noSuchInstance if known else rfc1905.noSuchObject

    def _next(self, name: Any, value: Any, context: dict[str, Any]) -> Any:
        oid = tuple(name)
        if oid < BASE:
            following, found = self._rest.read_next_variables((name, value), **context)[0]
            if not rfc1905.endOfMibView.isSameTypeWith(found) and tuple(following) < BASE:
                return following, found
        if oid < (*BASE[:-1], BASE[-1] + 1):
            for each in self._order[bisect_right(self._order, oid) :]:
                if not _hidden(rfc1902.ObjectName(each), self._values[each], context):
                    return rfc1902.ObjectName(each), self._values[each]
        return name, rfc1905.endOfMibView


def _hidden(name: Any, value: Any, context: dict[str, Any]) -> bool:
    """Whether the asker's view leaves this out; no access at all is raised by pysnmp itself."""
    allowed = context.get("acFun")
    return bool(allowed is not None and allowed("read", (name, value), **context))


class SnmpAgent:
    def __init__(
        self,
        host: str,
        port: int,
        community: str,
        notify: tuple[tuple[str, int], ...],
        view: Callable[[], Overview],
    ) -> None:
        self._address, self._community, self._notify, self._view = (host, port), community, notify, view
        self._engine: engine.SnmpEngine | None = None
        self._transport: Any = None
        self._originator = ntforg.NotificationOriginator()

    @property
    def port(self) -> int:
        return int(self._transport.transport.get_extra_info("sockname")[1])

    async def start(self) -> None:
        self._engine = snmp = engine.SnmpEngine()
        self._transport = udp.UdpAsyncioTransport().open_server_mode(self._address)
        try:
            await self._transport._lport  # the socket is bound by a task; a taken address must show now
        except OSError:
            self._engine = None
            raise
        config.add_transport(snmp, udp.DOMAIN_NAME, self._transport)
        config.add_v1_system(snmp, "reader", self._community)
        config.add_context(snmp, "")
        # SNMPv2c alone (security model 2), to read and notify, of these two subtrees.
        config.add_vacm_group(snmp, "readers", 2, "reader")
        config.add_vacm_access(snmp, "readers", "", 2, "noAuthNoPriv", "exact", "ours", "none", "ours")
        for subtree in (SYSTEM, BASE, (1, 3, 6, 1, 6, 3, 1, 1, 4)):
            config.add_vacm_view(snmp, "ours", "included", subtree, "")
        if self._notify:
            config.add_target_parameters(snmp, "notified", "reader", "noAuthNoPriv", 1)
            for number, target in enumerate(self._notify):
                config.add_target_address(
                    snmp, f"target{number}", udp.DOMAIN_NAME, target, "notified", tagList="all"
                )
            config.add_notification_target(snmp, "notices", "notified", "all", "trap")
        own = context.SnmpContext(snmp)
        rest = own.get_mib_instrum()
        own.unregister_context_name(b"")
        own.register_context_name(b"", _Objects(self._view, rest))
        for responder in (
            cmdrsp.GetCommandResponder,
            cmdrsp.NextCommandResponder,
            cmdrsp.BulkCommandResponder,
        ):
            responder(snmp, own)
        log.info("snmp: listening on %s:%d", self._address[0], self.port)

    async def close(self) -> None:
        if self._engine is not None:
            self._engine.close_dispatcher()

    def server_changed(self, server: Backend, takes_work: bool) -> None:
        """Tell those who asked that a server went up or down."""
        if self._engine is None or not self._notify:
            return
        state = STATES["ready" if takes_work else "held back" if server.is_manually_drained else "draining"]
        objects = [
            (
                (1, 3, 6, 1, 6, 3, 1, 1, 4, 1, 0),
                rfc1902.ObjectIdentifier(SERVER_UP if takes_work else SERVER_DOWN),
            ),
            ((*SERVER_ENTRY, NAME_COLUMN, server.index), rfc1902.OctetString(server.entry.host)),
            ((*SERVER_ENTRY, STATE_COLUMN, server.index), rfc1902.Integer32(state)),
        ]
        try:
            # The default context as octets: pysnmp's access control does not know it as a str, and drops.
            self._originator.send_varbinds(self._engine, "notices", None, rfc1902.OctetString(b""), objects)
        except Exception:
            # A notice that cannot be sent is no reason to stop serving.
            log.exception("snmp: a notification could not be sent")
