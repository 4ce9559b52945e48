"""Admission control: whether a request may go to its best worker now, or has to wait or be rejected."""

from __future__ import annotations

from collections.abc import Iterable

from hazelbend.decisions.interface import JobClass, Settings
from hazelbend.decisions.load_model import LoadModel
from hazelbend.decisions.request import Request
from hazelbend.decisions.selection import Option
from hazelbend.decisions.worker import Worker

WAIT_SAFETY_FACTOR = 2.0  # waits are roughly exponential, so twice the expected wait is common


class Admission:
    """Compares the expected wait of a request with the longest one it can afford. Times in microseconds."""

    def __init__(self, settings: Settings, load_model: LoadModel) -> None:
        """Use the run times that `load_model` has learnt."""
        self.settings = settings
        self._load_model = load_model

    def is_too_late(self, request: Request, option: Option, now: int) -> bool:
        """Whether the request would be late at its best worker, and so delay the next one as well."""
        is_queued = option.delay > option.run_time
        is_known = option.worker.slots > 0 or self._load_model.uses_plan
        if not (is_queued and is_known):
            return False
        return option.delay - option.run_time > self._max_wait(request, option, request.target - now)

    def retry_after(self, request: Request, option: Option | None, ready: Iterable[Worker], now: int) -> int:
        """Return the time until a retry may succeed.

        That is when the queue of the best worker is short enough, or, without an option, when the first
        worker in backoff may get a trial request.
        """
        tick = self.settings.tick
        if option is None:
            trials = [worker.backoff_until - now for worker in ready if worker.backoff_until > now]
            return round(max(min(trials, default=self._load_model.work.value), tick))
        time_left = request.job.objective + request.job.stretch * request.work
        max_wait = self._max_wait(request, option, time_left)
        return round(max(option.delay - option.run_time - max(max_wait, 0.0), tick))

    def _max_wait(self, request: Request, option: Option, time_left: float) -> float:
        """Return the longest wait at the worker with which the request is admitted.

        That is the longest wait with which it can still be in time, shortened where another class has more
        value per unit of work. Then the result lies between that wait and the longest one with which a job of
        the other class can still be in time behind this request; the lower the request's own value, the
        nearer it is to the latter. In overload, jobs of more value thus take the place of this request.
        """
        model = self._load_model
        run_ratio = option.run_time / model.work.value
        added_wait = request.cost * option.run_time / option.worker.concurrency
        own_wait = (time_left - run_ratio * request.work) / WAIT_SAFETY_FACTOR
        own_value = self.value_rate(request.job, request.class_index)
        waits = [own_wait]
        for index, job in enumerate(self.settings.classes):
            value = self.value_rate(job, index)
            if value > own_value:
                run_time = model.run_times[index].value
                wait = (
                    job.objective + (job.stretch - run_ratio) * run_time
                ) / WAIT_SAFETY_FACTOR - added_wait
                waits.append(wait + (own_wait - wait) * own_value / value)
        return min(waits)

    def value_rate(self, job: JobClass, index: int) -> float:
        """Return the value of a unit of work of a job class."""
        if self.settings.value_per_work:
            return job.value
        return job.value / self._load_model.run_times[index].value
