"""Decodes batches from the simulator to events of the decision module."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from hazelbend.benchlink import records
from hazelbend.benchlink.errors import MalformedInputError
from hazelbend.benchlink.messages import Configure, Kill, Message
from hazelbend.decisions.interface import (
    AttemptEnded,
    ClientGone,
    JobProgress,
    JobStarted,
    ListKind,
    LoadReport,
    MembershipUpdate,
    Outcome,
    ProbeEnded,
    RequestArrived,
    Settings,
    StreamStarted,
    TimerFired,
    WorkerEntry,
    WorkerState,
)
from hazelbend.decisions.settings import SettingsError, report_fields, settings_from

_OUTCOMES = tuple(Outcome)  # a lookup by index is faster than a call of `Outcome`


def settings_from_json(text: bytes) -> tuple[Settings, tuple[str, ...]]:
    """Return the settings, and the `LoadReport` field of each value of a load report ("" if it is unused).

    Raises:
        MalformedInputError: the text is not JSON, or a setting is invalid.
    """
    try:
        conf = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise MalformedInputError(f"settings: not JSON ({error})") from None
    try:
        settings = settings_from(conf)
    except SettingsError as error:
        raise MalformedInputError(str(error)) from None
    columns = conf.get("report", {}).get("columns", [])
    if not isinstance(columns, list):
        raise MalformedInputError("settings: 'columns' is no list")
    fields = report_fields(conf)
    return settings, tuple(fields.get(str(name), "") for name in columns[: records.MAX_REPORT_VALUES])


class Decoder:
    """Decodes batches.

    Stores the numbered worker lists and the report columns, which later records refer to.
    """

    def __init__(self) -> None:
        """Create a decoder without worker lists and report columns."""
        self._worker_lists: dict[int, tuple[WorkerEntry, ...]] = {}
        self._columns: dict[int, tuple[str, ...]] = {}  # by instance

    def decode(self, count: int, body: bytes) -> list[tuple[int, Message]]:
        """Return the messages of one batch in order, each with the number of its instance.

        `body` consists of `count` records and the tail.

        Raises:
            MalformedInputError: a record violates the protocol.
        """
        if count * records.EVENT_SIZE > len(body):
            raise MalformedInputError(f"batch: {count} records do not fit into {len(body)} bytes")
        tail = memoryview(body)[count * records.EVENT_SIZE :]
        messages: list[tuple[int, Message]] = []
        instance: int | None = None
        for index in range(count):
            offset = index * records.EVENT_SIZE
            code = body[offset]
            if code == records.SELECT_INSTANCE:
                (instance,) = records.SELECT_INSTANCE_LAYOUT.unpack_from(body, offset)
            elif code == records.WORKER_LIST:
                self._store_worker_list(body, offset, tail, index)
            elif instance is None:
                raise MalformedInputError(f"record {index}: code {code} before any instance is named")
            else:
                decode = _DECODERS.get(code)
                if decode is None:
                    raise MalformedInputError(f"record {index}: unknown code {code}")
                message = decode(self, body, offset, instance, tail, index)
                if message is not None:
                    messages.append((instance, message))
        return messages

    def _store_worker_list(self, body: bytes, at: int, tail: memoryview, index: int) -> None:
        number, offset, count = records.WORKER_LIST_LAYOUT.unpack_from(body, at)
        if number >= records.MAX_WORKER_LISTS:
            raise MalformedInputError(
                f"record {index}: list number {number} is over {records.MAX_WORKER_LISTS - 1}"
            )
        data = _slice(tail, offset, count * records.WORKER_ENTRY_LAYOUT.size, index)
        rows = records.WORKER_ENTRY_LAYOUT.iter_unpack(data)
        self._worker_lists[number] = tuple(_worker_entry(row, index) for row in rows)

    # --- one method for each kind of record, all with the same arguments, which _DECODERS requires ---

    def _configure(self, body: bytes, at: int, instance: int, tail: memoryview, index: int) -> Message:
        seed, offset, length = records.CONFIGURE_LAYOUT.unpack_from(body, at)
        settings, columns = settings_from_json(bytes(_slice(tail, offset, length, index)))
        self._columns[instance] = columns
        return Configure(seed, settings, columns)

    def _membership_update(
        self, body: bytes, at: int, instance: int, tail: memoryview, index: int
    ) -> Message:
        kind_code, _, number = records.MEMBERSHIP_UPDATE_LAYOUT.unpack_from(body, at)
        if kind_code > ListKind.FAILED:
            raise MalformedInputError(f"record {index}: unknown list form {kind_code}")
        kind = ListKind(kind_code)
        if kind is ListKind.FAILED:
            return MembershipUpdate(kind)
        if number not in self._worker_lists:
            raise MalformedInputError(f"record {index}: list {number} was never declared")
        return MembershipUpdate(kind, self._worker_lists[number])

    def _request_arrived(self, body: bytes, at: int, instance: int, tail: memoryview, index: int) -> Message:
        row = records.REQUEST_ARRIVED_LAYOUT.unpack_from(body, at)
        request, tenant, flags, key, job_class, slots, timeout, work, _ = row
        expected_work = work if flags & records.WORK_IS_EXPECTED else 0
        return RequestArrived(request, timeout, job_class, tenant, slots or 1.0, expected_work, key)

    def _stream_started(self, body: bytes, at: int, instance: int, tail: memoryview, index: int) -> Message:
        request, _, worker, attempt = records.STREAM_STARTED_LAYOUT.unpack_from(body, at)
        return StreamStarted(request, worker, attempt)

    def _job_signal(
        self, body: bytes, at: int, instance: int, tail: memoryview, index: int
    ) -> Message | None:
        request, kind, share, worker, attempt = records.JOB_SIGNAL_LAYOUT.unpack_from(body, at)
        if kind == records.JOB_STARTED:
            return JobStarted(request, worker, attempt)
        if kind == records.JOB_PROGRESS:
            return JobProgress(request, worker, attempt, share)
        return None  # later versions of the protocol may add other kinds

    def _attempt_ended(self, body: bytes, at: int, instance: int, tail: memoryview, index: int) -> Message:
        row = records.ATTEMPT_ENDED_LAYOUT.unpack_from(body, at)
        request, closed, worker, outcome_code, elapsed, _, attempt, count, *values = row
        outcome = _outcome(outcome_code, index)
        load = _load_report(self._columns.get(instance, ()), count, values)
        return AttemptEnded(request, worker, attempt, outcome, bool(closed), elapsed, load)

    def _client_gone(self, body: bytes, at: int, instance: int, tail: memoryview, index: int) -> Message:
        return ClientGone(records.ID_LAYOUT.unpack_from(body, at)[0])

    def _timer_fired(self, body: bytes, at: int, instance: int, tail: memoryview, index: int) -> Message:
        return TimerFired(records.ID_LAYOUT.unpack_from(body, at)[0])

    def _probe_ended(self, body: bytes, at: int, instance: int, tail: memoryview, index: int) -> Message:
        outcome_code, worker, elapsed, count, *values = records.PROBE_ENDED_LAYOUT.unpack_from(body, at)
        load = _load_report(self._columns.get(instance, ()), count, values)
        return ProbeEnded(worker, _outcome(outcome_code, index), elapsed, load)

    def _kill(self, body: bytes, at: int, instance: int, tail: memoryview, index: int) -> Message:
        self._columns.pop(instance, None)
        return Kill()

    def _peer_message(self, body: bytes, at: int, instance: int, tail: memoryview, index: int) -> None:
        """Skip a message from another instance: dispatchers share no state."""


_DECODERS: dict[int, Callable[[Decoder, bytes, int, int, memoryview, int], Message | None]] = {
    records.CONFIGURE: Decoder._configure,
    records.MEMBERSHIP_UPDATE: Decoder._membership_update,
    records.REQUEST_ARRIVED: Decoder._request_arrived,
    records.STREAM_STARTED: Decoder._stream_started,
    records.ATTEMPT_ENDED: Decoder._attempt_ended,
    records.CLIENT_GONE: Decoder._client_gone,
    records.TIMER_FIRED: Decoder._timer_fired,
    records.PROBE_ENDED: Decoder._probe_ended,
    records.PEER_MESSAGE: Decoder._peer_message,
    records.KILL: Decoder._kill,
    records.JOB_SIGNAL: Decoder._job_signal,
}


def _load_report(columns: tuple[str, ...], count: int, values: list[float]) -> LoadReport | None:
    """Return a load report with the first `count` values by their columns, or None if there are none.

    Fields without a value stay unknown.
    """
    if not count:
        return None
    fields = {name: value for name, value in zip(columns, values[:count], strict=False) if name}
    return LoadReport(**fields) if fields else None


def _outcome(code: int, index: int) -> Outcome:
    if code > Outcome.NOT_SENT:
        raise MalformedInputError(f"record {index}: unknown outcome {code}")
    return _OUTCOMES[code]


def _worker_entry(row: tuple[Any, ...], index: int) -> WorkerEntry:
    worker, zone, machine_kind, cell, state, weight, started_at = row
    if state > WorkerState.GONE:
        raise MalformedInputError(f"record {index}: unknown worker state {state}")
    return WorkerEntry(worker, zone, machine_kind, cell, WorkerState(state), weight, started_at)


def _slice(tail: memoryview, offset: int, length: int, index: int) -> memoryview:
    if offset + length > len(tail):
        raise MalformedInputError(f"record {index}: bytes {offset} to {offset + length} lie outside the tail")
    return tail[offset : offset + length]
