"""The instances of workers that have ended, as a router remembers them."""

from __future__ import annotations

MAX_ENDED_WORKERS = 1_024  # far more than end while any control process may still have an older record


class EndedWorkers:
    """A bounded set of instances: the one that was added first is removed first.

    The end of an instance is final, but a control process that was partitioned or has restarted may send an
    older record of it later.
    """

    def __init__(self) -> None:
        self._instances: dict[str, None] = {}  # in the order in which they were added

    def add(self, instance: str) -> None:
        """Remember that this instance has ended."""
        self._instances[instance] = None
        if len(self._instances) > MAX_ENDED_WORKERS:
            del self._instances[next(iter(self._instances))]

    def __contains__(self, instance: str) -> bool:
        return instance in self._instances
