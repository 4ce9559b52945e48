"""Queue of membership updates that are piggybacked on packets (SWIM's infection-style dissemination)."""

from __future__ import annotations

from dataclasses import dataclass

from hazelbend.gossip.messages import MembershipUpdate


@dataclass(slots=True)
class QueuedUpdate:
    """An update and the number of packets that have carried it."""

    update: MembershipUpdate
    transmissions: int = 0


class DisseminationQueue:
    """Updates to disseminate. A newer update about a member replaces the older one."""

    def __init__(self) -> None:
        self._queued: dict[str, QueuedUpdate] = {}

    def add(self, update: MembershipUpdate) -> None:
        """Queue this update; it replaces a queued update about the same member."""
        self._queued[update.member] = QueuedUpdate(update)

    def add_confirmation(self, update: MembershipUpdate) -> None:
        """Queue this suspicion in addition to those that other processes reported about the same member."""
        self._queued[update.member + "|" + update.by] = QueuedUpdate(update)

    def take(self, count: int, transmit_limit: int) -> list[MembershipUpdate]:
        """The `count` updates that were sent least often. Drops those that reach `transmit_limit`."""
        by_transmissions = sorted(self._queued.items(), key=lambda item: item[1].transmissions)
        taken = []
        for key, queued in by_transmissions[:count]:
            taken.append(queued.update)
            queued.transmissions += 1
            if queued.transmissions >= transmit_limit:
                del self._queued[key]
        return taken
