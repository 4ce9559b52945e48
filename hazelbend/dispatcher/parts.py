"""Where a part joins the program: what it is lent, and what it may be asked to do. Nothing else knows parts
by name but `KINDS`, so one more part is one more line there, a field of Config, and a module of its own.

A part is imported only where its settings are there. It knows nothing of App: it gets a `Ground`. In order of
a program's life:

    begin      the list to begin with goes through each part, before the router has it
    start      everything that can fail for want of an address
    hear       discovery's news go through each part on their way to the router
    change     a reload; `stop` and `close` where it takes the part's settings away
    drain      clients are being sent away; the program runs on
    leave      the planned end has begun: what others can take over is given up
    finish     the doors are closed, few seconds are left
    end, close the end, planned or not: before the clients' connections are closed, and after
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from importlib import import_module
from typing import TYPE_CHECKING, Any, Protocol

from hazelbend.routing.ports import EndpointList

if TYPE_CHECKING:
    from hazelbend.dispatcher.config import Config
    from hazelbend.routing.router import Router
    from hazelbend.transport.http.client_listener import ClientListener
    from hazelbend.transport.stomp.stomp_listener import StompListener

Show = Callable[..., str]

# By their settings' name in Config: module and class. They join in this order, and end in it.
KINDS = {
    "srv": ("hazelbend.dispatcher.sources", "Sources"),
    "waiting": ("hazelbend.dispatcher.waiting", "Waiting"),
    "fleet": ("hazelbend.dispatcher.fleet", "FleetPart"),
}


class CommandError(Exception):
    """The command cannot be carried out; the text says why."""


class Ground(Protocol):
    """What the program lends its parts. `conf` is the one in force now."""

    @property
    def conf(self) -> Config: ...

    @property
    def router(self) -> Router: ...

    @property
    def client_listener(self) -> ClientListener: ...

    @property
    def stomp(self) -> StompListener | None: ...


class Part:
    """Each of these does nothing unless a part says otherwise."""

    def begin(self, known: EndpointList, handed_over: dict[str, Any]) -> EndpointList:
        """`handed_over`: the process before's `state`, in an upgrade."""
        return known

    async def start(self) -> None:
        pass

    def hear(self, news: EndpointList) -> EndpointList:
        return news

    def listed(self) -> EndpointList | None:
        """The box list as this part has heard it, where what the router has is more than that."""
        return None

    def servers_changed(self) -> None:
        """A server takes work again, or takes none."""

    def state(self) -> dict[str, Any]:
        """What the next process of an upgrade begins with."""
        return {}

    def change(self) -> None:
        """The configuration has changed, and has this part's settings still."""

    def stop(self) -> None:
        """The configuration no longer has this part's settings; `close` follows."""

    def drain(self) -> None:
        pass

    async def leave(self, seconds: float) -> None:
        """The program ends in so many seconds."""

    async def finish(self, seconds: float) -> None:
        """So many are left for what it holds."""

    def end(self) -> None:
        """The program's clients are about to be closed: what still waits here is over."""

    async def close(self) -> None:
        pass

    def counts(self) -> dict[str, int]:
        """Figures, for the door, the console and SNMP."""
        return {}

    def shows(self) -> dict[str, Show]:
        """The console's `show NAME [ARGUMENT ...]`: texts. CommandError: it cannot be shown, and why."""
        return {}

    def verbs(self) -> dict[str, Show]:
        """The console's further commands."""
        return {}


def join(name: str, ground: Ground) -> Part:
    module, kind = KINDS[name]
    part: Part = getattr(import_module(module), kind)(ground)
    return part


def table(rows: Sequence[tuple[object, ...]]) -> str:
    """Columns as wide as their widest entry."""
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    )
