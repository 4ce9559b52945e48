"""What two processes of one dispatcher tell each other during an upgrade: JSON, one object a line.

The older process sends its state first. After that each side sends the ids of the flows that it takes on and
ends. Keys that are not known are skipped, since the other process may be of another version.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import orjson

from hazelbend.protocol.discovery import EndpointListCodec
from hazelbend.routing.ports import EndpointList

MAX_LINE_BYTES = 4 * 1024 * 1024
MAX_JOB_ID_LENGTH = 1_024  # characters


class HandoverError(ValueError):
    """A line that cannot be read; the text says why."""


@dataclass(slots=True, frozen=True)
class HandoverState:
    """A dispatcher at one moment, for the process that replaces it."""

    class_names: tuple[str, ...]  # in the order of the settings
    endpoints: EndpointList
    drained_hosts: tuple[str, ...] = ()  # that an operator drains
    open_job_ids: tuple[str, ...] = ()  # of open flows
    learned: dict[str, Any] = field(default_factory=dict)  # the decision module's state
    component_states: dict[str, dict[str, Any]] = field(default_factory=dict)  # by name of the component


@dataclass(slots=True, frozen=True)
class JobIdUpdate:
    """A flow of this id was opened, or has ended."""

    job_id: str
    is_open: bool


def encode_state(state: HandoverState, codec: EndpointListCodec) -> bytes:
    """The line with a process's state."""
    components = {"parts": state.component_states} if state.component_states else {}
    return orjson.dumps(
        {
            "classes": state.class_names,
            "known": codec.to_object(state.endpoints),
            "held_back": state.drained_hosts,
            "ids": state.open_job_ids,
            "learnt": state.learned,
            **components,
        },
        option=orjson.OPT_APPEND_NEWLINE,
    )


def decode_state(line: bytes, codec: EndpointListCodec) -> HandoverState:
    """The state in a line.

    Raises:
        HandoverError: it holds none.
        EndpointListError: its endpoint list cannot be read.
    """
    value = _object(line)
    learned = value.get("learnt", {})
    components = value.get("parts", {})
    if not isinstance(learned, dict) or not isinstance(components, dict):
        raise HandoverError("state: 'learnt' or 'parts' is no object")
    if not all(isinstance(component, dict) for component in components.values()):
        raise HandoverError("state: 'parts' has something that is no object")
    return HandoverState(
        class_names=_texts(value, "classes"),
        endpoints=codec.from_object(value.get("known")),
        drained_hosts=_texts(value, "held_back"),
        open_job_ids=_texts(value, "ids"),
        learned=learned,
        component_states=components,
    )


def encode_update(update: JobIdUpdate) -> bytes:
    """The line with an update."""
    key = "taken" if update.is_open else "over"
    return orjson.dumps({key: update.job_id}, option=orjson.OPT_APPEND_NEWLINE)


def decode_update(line: bytes) -> JobIdUpdate | None:
    """The update in a line; None if it holds none that is known.

    Raises:
        HandoverError: it is no JSON object.
    """
    value = _object(line)
    for key in ("taken", "over"):
        job_id = value.get(key)
        if isinstance(job_id, str) and len(job_id) <= MAX_JOB_ID_LENGTH:
            return JobIdUpdate(job_id, is_open=key == "taken")
    return None


def _object(line: bytes) -> dict[str, Any]:
    try:
        value = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise HandoverError(f"handover: not JSON ({error})") from None
    if not isinstance(value, dict):
        raise HandoverError("handover: no object")
    return value


def _texts(value: dict[str, Any], key: str) -> tuple[str, ...]:
    found = value.get(key, [])
    if not isinstance(found, list) or not all(isinstance(text, str) for text in found):
        raise HandoverError(f"state: {key!r} is no list of texts")
    return tuple(found)
