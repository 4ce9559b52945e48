"""The program's state at a moment, as plain values: what the console shows and SNMP tells."""

from __future__ import annotations

from dataclasses import dataclass, field

from hazelbend.decisions.interface import Outcome, WorkerState
from hazelbend.routing.ports import Verdict
from hazelbend.routing.router import Router
from hazelbend.routing.table import RealServer


@dataclass(slots=True, frozen=True)
class ServerRow:
    index: int  # from 1, in order of first appearance; a server that comes back has its own again
    host: str
    dial: str
    zone: int
    kind: int
    state: str
    out: int
    served: int
    failed: int


@dataclass(slots=True, frozen=True)
class FlowRow:
    id: str
    class_index: int
    age: int  # microseconds
    left: int
    servers: tuple[str, ...]  # of its schedulings under way


@dataclass(slots=True, frozen=True)
class Overview:
    name: str
    uptime: int  # microseconds
    leaving: bool
    taken: int
    abandoned: int
    verdicts: dict[Verdict, int]
    outcomes: dict[Outcome, int]
    flows: tuple[FlowRow, ...]
    servers: tuple[ServerRow, ...]
    fronts: dict[str, int] = field(default_factory=dict)  # open connections by front


def state_word(server: RealServer) -> str:
    if server.held_back:
        return "held back"
    return {WorkerState.READY: "ready", WorkerState.DRAINING: "draining", WorkerState.GONE: "gone"}[
        server.entry.state
    ]


def take_overview(router: Router, name: str, leaving: bool, fronts: dict[str, int]) -> Overview:
    now = router.clock.now()
    servers = sorted(router.table.servers.values(), key=lambda server: server.index)
    return Overview(
        name=name,
        uptime=now - router.started_at,
        leaving=leaving,
        taken=router.tally.taken,
        abandoned=router.tally.abandoned,
        verdicts=dict(router.tally.verdicts),
        outcomes=dict(router.tally.outcomes),
        flows=tuple(
            FlowRow(
                flow.job.id,
                flow.job.class_index,
                now - flow.arrived_at,
                max(flow.deadline - now, 0),
                tuple(each.server.entry.host for each in flow.schedulings if each.server and not each.over),
            )
            for flow in router.flows.values()
        ),
        servers=tuple(
            ServerRow(
                each.index,
                each.entry.host,
                each.entry.dial,
                each.entry.zone,
                each.entry.kind,
                state_word(each),
                each.out,
                each.served,
                each.failed,
            )
            for each in servers
        ),
        fronts=fronts,
    )
