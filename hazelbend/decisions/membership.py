"""The membership list: the known workers, and which of them take new requests."""

from __future__ import annotations

from hazelbend.decisions.health import end_backoff
from hazelbend.decisions.interface import ListKind, MembershipUpdate, WorkerEntry, WorkerId, WorkerState
from hazelbend.decisions.load_model import LoadModel
from hazelbend.decisions.reliability import FailureEstimate
from hazelbend.decisions.worker import Worker

MIN_WEIGHT = 1e-6


class Membership:
    """The listed workers, and those of them that take new requests."""

    def __init__(self, load_model: LoadModel) -> None:
        """Start without workers."""
        self._load_model = load_model
        self.workers: dict[WorkerId, Worker] = {}
        self.ready: dict[Worker, None] = {}

    def apply(self, update: MembershipUpdate, now: int) -> None:
        """Apply a complete list, or changes of it."""
        if update.kind is not ListKind.DELTA:
            listed = {entry.worker for entry in update.entries}
            self.workers = {number: worker for number, worker in self.workers.items() if number in listed}
        for entry in update.entries:
            self._apply_entry(entry, now)
        self.ready = {
            worker: None for worker in self.workers.values() if worker.entry.state is WorkerState.READY
        }

    def _apply_entry(self, entry: WorkerEntry, now: int) -> None:
        if entry.state is WorkerState.GONE:
            self.workers.pop(entry.worker, None)
            return
        worker = self.workers.get(entry.worker)
        if worker is None:
            worker = self.workers[entry.worker] = Worker(entry, 0.0, peer_jobs_at=now)
        elif entry.started_at > worker.entry.started_at:
            _reset(worker, now)
        worker.entry = entry
        worker.weight = max(entry.weight, MIN_WEIGHT)
        settings = self._load_model.settings
        is_warming_up = settings.capacity_fraction(entry.started_at, now) < 1.0
        # 1.0 is higher than any drawn number: no request is sent there until `SlowStart` draws one.
        worker.slow_start_draw = float(is_warming_up and not self._load_model.uses_plan)
        if settings.weights_fall_with_load:
            self._load_model.apply_weight(worker, now)
        self._load_model.update_rate(worker, now)


def _reset(worker: Worker, now: int) -> None:
    """Drop the estimates for a worker's previous process: nothing runs in the new one yet."""
    worker.peer_jobs = 0
    worker.peer_jobs_at = now
    worker.cached_keys = {}
    worker.reliability = FailureEstimate()
    end_backoff(worker, now)
