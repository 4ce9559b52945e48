"""The program's state at a moment, as plain values: what the console shows and SNMP tells."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from hazelbend.decisions.interface import Outcome, WorkerState
from hazelbend.routing.ports import Verdict
from hazelbend.routing.router import Router
from hazelbend.routing.table import Backend


@dataclass(slots=True, frozen=True)
class ServerRow:
    """What operators see of a backend."""

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
    """What operators see of an open request."""

    id: str
    class_index: int
    age: int  # microseconds
    left: int
    servers: tuple[str, ...]  # of its attempts under way


@dataclass(slots=True, frozen=True)
class ClassFigures:
    """Counts of one class."""

    name: str
    succeeded: int
    declined: int
    aborted: int


@dataclass(slots=True, frozen=True)
class Figures:
    """What operators watch. Counts run from the start; the rest is as of now."""

    classes: tuple[ClassFigures, ...]
    forwards: int  # attempts written whole to servers
    outstanding: int  # jobs taken and not yet answered
    discovered: int  # servers on the list
    ejected: int  # of those, the ones that are avoided now: shut out by the module, or drained by hand
    further: Mapping[str, int] = field(default_factory=dict)  # of parts that are not always on

    def named(self) -> dict[str, int]:
        """Each by the name that the operators know it by."""
        found = {}
        for each in self.classes:
            found[f"succeeded.{each.name}"] = each.succeeded
            found[f"declined.{each.name}"] = each.declined
            found[f"aborted.{each.name}"] = each.aborted
        for name in ("forwards", "outstanding", "discovered", "ejected"):
            found[name] = getattr(self, name)
        return {**found, **self.further}


@dataclass(slots=True, frozen=True)
class Overview:
    """The whole view of one moment."""

    name: str
    uptime: int  # microseconds
    state: str  # serving, draining or leaving
    taken: int
    abandoned: int
    verdicts: dict[Verdict, int]
    figures: Figures
    outcomes: dict[Outcome, int]
    flows: tuple[FlowRow, ...]
    servers: tuple[ServerRow, ...]
    fronts: dict[str, int] = field(default_factory=dict)  # open connections by front


def state_word(server: Backend) -> str:
    """The state of a backend, in one word."""
    if server.is_manually_drained:
        return "held back"
    return {WorkerState.READY: "ready", WorkerState.DRAINING: "draining", WorkerState.GONE: "gone"}[
        server.entry.state
    ]


def take_figures(router: Router, classes: Iterable[str]) -> Figures:
    """The counts of this moment."""
    answers, servers = router.counters.answers, router.table.servers
    avoided = router.module.avoided(router.clock.now())
    return Figures(
        classes=tuple(
            ClassFigures(
                name,
                answers[index, Verdict.SERVED],
                answers[index, Verdict.REFUSED],
                answers[index, Verdict.FAILED],
            )
            for index, name in enumerate(classes)
        ),
        forwards=router.counters.forwards,
        outstanding=sum(not flow.is_closed for flow in router.requests.values()),
        discovered=len(servers),
        ejected=sum(each.is_manually_drained or number in avoided for number, each in servers.items()),
    )


def take_overview(
    router: Router, name: str, state: str, classes: Iterable[str], fronts: dict[str, int]
) -> Overview:
    """The view of this moment."""
    now = router.clock.now()
    servers = sorted(router.table.servers.values(), key=lambda server: server.index)
    return Overview(
        name=name,
        uptime=now - router.started_at,
        state=state,
        taken=router.counters.received,
        abandoned=router.counters.abandoned,
        verdicts=router.counters.verdicts,
        figures=take_figures(router, classes),
        outcomes=dict(router.counters.outcomes),
        flows=tuple(
            FlowRow(
                flow.job.id,
                flow.job.class_index,
                now - flow.arrived_at,
                max(flow.deadline - now, 0),
                tuple(each.backend.entry.host for each in flow.attempts if each.backend and not each.is_over),
            )
            for flow in router.requests.values()
        ),
        servers=tuple(
            ServerRow(
                each.index,
                each.entry.host,
                each.entry.dial,
                each.entry.zone,
                each.entry.kind,
                state_word(each),
                each.in_flight,
                each.served,
                each.failed,
            )
            for each in servers
        ),
        fronts=fronts,
    )
