"""The merged view of all endpoints. Its versions are immutable: a reader that holds one sees all of it."""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from hazelbend.dns_discovery.answers import EndpointKey
from hazelbend.routing.ports import Endpoint

# Sources of endpoints, beside the SRV names. They are words of the console.
LIST_SOURCE = "box list"
STOMP_SOURCE = "stomp"


@dataclass(slots=True, frozen=True)
class MergedEndpoint:
    """One endpoint of the view."""

    entry: Endpoint
    sources: tuple[str, ...]  # LIST_SOURCE or STOMP_SOURCE, and SRV names
    key: EndpointKey | None = None  # how SRV names it
    spare: bool = False  # its SRV priority is not open

    @property
    def is_srv_only(self) -> bool:
        """Whether no source but SRV has it."""
        return self.key is not None and LIST_SOURCE not in self.sources

    @property
    def is_connected(self) -> bool:
        """Whether it connected by itself over STOMP."""
        return self.sources == (STOMP_SOURCE,)


@dataclass(slots=True, frozen=True)
class EndpointView:
    """One version of the view, by host."""

    version: int = 0
    members: Map[str, MergedEndpoint] = field(default_factory=Map)
