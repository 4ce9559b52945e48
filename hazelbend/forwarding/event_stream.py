"""Splits a `text/event-stream` into complete events, so that another worker can resume it after any of them.

Source: Server-sent events, WHATWG HTML standard, section 9.2. Workers end an event by two LF.
"""

from __future__ import annotations

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Returns complete events and keeps the id of the last one."""

    def __init__(self) -> None:
        self._partial_event = b""
        self.last_event_id = ""

    @property
    def has_partial_event(self) -> bool:
        """Whether an event has started and not ended."""
        return bool(self._partial_event.strip())

    def discard_partial_event(self) -> None:
        """Another worker resumes the stream: it sends the event that was cut from its start."""
        self._partial_event = b""

    def feed(self, data: bytes) -> bytes:
        """Add data, and return the events that are now complete."""
        buffered = self._partial_event + data
        last_end = buffered.rfind(EVENT_END)
        if last_end < 0:
            self._partial_event = buffered
            return b""
        split_at = last_end + len(EVENT_END)
        complete_events = buffered[:split_at]
        self._partial_event = buffered[split_at:]
        for line in complete_events.splitlines():
            if line.startswith(ID_FIELD):
                self.last_event_id = line[len(ID_FIELD) :].strip().decode("latin-1")
        return complete_events
