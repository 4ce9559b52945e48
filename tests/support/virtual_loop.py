"""An event loop with a virtual clock: time stands still while callbacks run, then jumps to the next timer."""

import asyncio
import selectors


class _InstantSelector(selectors.DefaultSelector):
    """Returns from `select` at once and adds the timeout to `elapsed_s`."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("no timer is scheduled: the event loop would wait forever")
        self.elapsed_s += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._instant_selector = _InstantSelector()
        super().__init__(self._instant_selector)

    def time(self) -> float:
        return 1_000.0 + self._instant_selector.elapsed_s
