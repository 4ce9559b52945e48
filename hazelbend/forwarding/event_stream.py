"""Splits a `text/event-stream` into complete events, so that another worker can resume it after any of them.

Specification: Server-sent events, WHATWG HTML standard, section 9.2. A line ends with CR LF, LF or CR, and an
event with an empty line. Bytes are forwarded unchanged.
"""

from __future__ import annotations

import re

ID_FIELD = b"id:"

# The end of a line followed by the end of an empty one. CR LF is one line end, not two.
_LINE_END = rb"(?:\r\n|\n|\r(?!\n))"
_EVENT_END = re.compile(_LINE_END + _LINE_END)
MAX_EVENT_END_BYTES = 4


class EventSplitter:
    """Returns complete events and keeps the id of the last one."""

    def __init__(self) -> None:
        self._partial_event = b""
        self.last_event_id = ""

    @property
    def has_partial_event(self) -> bool:
        """Whether an event has started but not ended."""
        return bool(self._partial_event.strip())

    def discard_partial_event(self) -> None:
        """Drop the incomplete event: the worker that resumes the stream sends it from its start."""
        self._partial_event = b""

    def feed(self, data: bytes) -> bytes:
        """Add data, and return the events that are now complete.

        A CR at the end of the data counts as a line end. An LF that follows is returned with the next event.
        """
        buffered = self._partial_event + data
        split_at = _end_of_last_event(buffered)
        complete_events = buffered[:split_at]
        self._partial_event = buffered[split_at:]
        for line in complete_events.splitlines():
            if line.startswith(ID_FIELD):
                self.last_event_id = line[len(ID_FIELD) :].strip().decode("latin-1")
        return complete_events


def ends_inside_event(tail: bytes) -> bool:
    """Whether a stream that ends with `tail` ends within an event.

    `tail` needs to be only the last `MAX_EVENT_END_BYTES` bytes.
    """
    return bool(tail) and _end_of_last_event(tail) != len(tail)


def _end_of_last_event(data: bytes) -> int:
    """Return the position after the last complete event, or 0 if there is none."""
    if b"\r" not in data:  # almost all workers use LF alone
        return data.rfind(b"\n\n") + 2 if b"\n\n" in data else 0
    return max((match.end() for match in _EVENT_END.finditer(data)), default=0)
