"""The routes of a configuration, by host and longest path prefix."""

from __future__ import annotations

from hazelbend.control.configuration import Configuration, Route


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
