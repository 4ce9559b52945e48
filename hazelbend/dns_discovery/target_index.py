"""An index of the targets that SRV names list."""

from __future__ import annotations


class TargetIndex:
    """Maps each SRV name to its targets, and each target to the SRV names that list it."""

    def __init__(self) -> None:
        self._targets_by_name: dict[str, set[str]] = {}
        self._names_by_target: dict[str, set[str]] = {}

    def __contains__(self, target: str) -> bool:
        return target in self._names_by_target

    def names_listing(self, target: str) -> set[str]:
        """Return the SRV names that list the target."""
        return self._names_by_target.get(target, set())

    def add_name(self, name: str) -> None:
        """Add an SRV name, without targets at first."""
        self._targets_by_name[name] = set()

    def remove_name(self, name: str) -> list[str]:
        """Remove an SRV name. Returns the targets that no name lists any more."""
        return self._unlist(name, self._targets_by_name.pop(name))

    def replace(self, name: str, targets: set[str]) -> tuple[set[str], list[str]]:
        """Set the targets of an SRV name.

        Returns the targets that the name did not list before, and those that no name lists any more.
        """
        before = self._targets_by_name[name]
        added = targets - before
        for target in added:
            self._names_by_target.setdefault(target, set()).add(name)
        orphaned = self._unlist(name, before - targets)
        self._targets_by_name[name] = targets
        return added, orphaned

    def _unlist(self, name: str, targets: set[str]) -> list[str]:
        orphaned = []
        for target in targets:
            names = self._names_by_target.get(target, set())
            names.discard(name)
            if not names:
                self._names_by_target.pop(target, None)
                orphaned.append(target)
        return orphaned
