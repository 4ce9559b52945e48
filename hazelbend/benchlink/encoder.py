"""Encodes actions of the decision module to replies for the simulator."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from hazelbend.benchlink import records
from hazelbend.decisions.interface import Action, Cancel, Fail, Probe, Refuse, Send, StartTimer, Subscribe

SUBSCRIBE_TO_WORKERS = 1


def _u32(value: int) -> int:
    """Return the value, limited to the range of an unsigned 32-bit integer."""
    return min(max(value, 0), records.U32_MAX)


def _encode_send(action: Send) -> bytes:
    return records.SEND_LAYOUT.pack(records.SEND, action.request, _u32(action.timeout), action.worker)


def _encode_refuse(action: Refuse) -> bytes:
    return records.REFUSE_LAYOUT.pack(records.REFUSE, action.request, _u32(action.retry_after))


def _encode_fail(action: Fail) -> bytes:
    return records.FAIL_LAYOUT.pack(records.FAIL, action.request)


def _encode_cancel(action: Cancel) -> bytes:
    return records.CANCEL_LAYOUT.pack(records.CANCEL, action.request, action.attempt)


def _encode_start_timer(action: StartTimer) -> bytes:
    return records.START_TIMER_LAYOUT.pack(records.START_TIMER, _u32(action.delay), action.token)


def _encode_probe(action: Probe) -> bytes:
    return records.PROBE_LAYOUT.pack(records.PROBE, action.worker)


def _encode_subscribe(_: Subscribe) -> bytes:
    return records.SUBSCRIBE_LAYOUT.pack(records.SUBSCRIBE, SUBSCRIBE_TO_WORKERS)


_ENCODERS: dict[type, Callable[[Any], bytes]] = {
    Send: _encode_send,
    Refuse: _encode_refuse,
    Fail: _encode_fail,
    Cancel: _encode_cancel,
    StartTimer: _encode_start_timer,
    Probe: _encode_probe,
    Subscribe: _encode_subscribe,
}


def encode_reply(groups: Iterable[tuple[int, list[Action]]]) -> bytes:
    """Return the reply to one batch: the actions of each instance, in order."""
    rows: list[bytes] = []
    for instance, actions in groups:
        if actions:
            rows.append(_instance_row(instance))
            rows.extend(_ENCODERS[type(action)](action) for action in actions)
    return records.REPLY_HEADER.pack(len(rows) * records.ACTION_SIZE, len(rows)) + b"".join(rows)


def encode_failure(instance: int, text: str) -> bytes:
    """Return the reply to a batch in which the decision module of this instance raised an exception."""
    message = text.encode()
    failure_row = records.INSTANCE_FAILED_LAYOUT.pack(records.INSTANCE_FAILED, 0, len(message))
    rows = [_instance_row(instance), failure_row]
    header = records.REPLY_HEADER.pack(len(rows) * records.ACTION_SIZE + len(message), len(rows))
    return header + b"".join(rows) + message


def _instance_row(instance: int) -> bytes:
    return records.ACTIONS_OF_INSTANCE_LAYOUT.pack(records.ACTIONS_OF_INSTANCE, instance)
