"""An event loop whose clock is virtual: it stands while callbacks run, and jumps to the next timer."""

import asyncio
import selectors


class _NoWait(selectors.DefaultSelector):
    """Waits for nothing: the time that would be waited passes at once."""

    def __init__(self) -> None:
        super().__init__()
        self.passed = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing will ever happen")
        self.passed += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._no_wait = _NoWait()
        super().__init__(self._no_wait)

    def time(self) -> float:
        return 1_000.0 + self._no_wait.passed
