"""The bodies of calls to the system's own interfaces: heartbeats of workers, as JSON."""

from __future__ import annotations

import msgspec

from hazelbend.control.workers import WorkerRecord, WorkerState


class _Model(msgspec.Struct):
    name: str


class _Heartbeat(msgspec.Struct):
    backend: str
    addr: str
    zone: str
    seq: int
    state: str = "ready"
    capacity: int = 1
    cold_left_ms: float = msgspec.field(default=0, name="coldLeftMs")
    phase: str = ""
    models: tuple[_Model, ...] = ()


_heartbeats = msgspec.json.Decoder(_Heartbeat)
_STATES = {"ready": WorkerState.READY, "draining": WorkerState.DRAINING}


def read_heartbeat(instance: str, body: bytes) -> WorkerRecord:
    """The record that a worker's heartbeat tells.

    Raises:
        ValueError: it can't be read; the text says why.
    """
    try:
        beat = _heartbeats.decode(body)
    except msgspec.DecodeError as error:
        raise ValueError(str(error)) from None
    if beat.state not in _STATES:
        raise ValueError(f"state: unknown {beat.state!r}")
    return WorkerRecord(
        instance=instance,
        service=beat.backend,
        address=beat.addr,
        zone=beat.zone,
        state=_STATES[beat.state],
        seq=beat.seq,
        capacity=max(beat.capacity, 1),
        phase=beat.phase,
        models=tuple(model.name for model in beat.models),
        cold_left_ms=round(beat.cold_left_ms),
    )
