"""The operators' configuration document: routes by host and path prefix, services, limits.

These types are the only definition of the document. `configuration_reader` reads a document into them, in the
control processes, which accept it, and in the routers, which put it into force.

Unknown fields are ignored, since later releases may add some. A field that becomes narrower makes accepted
documents unreadable after an upgrade, so a constraint excludes only values that no router can serve with.
Where a field has another name in the JSON document, `msgspec.field(name=...)` gives it.
"""

from __future__ import annotations

import random
from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta

MAX_INTEGER = 2**63 - 1

# Integers that fit into 64 bits with their sign, so that every computation with them as floats is finite.
Integer = Annotated[int, Meta(ge=-MAX_INTEGER - 1, le=MAX_INTEGER)]
Count = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
PositiveInteger = Annotated[int, Meta(ge=1, le=MAX_INTEGER)]
NonEmptyText = Annotated[str, Meta(min_length=1)]


class RouteKind(StrEnum):
    """How the requests of a route may be repeated and are answered."""

    SAFE = "safe"  # idempotent
    UNSAFE = "unsafe"
    STREAM = "stream"  # answered with an event stream


class WeightedBackend(msgspec.Struct, frozen=True):
    """A backend of a split route, and its weight among the others."""

    backend: str
    weight: Annotated[float, Meta(ge=0)]


class Route(msgspec.Struct, frozen=True):
    """Where the requests for a host and path prefix go, and how they may be retried."""

    name: str
    host: NonEmptyText
    prefix: Annotated[str, Meta(pattern="^/(.*/)?$")]
    kind: RouteKind
    timeout_ms: PositiveInteger = msgspec.field(name="timeoutMs")
    target_ms: Count = msgspec.field(default=1_000, name="targetMs")
    priority: Integer = 5
    backend: NonEmptyText = ""  # left out if the route has a split
    split: Annotated[tuple[WeightedBackend, ...], Meta(min_length=1)] = ()
    retries: Count = 1
    sticky: bool = False
    resume: bool = False  # whether a broken stream may be resumed at another worker
    gap_target_ms: float = msgspec.field(default=0, name="gap_aim_ms")  # between two tokens

    @property
    def is_stream(self) -> bool:
        """Whether responses are event streams."""
        return self.kind is RouteKind.STREAM

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (self.is_stream and self.resume)

    def pick_service(self, rng: random.Random) -> str:
        """Pick the service for one request, by the weights of a split."""
        if not self.split:
            return self.backend
        weights = [backend.weight for backend in self.split]
        return rng.choices(self.split, weights)[0].backend


class ModelEngine(msgspec.Struct, frozen=True):
    """The model engine of a service's workers."""

    capacity: Integer = 1  # requests that run at once
    kv_capacity: Integer = msgspec.field(default=0, name="kvCapacity")  # tokens
    kv_token_bytes: Integer = msgspec.field(default=0, name="kvTokenBytes")
    bandwidth_mbps: float = msgspec.field(default=0, name="bandwidthMbps")
    kv_ttl_s: float = msgspec.field(default=0, name="kvTtlS")


class Service(msgspec.Struct, frozen=True):
    """A group of workers that can serve the same requests."""

    name: NonEmptyText
    health_path: str | msgspec.UnsetType = msgspec.field(default=msgspec.UNSET, name="healthPath")
    max_connections: PositiveInteger = msgspec.field(default=100, name="maxConns")
    engine: ModelEngine | None = None


class Limits(msgspec.Struct, frozen=True):
    """Limits on the size of a client's request, and on the time to receive it."""

    max_header_bytes: PositiveInteger = msgspec.field(default=16_384, name="maxHeaderBytes")
    max_body_bytes: PositiveInteger = msgspec.field(default=4_194_304, name="maxBodyBytes")
    header_timeout_ms: PositiveInteger = msgspec.field(default=3_000, name="headerTimeoutMs")
    idle_timeout_ms: PositiveInteger = msgspec.field(default=15_000, name="idleTimeoutMs")


class Configuration(msgspec.Struct, frozen=True):
    """A configuration document."""

    version: PositiveInteger
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits = Limits()
