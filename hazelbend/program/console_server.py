"""The console's side in the program: commands over a Unix socket that only its owner can open.

One line in, one line out, both JSON: {"command": "show servers"} and {"ok": true, "text": "..."}.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING

import orjson

from hazelbend.routing.overview import Overview

if TYPE_CHECKING:
    from hazelbend.program.app import App

LINE_LIMIT = 4_096
MOST_ROWS = 200  # of waiting jobs
IDLE = 3_600.0  # seconds after which a silent console is closed

HELP = """\
show status            what the program is doing, counts since its start
show figures           what the operators' door and SNMP tell as well
show servers           the table of real servers
show flows             the requests that are open
show fronts            connections by front
show sources           where servers come from, and what each says
show names [NAME]      SRV names that are followed; of one, its records
show fleet             the dispatchers that share leases, and who votes
show leases            their leases, as far as this dispatcher has applied them
show waiting           jobs that wait, the oldest first, and for what
cancel CLIENT ID       refuse a job that waits
show log [LINES]       the last lines of the log
drain SERVER           send nothing new to a server
undrain SERVER         take a drain by hand back
shutdown               finish all that was taken, then end
help                   this list"""


class CommandError(Exception):
    """The command cannot be carried out; the text says why."""


class Commands:
    """What each command does, on the running program."""

    def __init__(self, app: App) -> None:
        self._app = app
        self._shows: dict[str, Callable[[Overview], str]] = {
            "status": self._status,
            "figures": self._figures,
            "servers": self._servers,
            "flows": self._flows,
            "fronts": self._fronts,
        }

    def run(self, line: str) -> str:
        match line.split():
            case ["help"]:
                return HELP
            case ["show", "log", *rest] if len(rest) < 2:
                return self._log(*rest)
            case ["show", "waiting"]:
                return self._waiting()
            case ["cancel", client, own_id]:
                return self._cancel(client, own_id)
            case ["show", "sources"]:
                return self._sources()
            case ["show", "names"]:
                return self._names()
            case ["show", "names", name]:
                return self._records(name)
            case ["show", what] if what in self._shows:
                return self._shows[what](self._app.overview())
            case ["show", what] if rows := self._app.tables().get(what):
                return table(rows())
            case ["show", "fleet" | "leases"]:
                raise CommandError("there is no fleet; see deploy/fleet.toml")
            case ["drain" | "undrain" as verb, host]:
                if not self._app.router.hold_back(host, verb == "drain"):
                    raise CommandError(f"no server {host!r} is listed; see: show servers")
                return f"{host}: {'gets nothing new' if verb == 'drain' else 'gets work again'}"
            case ["shutdown"]:
                self._app.stopping.set()
                return f"leaving; {len(self._app.router.flows)} flows to finish"
        raise CommandError(f"unknown command {line[:60]!r}; see: help")

    def _status(self, view: Overview) -> str:
        rows = [
            ("name", view.name),
            ("state", view.state),
            ("up for", f"{view.uptime / 1e6:.0f} s"),
            ("flows open", view.figures.outstanding),
            ("flows taken", view.taken),
            *((f"  {verdict.value}", count) for verdict, count in view.verdicts.items()),
            ("  client left", view.abandoned),
            ("schedulings", sum(view.outcomes.values())),
            *((f"  {outcome.name.lower().replace('_', ' ')}", n) for outcome, n in view.outcomes.items()),
        ]
        return table(rows)

    def _figures(self, view: Overview) -> str:
        return table(list(view.figures.named().items()))

    def _servers(self, view: Overview) -> str:
        head = ("SERVER", "ADDRESS", "STATE", "OUT", "SERVED", "FAILED")
        rows = [
            (row.host, row.dial or "-", row.state, row.out, row.served, row.failed) for row in view.servers
        ]
        return table([head, *rows])

    def _flows(self, view: Overview) -> str:
        classes = self._app.conf.catalogue.classes
        head = ("FLOW", "CLASS", "AGE", "LEFT", "ON")
        rows = [
            (
                row.id,
                classes[row.class_index].name,
                f"{row.age / 1e6:.2f} s",
                f"{row.left / 1e6:.2f} s",
                ", ".join(row.servers) or "held",
            )
            for row in view.flows
        ]
        return table([head, *rows])

    def _fronts(self, view: Overview) -> str:
        return table([("FRONT", "CONNECTIONS"), *view.fronts.items()])

    def _waiting(self) -> str:
        if (waiting := self._app.waiting) is None:
            raise CommandError("jobs do not wait here; see deploy/waiting.toml")
        catalogue, rows = self._app.conf.catalogue, waiting.gate.rows()
        counts = Counter(catalogue.classes[row.class_index].name for row in rows)
        head = ("CLIENT", "ID", "CLASS", "TENANT", "WAITS", "LEFT", "FOR")
        lines = [
            (
                row.client or "-",
                row.id,
                catalogue.classes[row.class_index].name,
                catalogue.tenants[row.tenant] if catalogue.tenants else "-",
                f"{row.age / 1e6:.1f} s",
                f"{row.left / 1e6:.1f} s",
                row.why,
            )
            for row in rows[:MOST_ROWS]
        ]
        more = f"{len(rows)} wait" + "".join(f", {name} {count}" for name, count in counts.most_common())
        return "\n".join([table([head, *lines]), more])

    def _cancel(self, client: str, own_id: str) -> str:
        waiting = self._app.waiting
        if waiting is None or not waiting.gate.cancel(("" if client == "-" else client, own_id)):
            raise CommandError(f"no job {own_id!r} of {client!r} waits; see: show waiting")
        return f"{own_id}: refused"

    def _sources(self) -> str:
        sources, view = self._app.sources, self._app.overview()
        if sources is None:
            rows = [
                ("box list", "heard" if self._app.router.listed.is_set() else "as known", len(view.servers))
            ]
            return table([("SOURCE", "STATE", "BOXES"), *rows])
        from hazelbend.membership.merge import LIST, STOMP

        membership = sources.membership
        members = membership.view.members.values()
        heard = "heard" if self._app.router.listed.is_set() else "as known"
        named = [each for each in members if each.key is not None and LIST not in each.sources]
        rows = [
            ("box list", "failed" if membership.list_failed else heard, len(membership.listed())),
            ("SRV names", f"{len(sources.resolver.roots)} followed", len(named)),
            ("stomp", "connected", sum(each.sources == (STOMP,) for each in members)),
            ("gone", "taken off by the box list", len(membership.gone)),
        ]
        more = f"version {membership.view.version} of the view"
        if sources.snapshot_error:
            more += f"; snapshot: {sources.snapshot_error}"
        servers = [("NAMESERVER", "STATE", "ASKED", "FAILED", "LAST ERROR")]
        now = self._app.router.clock.now()
        for conf, each in zip(sources.settings.nameserver, sources.resolver.servers.all, strict=True):
            state = "rests" if each.rests(now) else "serves"
            servers.append((conf.address, state, str(each.asked), str(each.failed), each.last_error or "-"))
        return "\n".join([table([("SOURCE", "STATE", "BOXES"), *rows]), "", table(servers), "", more])

    def _names(self) -> str:
        if (sources := self._app.sources) is None:
            raise CommandError("no SRV names are followed; see deploy/srv.toml")
        head = ("NAME", "STATE", "BOXES", "OPEN", "PRIORITY", "LIFETIME", "UNKNOWN FOR", "LAST ERROR")
        rows = [
            (
                row.name,
                row.state,
                row.boxes,
                row.open,
                "-" if row.level is None else f"to {row.level}",
                f"{row.lifetime:.0f} s",
                f"{row.unknown_for:.0f} s" if row.unknown_for else "-",
                row.error or "-",
            )
            for row in sources.rows()
        ]
        return table([head, *rows])

    def _records(self, name: str) -> str:
        sources = self._app.sources
        if sources is None or name not in sources.resolver.roots:
            raise CommandError(f"{name!r} is not followed; see: show names")
        head = ("TARGET", "PORT", "PRIORITY", "WEIGHT", "ADDRESSES", "BOX LIST SAYS")
        rows = [
            (key.target, key.port, priority, weight, addresses, by_list)
            for key, priority, weight, addresses, by_list in sources.records(name)
        ]
        return table([head, *rows])

    def _log(self, count: str = "20") -> str:
        if not count.isascii() or not count.isdecimal() or int(count) < 1:
            raise CommandError(f"{count!r} is no number of lines")
        return "\n".join(list(self._app.recent.lines)[-int(count) :])


def table(rows: Sequence[tuple[object, ...]]) -> str:
    """Columns as wide as their widest entry."""
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    )


async def _is_live(path: Path) -> bool:
    """Whether a program listens there; one that does not answer at once may be busy."""
    try:
        async with asyncio.timeout(0.5):
            _, writer = await asyncio.open_unix_connection(str(path))
    except (ConnectionRefusedError, FileNotFoundError):
        return False
    except TimeoutError:
        return True
    writer.close()
    return True


class ConsoleServer:
    def __init__(self, path: Path, app: App) -> None:
        self.path, self._commands = path, Commands(app)
        self._server: asyncio.Server | None = None
        self._own = 0  # the inode of our socket
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """The socket is made with mode 0600: at no moment could another user open it."""
        with contextlib.suppress(OSError):
            if self.path.is_socket() and not await _is_live(self.path):
                self.path.unlink()  # left by a program that was killed
        listener = socket.socket(socket.AF_UNIX)
        before = os.umask(0o177)
        try:
            listener.bind(str(self.path))
        except OSError:
            listener.close()
            raise
        finally:
            os.umask(before)
        self._own = self.path.stat().st_ino
        self._server = await asyncio.start_unix_server(self._serve, sock=listener, limit=LINE_LIMIT)

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
            for writer in self._writers:
                writer.close()
            with contextlib.suppress(OSError):
                if self.path.stat().st_ino == self._own:  # not one that another program has put there since
                    self.path.unlink()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                async with asyncio.timeout(IDLE):
                    line = await reader.readline()
                if not line:
                    break
                writer.write(orjson.dumps(self._answer(line), option=orjson.OPT_APPEND_NEWLINE))
                await writer.drain()
        except (OSError, ValueError, TimeoutError):
            pass  # it went, or its line was over the limit
        finally:
            self._writers.discard(writer)
            writer.close()

    def _answer(self, line: bytes) -> dict[str, object]:
        try:
            asked = orjson.loads(line)
            command = asked.get("command") if isinstance(asked, dict) else None
            if not isinstance(command, str):
                raise CommandError("no command")
            return {"ok": True, "text": self._commands.run(command)}
        except orjson.JSONDecodeError:
            return {"ok": False, "text": "not JSON"}
        except CommandError as error:
            return {"ok": False, "text": str(error)}
