"""The messages between two processes of one dispatcher during an upgrade: JSON, one object per line.

The older process sends its state first. After that each process sends the ids of the jobs that it opens and
closes. Unknown keys are skipped, because the other process may be of another version.
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
    """A line cannot be decoded; the text gives the reason."""


@dataclass(slots=True, frozen=True)
class HandoverState:
    """The state of a dispatcher process, for the process that replaces it."""

    class_names: tuple[str, ...]  # in the order of the settings
    endpoints: EndpointList
    drained_hosts: tuple[str, ...] = ()  # manually drained by an operator
    open_job_ids: tuple[str, ...] = ()
    learned: dict[str, Any] = field(default_factory=dict)  # what the decision module has learned
    component_states: dict[str, dict[str, Any]] = field(default_factory=dict)  # by component name


@dataclass(slots=True, frozen=True)
class JobIdUpdate:
    """A job with this id was opened, or has ended."""

    job_id: str
    is_open: bool


def encode_state(state: HandoverState, codec: EndpointListCodec) -> bytes:
    """Return the line that reports a process's state."""
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
    """Return the state in a line.

    Raises:
        HandoverError: the line does not contain a valid state.
        EndpointListError: the endpoint list in the state is invalid.
    """
    value = _object(line)
    learned = value.get("learnt", {})
    components = value.get("parts", {})
    if not isinstance(learned, dict) or not isinstance(components, dict):
        raise HandoverError("state: 'learnt' or 'parts' is not an object")
    if not all(isinstance(component, dict) for component in components.values()):
        raise HandoverError("state: a value in 'parts' is not an object")
    return HandoverState(
        class_names=_texts(value, "classes"),
        endpoints=codec.from_object(value.get("known")),
        drained_hosts=_texts(value, "held_back"),
        open_job_ids=_texts(value, "ids"),
        learned=learned,
        component_states=components,
    )


def encode_update(update: JobIdUpdate) -> bytes:
    """Return the line that reports an update."""
    key = "taken" if update.is_open else "over"
    return orjson.dumps({key: update.job_id}, option=orjson.OPT_APPEND_NEWLINE)


def decode_update(line: bytes) -> JobIdUpdate | None:
    """Return the update in a line; None if it contains no known update.

    Raises:
        HandoverError: the line is not a JSON object.
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
        raise HandoverError(f"handover: invalid JSON ({error})") from None
    if not isinstance(value, dict):
        raise HandoverError("handover: not an object")
    return value


def _texts(value: dict[str, Any], key: str) -> tuple[str, ...]:
    found = value.get(key, [])
    if not isinstance(found, list) or not all(isinstance(text, str) for text in found):
        raise HandoverError(f"state: {key!r} is not a list of strings")
    return tuple(found)
