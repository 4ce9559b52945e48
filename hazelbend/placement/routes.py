"""The configuration as a router reads it: routes by host and longest prefix, services, limits."""

from __future__ import annotations

import random
from typing import Any

import msgspec


class WeightedBackend(msgspec.Struct, frozen=True):
    """A part of a route's requests."""

    backend: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Where requests of a host and prefix go, and what may be done with them."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: int = msgspec.field(name="timeoutMs")
    target_ms: int = msgspec.field(default=1_000, name="targetMs")
    priority: int = 5
    backend: str = ""
    split: tuple[WeightedBackend, ...] = ()
    retries: int = 1
    sticky: bool = False
    resume: bool = False
    gap_target_ms: float = msgspec.field(default=0, name="gap_aim_ms")

    @property
    def is_stream(self) -> bool:
        """Whether its answers are series of events."""
        return self.kind == "stream"

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == "safe" or (self.is_stream and self.resume)

    def pick_service(self, chance: random.Random) -> str:
        """The service for one request, by the weights."""
        if not self.split:
            return self.backend
        weights = [share.weight for share in self.split]
        return chance.choices(self.split, weights)[0].backend


class ModelEngine(msgspec.Struct, frozen=True):
    """What is known of a service's model workers."""

    capacity: int = 1
    kv_capacity: int = msgspec.field(default=0, name="kvCapacity")
    kv_token_bytes: int = msgspec.field(default=0, name="kvTokenBytes")
    bandwidth_mbps: float = msgspec.field(default=0, name="bandwidthMbps")
    kv_ttl_s: float = msgspec.field(default=0, name="kvTtlS")


class Service(msgspec.Struct, frozen=True):
    """A group of workers."""

    name: str
    max_connections: int = msgspec.field(default=100, name="maxConns")
    engine: ModelEngine | None = None


class Limits(msgspec.Struct, frozen=True):
    """What a client may send, and how long it may take."""

    max_header_bytes: int = msgspec.field(default=16_384, name="maxHeaderBytes")
    max_body_bytes: int = msgspec.field(default=4_194_304, name="maxBodyBytes")
    header_timeout_ms: int = msgspec.field(default=3_000, name="headerTimeoutMs")
    idle_timeout_ms: int = msgspec.field(default=15_000, name="idleTimeoutMs")


class Configuration(msgspec.Struct, frozen=True):
    """What the operators have put in force."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()


_decoder: msgspec.json.Decoder[Any] = msgspec.json.Decoder(Configuration)


class RouteTable:
    """The routes of one configuration, found by host and path."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.services = {each.name: each for each in configuration.services}
        self._routes = {(each.host.lower(), each.prefix): each for each in configuration.routes}

    def find(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix of the path, or None."""
        name = host.partition(":")[0].lower()
        end = path.rfind("/")
        while end >= 0:
            route = self._routes.get((name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def decode_route_table(body: bytes) -> RouteTable:
    """The table of a configuration's text.

    Raises:
        msgspec.DecodeError: it can't be read.
    """
    return RouteTable(_decoder.decode(body))
