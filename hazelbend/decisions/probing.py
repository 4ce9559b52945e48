"""Decides which workers to probe for a load report, and when. Each probe has a charge."""

from __future__ import annotations

import random
from heapq import nsmallest

from hazelbend.decisions.health import MAX_OVERTAKEN, MAX_PAUSE_US
from hazelbend.decisions.interface import Settings
from hazelbend.decisions.load_model import LoadModel, has_reports_of_large_fleet
from hazelbend.decisions.membership import Membership
from hazelbend.decisions.request import Attempt, Request
from hazelbend.decisions.selection import WorkerSelector, by_score
from hazelbend.decisions.worker import Worker

MAX_PROBES = 2  # for one request
SAMPLE_SIZE = 8  # candidates of a selection with probes: with more, all dispatchers select the same workers
# A request waits for probes for at most this fraction of the mean run time: newer reports gain no more.
PROBE_WAIT_FRACTION = 0.1
# The fraction of a request's value that may be spent on probes.
REQUEST_SPENDING = 0.01  # for requests, where probes are the only source of reports
LARGE_FLEET_SPENDING = 0.004  # for requests, in a large fleet with reports in answers
REFRESH_SPENDING = 0.002  # to refresh old reports, in a large fleet
# Reports older than this are refreshed.
MAX_REPORT_AGE_US = 1_000_000
MAX_CANDIDATE_REPORT_AGE_US = 400_000  # of the candidates of a selection


class Prober:
    """Chooses the workers to probe. Times in microseconds."""

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        load_model: LoadModel,
        selector: WorkerSelector,
        rng: random.Random,
    ) -> None:
        """Choose from the workers of `membership`; `rng` draws samples."""
        self._membership = membership
        self._load_model = load_model
        self._selector = selector
        self._random = rng
        self.refresh_budget = 0.0  # number of probes that may be sent to refresh old reports
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings: the charge of a probe, and the purposes for which probes are sent."""
        self._settings = settings
        charge = settings.probe_charge
        self.refreshes_reports = has_reports_of_large_fleet(settings)
        self._refreshes_per_request = 0.0
        spending = 0.0
        if self.refreshes_reports:
            self._refreshes_per_request = REFRESH_SPENDING / max(charge, REFRESH_SPENDING)
            spending = LARGE_FLEET_SPENDING
        if settings.probes_allowed and settings.reports_by_probe:
            spending = REQUEST_SPENDING
        self._probes_per_request = min(MAX_PROBES, int(spending / max(charge, 1e-6)))

    # --- probes for a request ---

    def probe_wait(self, request: Request, now: int) -> int | None:
        """Return how long the request may wait for probes; None if it must not wait."""
        wait = round(self._load_model.work.value * PROBE_WAIT_FRACTION)
        if not self._probes_per_request or request.deadline - now < 2 * wait:
            return None
        return wait

    def choose_for(self, request: Request, now: int) -> list[Worker]:
        """Choose the candidates of a request; return those to probe before one of them is selected.

        Without probes, the worker with the lowest of many old estimates would be selected, and the lowest
        estimate is the one that is most often wrong.
        """
        eligible = self._selector.eligible(request, self._membership.ready, now)
        if self._settings.reports_inline:
            return self._choose_best(request, eligible, now)
        return self._choose_sample(request, eligible, now)

    def _choose_best(self, request: Request, eligible: list[Worker], now: int) -> list[Worker]:
        rows = self._selector.options(request, eligible, now)
        best = nsmallest(self._probes_per_request + 1, rows, key=by_score)
        request.candidates = [row[-1] for row in best]
        old = [
            worker for worker in request.candidates if now > worker.reported_at + MAX_CANDIDATE_REPORT_AGE_US
        ]
        return old[: self._probes_per_request]

    def _choose_sample(self, request: Request, eligible: list[Worker], now: int) -> list[Worker]:
        # Connections that have been idle since before this time are closed.
        closed_before = now - self._settings.keepalive_timeout
        cheap = [
            worker
            for worker in eligible
            if worker.connection_idle_at > closed_before
            and not worker.attempts
            and worker.entry.zone == self._settings.zone
        ]
        warming = [worker for worker in eligible if worker.slow_start_draw]
        drawn: list[Worker] = []
        for workers, size in ((cheap, SAMPLE_SIZE // 2), (eligible, SAMPLE_SIZE), (warming, SAMPLE_SIZE)):
            drawn += self._random.sample(workers, min(size, len(workers)))
        rows = self._selector.options(request, list(dict.fromkeys(drawn)), now)
        request.candidates = [row[-1] for row in nsmallest(SAMPLE_SIZE, rows, key=by_score)]
        # A worker that has reported within half a period would most likely report the same again.
        fresh = now - self._load_model.report_period.period / 2
        best = request.candidates[: self._probes_per_request]
        return [worker for worker in best if worker.reported_at < fresh]

    # --- probes in a large fleet ---

    def count_arrival(self) -> None:
        """Count a request that has arrived, which adds to the refresh budget."""
        budget = self.refresh_budget + self._refreshes_per_request
        self.refresh_budget = min(budget, 2.0 * len(self._membership.workers))

    def take_stale_workers(self, now: int) -> list[Worker]:
        """Return the workers whose reports to refresh, as far as the budget allows.

        In a large fleet a dispatcher gets few reports in answers: a worker that seemed full would get no
        requests, and so would seem full forever.
        """
        chosen = []
        for worker in self._membership.ready:
            is_old = now - max(worker.reported_at, worker.probed_at) > MAX_REPORT_AGE_US
            if is_old and worker.backoff_until <= now and self.refresh_budget >= 1:
                self.refresh_budget -= 1
                chosen.append(worker)
        return chosen

    def may_be_overloaded(self, attempt: Attempt) -> bool:
        """Whether an unresponsive worker may only be busy with peers' jobs, which a probe can find out."""
        is_lost = bool(attempt.started_at) or attempt.overtaken_by >= MAX_OVERTAKEN
        return self.refreshes_reports and not is_lost

    @staticmethod
    def awaits_probe_answer(worker: Worker, now: int) -> bool:
        """Whether the answer of a probed worker may still come."""
        return now <= worker.probed_at + MAX_PAUSE_US
