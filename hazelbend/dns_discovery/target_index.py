"""Which SRV names list which targets."""

from __future__ import annotations


class TargetIndex:
    """The targets of each SRV name, and the SRV names of each target."""

    def __init__(self) -> None:
        self._targets_of: dict[str, set[str]] = {}
        self._names_of: dict[str, set[str]] = {}

    def __contains__(self, target: str) -> bool:
        return target in self._names_of

    def names_listing(self, target: str) -> set[str]:
        """The SRV names that list the target."""
        return self._names_of.get(target, set())

    def add_name(self, name: str) -> None:
        """Begin with an SRV name that lists no target yet."""
        self._targets_of[name] = set()

    def remove_name(self, name: str) -> list[str]:
        """Forget an SRV name. Returns the targets that no name lists any more."""
        return self._unlist(name, self._targets_of.pop(name))

    def replace(self, name: str, targets: set[str]) -> tuple[set[str], list[str]]:
        """Set the targets of an SRV name.

        Returns the targets that it did not list before, and those that no name lists any more.
        """
        before = self._targets_of[name]
        added = targets - before
        for target in added:
            self._names_of.setdefault(target, set()).add(name)
        orphaned = self._unlist(name, before - targets)
        self._targets_of[name] = targets
        return added, orphaned

    def _unlist(self, name: str, targets: set[str]) -> list[str]:
        orphaned = []
        for target in targets:
            names = self._names_of.get(target, set())
            names.discard(name)
            if not names:
                self._names_of.pop(target, None)
                orphaned.append(target)
        return orphaned
