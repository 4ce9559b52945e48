"""Parses the JSON bodies of the heartbeats that workers send to a control process."""

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
    warm_up_left_ms: float = msgspec.field(default=0, name="coldLeftMs")
    phase: str = ""
    models: tuple[_Model, ...] = ()


_heartbeat_decoder = msgspec.json.Decoder(_Heartbeat)
_STATES = {"ready": WorkerState.READY, "draining": WorkerState.DRAINING}


def parse_heartbeat(instance: str, body: bytes) -> WorkerRecord:
    """Parse the body of a worker's heartbeat into its record.

    Raises:
        ValueError: the body is not a valid heartbeat; the text names the fault.
    """
    try:
        heartbeat = _heartbeat_decoder.decode(body)
    except msgspec.DecodeError as error:
        raise ValueError(str(error)) from None
    if heartbeat.state not in _STATES:
        raise ValueError(f"state: unknown {heartbeat.state!r}")
    return WorkerRecord(
        instance=instance,
        service=heartbeat.backend,
        address=heartbeat.addr,
        zone=heartbeat.zone,
        state=_STATES[heartbeat.state],
        seq=heartbeat.seq,
        capacity=max(heartbeat.capacity, 1),
        phase=heartbeat.phase,
        models=tuple(model.name for model in heartbeat.models),
        warm_up_left_ms=round(heartbeat.warm_up_left_ms),
    )
