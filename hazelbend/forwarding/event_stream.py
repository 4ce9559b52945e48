"""Whole events of a `text/event-stream`, so that a stream can be taken up elsewhere between two of them."""

from __future__ import annotations

EVENT_END = b"\n\n"


class EventSplitter:
    """Passes on whole events and remembers the id of the last one."""

    def __init__(self) -> None:
        self._rest = b""
        self.last_id = ""

    @property
    def has_rest(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._rest.strip())

    def restart(self) -> None:
        """Another run goes on: what the one before has begun is not taken."""
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """The events that are whole by now."""
        text = self._rest + data
        end = text.rfind(EVENT_END)
        if end < 0:
            self._rest = text
            return b""
        whole, self._rest = text[: end + len(EVENT_END)], text[end + len(EVENT_END) :]
        for line in whole.splitlines():
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
        return whole
