"""Waiting jobs on both fronts, when deploy/waiting.toml is enabled. Imported only then."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter

from multidict import MultiMapping

from hazelbend.dispatcher.extensions import CommandError, ConsoleCommand, Extension, ExtensionContext
from hazelbend.dispatcher.text_table import format_table
from hazelbend.job_queue.gate import JobGate, PendingJob, wall_now
from hazelbend.job_queue.settings import WaitingSettings
from hazelbend.job_queue.terms import Bounds, JobTerms, TermsError
from hazelbend.protocol.http_fields import BadRequestError, timeout_us
from hazelbend.protocol.stomp import Frame
from hazelbend.protocol.stomp_jobs import request_id
from hazelbend.protocol.waiting_terms import read_terms
from hazelbend.routing.ports import Job

ENDING_REASON = "the dispatcher ends"
MAX_ROWS = 200  # waiting jobs shown on the console
US_PER_S = 1e6
MS_PER_S = 1e3


class Waiting(Extension):
    """The extension: its gate before the router, and what the listeners and the console call."""

    def __init__(self, context: ExtensionContext) -> None:
        self._context = context
        self.settings = self._wanted()
        self.gate = JobGate(
            context.router,
            self._bounds(),
            self.settings.admission_for_all,
            lambda index: context.conf.settings.classes[index].late_value_fraction,
            lambda index: context.conf.settings.classes[index].objective,
        )
        self._join()

    def _wanted(self) -> WaitingSettings:
        assert self._context.conf.waiting is not None
        return self._context.conf.waiting

    def _bounds(self) -> Bounds:
        catalogue = self._context.conf.catalogue
        return self.settings.bounds(tuple(row.name for row in catalogue.classes), catalogue.tenants)

    def _join(self) -> None:
        reads = self.settings.http_headers or self.settings.admission_for_all
        self._context.client_listener.gate = self._http if reads else None
        if self._context.stomp is not None:
            self._context.stomp.gate = self._stomp
            self._context.stomp.cancel = lambda client, own_id: self.gate.cancel((client, own_id))

    def change(self) -> None:
        """Apply reloaded settings."""
        self.settings = self._wanted()
        self.gate.change(self._bounds(), self.settings.admission_for_all)
        self._join()

    def stop(self) -> None:
        """Turned off: what waits is refused, what runs goes on."""
        self._context.client_listener.gate = None
        if self._context.stomp is not None:
            self._context.stomp.gate = self._context.stomp.cancel = None
        self.gate.reject_waiting("jobs do not wait here any more")
        self.gate.close()

    async def leave(self, seconds: float) -> None:
        """Refuse at once what can't start within these seconds."""
        self.gate.begin_shutdown(ENDING_REASON, wall_now() + round(seconds * US_PER_S))

    async def finish(self, seconds: float) -> None:
        """What can still run does; the rest is refused in time for its clients to hear of it."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.gate.wait_drained()
        self.gate.reject_waiting(ENDING_REASON)

    def end(self) -> None:
        """Refuse what still waits."""
        self.gate.close()

    # --- what operators see and do ---

    def counts(self) -> dict[str, int]:
        """The `waiting.*` figures."""
        return self.gate.counts([row.name for row in self._context.conf.catalogue.classes])

    def shows(self) -> dict[str, ConsoleCommand]:
        """`show waiting` of the console."""
        return {"waiting": self._show}

    def verbs(self) -> dict[str, ConsoleCommand]:
        """`cancel` of the console."""
        return {"cancel": self._cancel}

    def _show(self) -> str:
        catalogue = self._context.conf.catalogue
        rows = self.gate.rows()
        counts = Counter(catalogue.classes[row.class_index].name for row in rows)
        lines: list[tuple[object, ...]] = [("CLIENT", "ID", "CLASS", "TENANT", "WAITS", "LEFT", "FOR")]
        for row in rows[:MAX_ROWS]:
            tenant = catalogue.tenants[row.tenant] if catalogue.tenants else "-"
            name = catalogue.classes[row.class_index].name
            age = f"{row.age_us / US_PER_S:.1f} s"
            remaining = f"{row.remaining_us / US_PER_S:.1f} s"
            lines.append((row.client or "-", row.id, name, tenant, age, remaining, row.waits_for))
        more = f"{len(rows)} wait" + "".join(f", {name} {count}" for name, count in counts.most_common())
        return "\n".join([format_table(lines), more])

    def _cancel(self, client: str, own_id: str) -> str:
        if not self.gate.cancel(("" if client == "-" else client, own_id)):
            raise CommandError(f"no job {own_id!r} of {client!r} waits; see: show waiting")
        return f"{own_id}: refused"

    # --- what the fronts call ---

    def _http(self, job: Job, headers: MultiMapping[str]) -> PendingJob:
        if not self.settings.http_headers:
            return self._submit(job, "", job.id, JobTerms(), None)
        names = ("X-After", "X-Not-Before", "X-Wanted-Ms", "X-Take-Results")
        for name in names:
            if len(headers.getall(name, [])) > 1:
                raise BadRequestError(f"{name} stands there more than once")
        tenants = self._context.conf.catalogue.tenants
        terms = self._terms(*(headers.get(name, "") for name in names))
        client = tenants[job.tenant] if tenants else ""
        return self._submit(job, client, job.id, terms, headers.get("X-Timeout-Ms"))

    def _stomp(self, job: Job, client: str, frame: Frame) -> PendingJob:
        names = ("after", "not-before", "wanted", "take-results")
        terms = self._terms(*(frame.get(name) for name in names))
        return self._submit(job, client, request_id(frame), terms, frame.headers.get("deadline"))

    def _terms(self, after: str, not_before: str, wanted: str, take_results: str) -> JobTerms:
        return read_terms(after, not_before, wanted, take_results, self._context.router.clock.now())

    def _submit(
        self, job: Job, client: str, own_id: str, terms: JobTerms, timeout_text: str | None
    ) -> PendingJob:
        catalogue = self._context.conf.catalogue
        wait = job.timeout_us
        if terms.waits and timeout_text is not None:
            # A job that waits may do so for longer than its class may run.
            wait = timeout_us(
                timeout_text, round(self.settings.limits.longest_s * MS_PER_S), catalogue.margin_us
            )
        try:
            return self.gate.submit(job, (client, own_id), terms, wait)
        except TermsError as error:
            raise BadRequestError(str(error)) from None
