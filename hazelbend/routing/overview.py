"""A snapshot of the dispatcher's state for the console, the admin endpoint and SNMP.

Counts run from the start of the process; all other values are as of the snapshot. In the operators'
interfaces an open request is called a flow, and a metric a figure.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from hazelbend.decisions.interface import Outcome, WorkerState
from hazelbend.routing.ports import Verdict
from hazelbend.routing.request_context import RequestContext
from hazelbend.routing.router import Router
from hazelbend.routing.table import Backend

MANUALLY_DRAINED = "held back"
STATE_LABELS = {WorkerState.READY: "ready", WorkerState.DRAINING: "draining", WorkerState.GONE: "gone"}


@dataclass(slots=True, frozen=True)
class ServerRow:
    """One backend server."""

    index: int  # from 1, in order of first appearance; a server that returns keeps its index
    host: str
    dial: str
    zone: int
    kind: int
    state: str  # as `state_label` returns it
    in_flight: int  # attempts
    served: int
    failed: int


@dataclass(slots=True, frozen=True)
class FlowRow:
    """One open request."""

    id: str
    class_index: int
    age_us: int
    remaining_us: int  # until its deadline; 0 if that has passed
    servers: tuple[str, ...]  # hosts of its attempts in flight


@dataclass(slots=True, frozen=True)
class ClassFigures:
    """Counts of the final answers to one request class."""

    name: str
    succeeded: int  # `Verdict.SERVED`
    declined: int  # `Verdict.REFUSED`
    aborted: int  # `Verdict.FAILED`


@dataclass(slots=True, frozen=True)
class Figures:
    """The metrics that operators monitor."""

    classes: tuple[ClassFigures, ...]
    forwards: int  # attempts written completely to servers
    outstanding: int  # jobs received and not yet answered
    discovered: int  # servers on the endpoint list
    ejected: int  # of those, the ones in backoff by the decision module or manually drained
    # Metrics of optional components, by name.
    component_figures: Mapping[str, int] = field(default_factory=dict)

    def named(self) -> dict[str, int]:
        """Return all metrics by the names under which they are published."""
        figures = {}
        for row in self.classes:
            figures[f"succeeded.{row.name}"] = row.succeeded
            figures[f"declined.{row.name}"] = row.declined
            figures[f"aborted.{row.name}"] = row.aborted
        figures["forwards"] = self.forwards
        figures["outstanding"] = self.outstanding
        figures["discovered"] = self.discovered
        figures["ejected"] = self.ejected
        return {**figures, **self.component_figures}


@dataclass(slots=True, frozen=True)
class Overview:
    """The complete snapshot."""

    name: str
    uptime_us: int
    state: str  # serving, draining or leaving
    received: int  # jobs
    abandoned: int  # jobs whose client disconnected before the answer
    verdicts: dict[Verdict, int]
    figures: Figures
    outcomes: dict[Outcome, int]  # of attempts
    flows: tuple[FlowRow, ...]
    servers: tuple[ServerRow, ...]
    fronts: dict[str, int] = field(default_factory=dict)  # open connections, by listener


def state_label(server: Backend) -> str:
    """Return the state of a backend as it is shown to operators."""
    if server.is_manually_drained:
        return MANUALLY_DRAINED
    return STATE_LABELS[server.entry.state]


def collect_figures(router: Router, classes: Iterable[str]) -> Figures:
    """Collect a router's metrics, without those of optional components. `classes`: names by class index."""
    answers = router.counters.answers
    servers = router.table.backends
    workers_in_backoff = router.module.workers_in_backoff(router.clock.now())
    return Figures(
        classes=tuple(
            ClassFigures(
                name,
                succeeded=answers[index, Verdict.SERVED],
                declined=answers[index, Verdict.REFUSED],
                aborted=answers[index, Verdict.FAILED],
            )
            for index, name in enumerate(classes)
        ),
        forwards=router.counters.forwards,
        outstanding=sum(not flow.is_closed for flow in router.requests.values()),
        discovered=len(servers),
        ejected=sum(
            server.is_manually_drained or number in workers_in_backoff for number, server in servers.items()
        ),
    )


def build_overview(
    router: Router, name: str, state: str, classes: Iterable[str], fronts: dict[str, int]
) -> Overview:
    """Take a snapshot of a router. `name`, `state` and `fronts` are copied into it unchanged."""
    now = router.clock.now()
    servers = sorted(router.table.backends.values(), key=lambda server: server.index)
    return Overview(
        name=name,
        uptime_us=now - router.started_at,
        state=state,
        received=router.counters.received,
        abandoned=router.counters.abandoned,
        verdicts=router.counters.verdicts,
        figures=collect_figures(router, classes),
        outcomes=dict(router.counters.outcomes),
        flows=tuple(_flow_row(request, now) for request in router.requests.values()),
        servers=tuple(_server_row(server) for server in servers),
        fronts=fronts,
    )


def _flow_row(request: RequestContext, now: int) -> FlowRow:
    return FlowRow(
        id=request.job.id,
        class_index=request.job.class_index,
        age_us=now - request.arrived_at,
        remaining_us=max(request.deadline - now, 0),
        servers=tuple(
            attempt.backend.entry.host
            for attempt in request.attempts
            if attempt.backend and not attempt.is_finished
        ),
    )


def _server_row(server: Backend) -> ServerRow:
    return ServerRow(
        index=server.index,
        host=server.entry.host,
        dial=server.entry.dial,
        zone=server.entry.zone,
        kind=server.entry.kind,
        state=state_label(server),
        in_flight=server.in_flight,
        served=server.served,
        failed=server.failed,
    )
