"""Extensions of the dispatcher: the interface that each implements, and the one place that names them.

An extension is an optional feature that a file under deploy/ enables. It is imported only while its settings
are present, and it knows nothing of `App`: it gets an `ExtensionContext`. A new extension is one more entry
of `EXTENSION_CLASSES`, a field of `Config` with the same name, and a module of its own.

`App` calls the hooks in this order:

    initial_endpoints  each extension may change the first endpoint list before the router gets it
    start              everything that can fail because an address is in use
    filter_update      each extension may change an update from discovery before the router gets it
    change             after a reload; `stop` and `close` where the reload removes the extension's settings
    drain              clients are being sent away; the process continues to run
    leave              a planned shutdown has begun: hand over what other dispatchers can take over
    finish             the listeners are closed, a few seconds remain
    end, close         shutdown, planned or not: before the client connections are closed, and after
"""

from __future__ import annotations

from collections.abc import Callable
from importlib import import_module
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from hazelbend.routing.ports import EndpointList

if TYPE_CHECKING:
    from hazelbend.dispatcher.config import Config
    from hazelbend.routing.router import Router
    from hazelbend.transport.http.client_listener import ClientListener
    from hazelbend.transport.stomp.stomp_listener import StompListener

# A command of the console. Its arguments are the words after its name; it returns the text to print.
ConsoleCommand = Callable[..., str]


class ExtensionClass(NamedTuple):
    """Where the class of an extension is defined."""

    module: str
    name: str


# By the name of their settings in Config. `App` starts and closes the extensions in this order.
EXTENSION_CLASSES = {
    "srv": ExtensionClass("hazelbend.dispatcher.sources", "SourcesExtension"),
    "waiting": ExtensionClass("hazelbend.dispatcher.waiting", "WaitingExtension"),
    "fleet": ExtensionClass("hazelbend.dispatcher.fleet", "FleetExtension"),
}


class CommandError(Exception):
    """A console command can't be run. The text gives the reason."""


class ExtensionContext(Protocol):
    """What the dispatcher process offers to its extensions."""

    @property
    def conf(self) -> Config:
        """The configuration in force now. A reload replaces it."""
        ...

    @property
    def router(self) -> Router:
        """The router of this process."""
        ...

    @property
    def client_listener(self) -> ClientListener:
        """The HTTP listener for clients."""
        ...

    @property
    def stomp(self) -> StompListener | None:
        """The STOMP listener, if it is enabled."""
        ...


class Extension:
    """Base class of the extensions. Each hook does nothing unless a subclass overrides it."""

    def initial_endpoints(self, known: EndpointList, handed_over: dict[str, Any]) -> EndpointList:
        """Return the endpoint list to start with.

        Args:
            known: the list from the configuration or from the previous process.
            handed_over: in an upgrade, the `handover_state` of the previous process; otherwise empty.
        """
        return known

    async def start(self) -> None:
        """Open sockets and start tasks. Raises OSError if an address is in use."""

    def filter_update(self, update: EndpointList) -> EndpointList:
        """Return what the router gets in place of an update from discovery."""
        return update

    def discovered_endpoints(self) -> EndpointList | None:
        """Return the endpoint list as discovery sent it; None if the router's list is the same."""
        return None

    def on_servers_changed(self) -> None:
        """A server has become available or unavailable."""

    def handover_state(self) -> dict[str, Any]:
        """Return what the next process of an upgrade starts with."""
        return {}

    def change(self) -> None:
        """The configuration has changed, and still has this extension's settings."""

    def stop(self) -> None:
        """The configuration no longer has this extension's settings. `close` follows."""

    def drain(self) -> None:
        """The dispatcher has begun to drain."""

    async def leave(self, seconds: float) -> None:
        """A planned shutdown has begun; the process ends in this many seconds."""

    async def finish(self, seconds: float) -> None:
        """The listeners are closed; complete or reject pending work within this many seconds."""

    def end(self) -> None:
        """The client connections are about to be closed: reject what is still pending."""

    async def close(self) -> None:
        """Close sockets and end tasks."""

    def counts(self) -> dict[str, int]:
        """Return metrics for the admin endpoint, the console and SNMP."""
        return {}

    def show_commands(self) -> dict[str, ConsoleCommand]:
        """Return the commands of the console's `show NAME [ARGUMENT ...]`. They may raise CommandError."""
        return {}

    def other_commands(self) -> dict[str, ConsoleCommand]:
        """Return further commands of the console. They may raise CommandError."""
        return {}


def load_extension(name: str, context: ExtensionContext) -> Extension:
    """Import and create the extension whose settings have this name in Config.

    Raises:
        KeyError: no extension has this name.
    """
    location = EXTENSION_CLASSES[name]
    extension_class = getattr(import_module(location.module), location.name)
    extension: Extension = extension_class(context)
    return extension
