"""Waiting jobs on both fronts, when deploy/waiting.toml is enabled. Imported only then."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from multidict import MultiMapping

from hazelbend.protocol.http_fields import BadRequest, patience
from hazelbend.protocol.stomp import Frame
from hazelbend.protocol.stomp_jobs import request_id
from hazelbend.protocol.waiting_terms import read_terms
from hazelbend.routing.ports import Job
from hazelbend.waiting.gate import Gate, Held, wall_now
from hazelbend.waiting.settings import WaitingSettings
from hazelbend.waiting.terms import Bounds, Terms, TermsError

if TYPE_CHECKING:
    from hazelbend.program.app import App

ENDS = "the dispatcher ends"


class Waiting:
    def __init__(self, settings: WaitingSettings, app: App) -> None:
        self._app, self.settings = app, settings
        self.gate = Gate(
            app.router,
            self._bounds(),
            settings.ordinary,
            lambda index: app.conf.settings.classes[index].late_worth,
            lambda index: app.conf.settings.classes[index].objective,
        )
        self._join()

    def _bounds(self) -> Bounds:
        catalogue = self._app.conf.catalogue
        return self.settings.bounds(tuple(row.name for row in catalogue.classes), catalogue.tenants)

    def _join(self) -> None:
        reads = self.settings.http_headers or self.settings.ordinary
        self._app.edge.gate = self._http if reads else None
        if self._app.stomp is not None:
            self._app.stomp.gate = self._stomp
            self._app.stomp.cancel = lambda client, own_id: self.gate.cancel((client, own_id))

    def change(self, settings: WaitingSettings) -> None:
        self.settings = settings
        self.gate.change(self._bounds(), settings.ordinary)
        self._join()

    def stop(self) -> None:
        """Turned off: what waits is refused, what runs goes on."""
        self._app.edge.gate = None
        if self._app.stomp is not None:
            self._app.stomp.gate = self._app.stomp.cancel = None
        self.gate.refuse_rest("jobs do not wait here any more")
        self.gate.close()

    def leave(self, seconds: float) -> None:
        self.gate.leave(ENDS, wall_now() + round(seconds * 1e6))

    async def finish(self, seconds: float) -> None:
        """What can still run does; the rest is refused in time for its clients to hear of it."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.gate.drained()
        self.gate.refuse_rest(ENDS)

    # --- what the fronts call ---

    def _http(self, job: Job, headers: MultiMapping[str]) -> Held:
        if not self.settings.http_headers:
            return self._take(job, "", job.id, Terms(), None)
        names = ("X-After", "X-Not-Before", "X-Wanted-Ms", "X-Take-Results")
        for name in names:
            if len(headers.getall(name, [])) > 1:
                raise BadRequest(f"{name} stands there more than once")
        tenants = self._app.conf.catalogue.tenants
        terms = self._terms(*(headers.get(name, "") for name in names))
        client = tenants[job.tenant] if tenants else ""
        return self._take(job, client, job.id, terms, headers.get("X-Timeout-Ms"))

    def _stomp(self, job: Job, client: str, frame: Frame) -> Held:
        names = ("after", "not-before", "wanted", "take-results")
        terms = self._terms(*(frame.get(name) for name in names))
        return self._take(job, client, request_id(frame), terms, frame.headers.get("deadline"))

    def _terms(self, after: str, not_before: str, wanted: str, take_results: str) -> Terms:
        return read_terms(after, not_before, wanted, take_results, self._app.router.clock.now())

    def _take(self, job: Job, client: str, own_id: str, terms: Terms, said: str | None) -> Held:
        catalogue, wait = self._app.conf.catalogue, job.patience
        if terms.waits and said is not None:
            # A job that waits may do so for longer than its class may run.
            wait = patience(said, round(self.settings.limits.longest_s * 1e3), catalogue.margin)
        try:
            return self.gate.take(job, (client, own_id), terms, wait)
        except TermsError as error:
            raise BadRequest(str(error)) from None
