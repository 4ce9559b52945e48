"""The configuration document: routes by host and longest path prefix, services, limits.

Where a field has another name in the JSON document, `msgspec.field(name=...)` gives it.
"""

from __future__ import annotations

import random
from enum import StrEnum

import msgspec


class RouteKind(StrEnum):
    """How the requests of a route may be repeated and are answered."""

    SAFE = "safe"  # idempotent
    UNSAFE = "unsafe"
    STREAM = "stream"  # answered with an event stream


class WeightedBackend(msgspec.Struct, frozen=True):
    """A backend of a split route, and its weight among the others."""

    backend: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Where the requests for a host and path prefix go, and how they may be retried."""

    name: str
    host: str
    prefix: str
    kind: str  # one of `RouteKind`; the control processes have checked it
    timeout_ms: int = msgspec.field(name="timeoutMs")
    target_ms: int = msgspec.field(default=1_000, name="targetMs")
    priority: int = 5
    backend: str = ""
    split: tuple[WeightedBackend, ...] = ()
    retries: int = 1
    sticky: bool = False
    resume: bool = False  # whether a broken stream may be resumed at another worker
    gap_target_ms: float = msgspec.field(default=0, name="gap_aim_ms")  # between two tokens

    @property
    def is_stream(self) -> bool:
        """Whether responses are event streams."""
        return self.kind == RouteKind.STREAM

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == RouteKind.SAFE or (self.is_stream and self.resume)

    def pick_service(self, rng: random.Random) -> str:
        """Pick the service for one request, by the weights of a split."""
        if not self.split:
            return self.backend
        weights = [backend.weight for backend in self.split]
        return rng.choices(self.split, weights)[0].backend


class ModelEngine(msgspec.Struct, frozen=True):
    """The model engine of a service's workers."""

    capacity: int = 1  # requests that run at once
    kv_capacity: int = msgspec.field(default=0, name="kvCapacity")  # tokens
    kv_token_bytes: int = msgspec.field(default=0, name="kvTokenBytes")
    bandwidth_mbps: float = msgspec.field(default=0, name="bandwidthMbps")
    kv_ttl_s: float = msgspec.field(default=0, name="kvTtlS")


class Service(msgspec.Struct, frozen=True):
    """A group of workers that can serve the same requests."""

    name: str
    max_connections: int = msgspec.field(default=100, name="maxConns")
    engine: ModelEngine | None = None


class Limits(msgspec.Struct, frozen=True):
    """Limits on the size of a client's request, and on the time to receive it."""

    max_header_bytes: int = msgspec.field(default=16_384, name="maxHeaderBytes")
    max_body_bytes: int = msgspec.field(default=4_194_304, name="maxBodyBytes")
    header_timeout_ms: int = msgspec.field(default=3_000, name="headerTimeoutMs")
    idle_timeout_ms: int = msgspec.field(default=15_000, name="idleTimeoutMs")


class Configuration(msgspec.Struct, frozen=True):
    """A configuration document."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()


_decoder: msgspec.json.Decoder[Configuration] = msgspec.json.Decoder(Configuration)


class RouteTable:
    """The routes of one configuration, by host and path prefix."""

    def __init__(self, configuration: Configuration) -> None:
        """Index the routes and services of a configuration."""
        self.configuration = configuration
        self.services = {service.name: service for service in configuration.services}
        self._routes = {(route.host.lower(), route.prefix): route for route in configuration.routes}

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None.

        Prefixes end with "/". The port in `host` is ignored.
        """
        name = host.partition(":")[0].lower()
        end = path.rfind("/")
        while end >= 0:
            route = self._routes.get((name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def decode_route_table(body: bytes) -> RouteTable:
    """Decode a configuration document in JSON.

    Raises:
        msgspec.DecodeError: the document is malformed.
    """
    return RouteTable(_decoder.decode(body))
