"""Object identifiers of HAZELBEND-MIB (mibs/), and their values in a snapshot of the dispatcher."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, TypeAlias

from pysnmp.proto import rfc1902

from hazelbend.decisions.interface import Outcome
from hazelbend.routing.overview import ClassFigures, Figures, Overview, ServerRow
from hazelbend.routing.ports import Verdict

Oid: TypeAlias = tuple[int, ...]
Values: TypeAlias = list[Any]  # of pysnmp's types, in the order of the MIB

# Enterprise number 32473 is reserved for documentation (RFC 5612); it is used until the users register one.
BASE: Oid = (1, 3, 6, 1, 4, 1, 32473, 1)
SYSTEM: Oid = (1, 3, 6, 1, 2, 1, 1)
SNMP_TRAP: Oid = (1, 3, 6, 1, 6, 3, 1, 1, 4)  # RFC 3418
SNMP_TRAP_OID: Oid = (*SNMP_TRAP, 1, 0)
NOTIFICATIONS: Oid = (*BASE, 0)
OBJECTS: Oid = (*BASE, 1)
SERVER_UP: Oid = (*NOTIFICATIONS, 1)
SERVER_DOWN: Oid = (*NOTIFICATIONS, 2)

PROGRAM_GROUP = 1
FLOW_GROUP = 2
ATTEMPT_GROUP = 3
LISTENER_GROUP = 4
FIGURE_GROUP = 7
NAME_GROUP = 8
WAITING_GROUP = 9
SERVER_ENTRY: Oid = (*OBJECTS, 5, 1)
CLASS_ENTRY: Oid = (*OBJECTS, 6, 1)
NAME_COLUMN = 2  # the first in both tables; column 1, the index, is not accessible
STATE_COLUMN = 4

PROGRAM_STATES = {"serving": 1, "leaving": 2, "draining": 3}
SERVER_STATES = {"ready": 1, "draining": 2, "held back": 3, "gone": 2}
NAME_GAUGES = ("followed", "unknown", "stale", "boxes", "spare")
NAME_COUNTERS = ("queries", "failures")
WAITING_COUNTERS = ("released", "refused", "expired", "cancelled")
LISTENERS = ("edge", "stomp", "boxes")
VERDICTS = (Verdict.SERVED, Verdict.REFUSED, Verdict.FAILED)
OUTCOMES = (
    Outcome.SERVED,
    Outcome.ERROR,
    Outcome.FULL,
    Outcome.TIMED_OUT,
    Outcome.CONNECT_FAILED,
    Outcome.RESET,
    Outcome.CANCELLED,
    Outcome.NOT_SENT,
)
US_PER_TICK = 10_000  # TimeTicks: hundredths of a second
TICKS_MODULUS = 2**32


def object_values(overview: Overview) -> dict[Oid, Any]:
    """Return the values of all object instances by identifier: scalar groups first, then the tables."""
    groups = {
        PROGRAM_GROUP: _program_values(overview),
        FLOW_GROUP: _flow_values(overview),
        ATTEMPT_GROUP: _attempt_values(overview),
        LISTENER_GROUP: [rfc1902.Gauge32(overview.fronts.get(name, 0)) for name in LISTENERS],
        FIGURE_GROUP: _figure_values(overview.figures),
        NAME_GROUP: _name_values(overview.figures.component_figures),
        WAITING_GROUP: _waiting_values(overview.figures.component_figures),
    }
    scalars = {
        (*OBJECTS, group, number, 0): value
        for group, values in groups.items()
        for number, value in enumerate(values, 1)
    }
    server_rows = ((row.index, _server_columns(row)) for row in overview.servers)
    class_rows = (
        (index, _class_columns(row, overview.figures.component_figures))
        for index, row in enumerate(overview.figures.classes, 1)
    )
    return scalars | _table_values(SERVER_ENTRY, server_rows) | _table_values(CLASS_ENTRY, class_rows)


def _table_values(entry: Oid, rows: Iterable[tuple[int, Values]]) -> dict[Oid, Any]:
    return {
        (*entry, column, index): value
        for index, columns in rows
        for column, value in enumerate(columns, NAME_COLUMN)
    }


def _program_values(overview: Overview) -> Values:
    return [
        rfc1902.OctetString(overview.name),
        rfc1902.TimeTicks(overview.uptime_us // US_PER_TICK % TICKS_MODULUS),
        rfc1902.Integer32(PROGRAM_STATES[overview.state]),
    ]


def _flow_values(overview: Overview) -> Values:
    return [
        rfc1902.Counter64(overview.received),
        *(rfc1902.Counter64(overview.verdicts[verdict]) for verdict in VERDICTS),
        rfc1902.Counter64(overview.abandoned),
        rfc1902.Gauge32(overview.figures.outstanding),
    ]


def _attempt_values(overview: Overview) -> Values:
    return [
        *(rfc1902.Counter64(overview.outcomes[outcome]) for outcome in OUTCOMES),
        rfc1902.Gauge32(sum(row.in_flight for row in overview.servers)),
    ]


def _figure_values(figures: Figures) -> Values:
    return [
        rfc1902.Counter64(figures.forwards),
        rfc1902.Gauge32(figures.discovered),
        rfc1902.Gauge32(figures.ejected),
    ]


def _name_values(component_figures: Mapping[str, int]) -> Values:
    return [
        *(rfc1902.Gauge32(component_figures.get(f"names.{name}", 0)) for name in NAME_GAUGES),
        *(rfc1902.Counter64(component_figures.get(f"names.{name}", 0)) for name in NAME_COUNTERS),
    ]


def _waiting_values(component_figures: Mapping[str, int]) -> Values:
    return [
        rfc1902.Gauge32(component_figures.get("waiting.jobs", 0)),
        *(rfc1902.Counter64(component_figures.get(f"waiting.{name}", 0)) for name in WAITING_COUNTERS),
    ]


def _server_columns(row: ServerRow) -> Values:
    return [
        rfc1902.OctetString(row.host),
        rfc1902.OctetString(row.dial),
        rfc1902.Integer32(SERVER_STATES[row.state]),
        rfc1902.Gauge32(row.in_flight),
        rfc1902.Counter64(row.served),
        rfc1902.Counter64(row.failed),
    ]


def _class_columns(row: ClassFigures, component_figures: Mapping[str, int]) -> Values:
    return [
        rfc1902.OctetString(row.name),
        rfc1902.Counter64(row.succeeded),
        rfc1902.Counter64(row.declined),
        rfc1902.Counter64(row.aborted),
        rfc1902.Gauge32(component_figures.get(f"waiting.longest_ms.{row.name}", 0)),
    ]
