"""Partner boxes that take work over STOMP: links to real servers, the other way round."""

from __future__ import annotations

import asyncio
import logging
import secrets
from dataclasses import dataclass

from hazelbend.decisions.interface import Outcome, WorkerState
from hazelbend.protocol import stomp_jobs
from hazelbend.protocol.http_fields import Catalogue
from hazelbend.protocol.stomp import Frame
from hazelbend.protocol.worker_lines import LoadReportFields, read_line
from hazelbend.routing.ports import (
    AttemptCallback,
    AttemptResult,
    AttemptWritten,
    BeforeFirstByte,
    Endpoint,
    Job,
    ProgressReport,
)
from hazelbend.routing.router import Router
from hazelbend.transport.stomp.stomp_clients import Outlet

log = logging.getLogger("hazelbend.stomp")


@dataclass(slots=True, frozen=True)
class BoxAccount:
    """A partner's box, as our file lists it."""

    login: str
    passcode_sha256: str
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0


@dataclass(slots=True)
class _Work:
    job: Job
    on_progress: AttemptCallback
    ending: asyncio.Future[AttemptResult]
    started: bool = False


class StompBackendClient:
    """One connected box. Jobs go out as MESSAGEs of its subscription; its news come back as SENDs."""

    def __init__(
        self, outlet: Outlet, subscription: str, catalogue: Catalogue, fields: LoadReportFields
    ) -> None:
        self.outlet, self.subscription = outlet, subscription
        self._catalogue, self._fields = catalogue, fields
        self._work: dict[str, _Work] = {}
        self._lost = False

    def change(self, catalogue: Catalogue, fields: LoadReportFields) -> None:
        self._catalogue, self._fields = catalogue, fields

    @property
    def jobs(self) -> int:
        return len(self._work)

    async def attempt(
        self,
        job: Job,
        before_first_byte: BeforeFirstByte,
        on_progress: AttemptCallback,
    ) -> AttemptResult:
        if self._lost:
            return AttemptResult(Outcome.CONNECT_FAILED)
        if (left := before_first_byte()) is None:
            return AttemptResult(Outcome.NOT_SENT)
        message_id = secrets.token_hex(8)
        frame = Frame(
            "MESSAGE",
            {
                **self._head(message_id, "job"),
                **stomp_jobs.work_headers(job, left, self._catalogue),
            },
            job.body,
        )
        if not self.outlet.send(frame):
            return AttemptResult(Outcome.CONNECT_FAILED)  # not a byte of it went out
        on_progress(AttemptWritten())
        work = self._work[message_id] = _Work(job, on_progress, asyncio.get_running_loop().create_future())
        try:
            return await work.ending
        except asyncio.CancelledError:
            self.outlet.send(Frame("MESSAGE", {**self._head(message_id, "cancel"), "request-id": job.id}))
            raise
        finally:
            del self._work[message_id]

    async def probe(self, timeout_us: int) -> AttemptResult:
        """The connection is the probe: heart-beats watch over it."""
        return AttemptResult(Outcome.CONNECT_FAILED if self._lost else Outcome.SERVED)

    def close(self) -> None:
        """The box left the table; what it still has goes on until its connection is lost."""

    def news(self, frame: Frame) -> None:
        """A SEND to the news destination. What speaks of no job that is out comes too late."""
        work = self._work.get(frame.get("message-id"))
        if work is None or work.ending.done():
            return
        try:
            said = read_line(frame.body, work.job.id, self._fields)
        except ValueError as error:
            log.warning("box: unreadable news: %s", error)
            said = AttemptResult(Outcome.ERROR)
        if isinstance(said, ProgressReport):
            work.started = True
            work.on_progress(said)
        elif said is not None:
            work.ending.set_result(said)

    def settle(self, message_id: str, good: bool) -> bool:
        """An ACK is custody and nothing more; a NACK hands a job back, unstarted unless it said otherwise."""
        work = self._work.get(message_id)
        if work is not None and not good and not work.ending.done():
            work.ending.set_result(AttemptResult(Outcome.ERROR if work.started else Outcome.FULL))
        return work is not None

    def lost(self) -> None:
        """The connection is gone: whatever was out there may have run."""
        self._lost = True
        for work in self._work.values():
            if not work.ending.done():
                work.ending.set_result(AttemptResult(Outcome.RESET))

    def _head(self, message_id: str, kind: str) -> dict[str, str]:
        return {
            "subscription": self.subscription,
            "message-id": message_id,
            "destination": stomp_jobs.WORK_DESTINATION,
            "ack": message_id,
            "type": kind,
        }


class Boxes:
    """Which of the listed boxes are connected. A second connection of a box takes the place of the first."""

    def __init__(self, router: Router, catalogue: Catalogue, fields: LoadReportFields) -> None:
        self._router, self._catalogue, self._fields = router, catalogue, fields
        self._links: dict[str, StompBackendClient] = {}

    def change(self, catalogue: Catalogue, fields: LoadReportFields) -> None:
        self._catalogue, self._fields = catalogue, fields
        for link in self._links.values():
            link.change(catalogue, fields)

    @property
    def connected(self) -> int:
        return len(self._links)

    def join(self, account: BoxAccount, outlet: Outlet, subscription: str) -> StompBackendClient:
        """A box subscribes for work. A new connection makes it a freshly started server: it is cold."""
        link = self._links.get(account.login)
        if link is not None and link.outlet is outlet:
            link.subscription = subscription
            self._router.change_registered(_host(account), WorkerState.READY)
            return link
        if link is not None:
            self.leave(account, link)
            link.outlet.cut("another connection of this box has taken its place")
        link = self._links[account.login] = StompBackendClient(
            outlet, subscription, self._catalogue, self._fields
        )
        entry = Endpoint(
            host=_host(account),
            dial="",
            zone=account.zone,
            kind=account.kind,
            cell=account.cell,
            state=WorkerState.READY,
            weight=account.weight,
            started_at=self._router.clock.now(),
        )
        self._router.register(entry, link)
        log.info("box %s: connected", account.login)
        return link

    def drain(self, account: BoxAccount, link: StompBackendClient) -> None:
        """It unsubscribed: it finishes what it has and wants nothing new."""
        if self._links.get(account.login) is link:
            self._router.change_registered(_host(account), WorkerState.DRAINING)

    def leave(self, account: BoxAccount, link: StompBackendClient) -> None:
        """Its connection is lost."""
        link.lost()
        if self._links.get(account.login) is link:
            del self._links[account.login]
            self._router.change_registered(_host(account), WorkerState.GONE)
            log.info("box %s: gone", account.login)


def _host(account: BoxAccount) -> str:
    return f"stomp/{account.login}"
