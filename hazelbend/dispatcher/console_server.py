"""The server of the console: commands over a Unix socket that only its owner can open.

A request and its response are one line of JSON each: {"command": "show servers"} and
{"ok": true, "text": "..."}.
"""

from __future__ import annotations

import asyncio
import contextlib
import inspect
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import orjson

from hazelbend.dispatcher.extensions import CommandError, ConsoleCommand, Extension, ExtensionContext
from hazelbend.dispatcher.log import RecentLines
from hazelbend.dispatcher.text_table import format_table
from hazelbend.routing.overview import Overview

LINE_LIMIT = 4_096  # bytes
IDLE_TIMEOUT_S = 3_600.0  # a connection without a command for this long is closed
LIVENESS_TIMEOUT_S = 0.5  # for the process that owns the socket to accept a connection
OWNER_ONLY_UMASK = 0o177
MAX_SHOWN_COMMAND = 60  # characters, in an error

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


# The errors of commands whose extension is not enabled, with the file that enables it.
DISABLED_COMMAND_ERRORS = {
    "waiting": "jobs do not wait here; see deploy/waiting.toml",
    "cancel": "jobs do not wait here; see deploy/waiting.toml",
    "names": "no SRV names are followed; see deploy/srv.toml",
    "fleet": "there is no fleet; see deploy/fleet.toml",
    "leases": "there is no fleet; see deploy/fleet.toml",
}


class Program(ExtensionContext, Protocol):
    """What the commands need of the running dispatcher."""

    extensions: dict[str, Extension]
    recent: RecentLines
    stopping: asyncio.Event

    def overview(self) -> Overview:
        """Return everything that the commands show."""


class Commands:
    """Runs console commands on the running dispatcher."""

    def __init__(self, program: Program) -> None:
        self._program = program
        self._shows: dict[str, Callable[[Overview], str]] = {
            "status": self._status,
            "figures": self._figures,
            "servers": self._servers,
            "flows": self._flows,
            "fronts": self._fronts,
        }

    def run(self, line: str) -> str:
        """Run a command and return the text to show.

        Raises:
            CommandError: the command is unknown or can't be run.
        """
        words = line.split()
        text = self._show(words[1:]) if words[:1] == ["show"] else self._act(words)
        if text is None:
            self._explain_disabled(words)
            raise CommandError(f"unknown command {line[:MAX_SHOWN_COMMAND]!r}; see: help")
        return text

    def _show(self, words: list[str]) -> str | None:
        """Return the text of `show` with these words; None if there is no such command."""
        match words:
            case ["log", *count] if len(count) < 2:
                return self._log(*count)
            case [subject] if subject in self._shows:
                return self._shows[subject](self._program.overview())
            case [subject, *rest] if call := self._extension_command(_show_commands_of, subject, rest):
                return call(*rest)
            case ["sources"]:
                return self._sources()
        return None

    def _act(self, words: list[str]) -> str | None:
        """Run any other command and return its text; None if there is no such command."""
        match words:
            case ["help"]:
                return HELP
            case [verb, *rest] if call := self._extension_command(_other_commands_of, verb, rest):
                return call(*rest)
            case ["drain" | "undrain" as verb, host]:
                return self._set_drain(host, drains=verb == "drain")
            case ["shutdown"]:
                self._program.stopping.set()
                return f"leaving; {len(self._program.router.requests)} flows to finish"
        return None

    @staticmethod
    def _explain_disabled(words: list[str]) -> None:
        """Raise CommandError if this is a command of an extension that is not enabled."""
        name = words[1:2] if words[:1] == ["show"] else words[:1]
        if name and name[0] in DISABLED_COMMAND_ERRORS:
            raise CommandError(DISABLED_COMMAND_ERRORS[name[0]])

    def _set_drain(self, host: str, *, drains: bool) -> str:
        if not self._program.router.set_manual_drain(host, drains):
            raise CommandError(f"no server {host!r} is listed; see: show servers")
        return f"{host}: {'gets nothing new' if drains else 'gets work again'}"

    def _extension_command(
        self, commands_of: Callable[[Extension], dict[str, ConsoleCommand]], name: str, words: list[str]
    ) -> ConsoleCommand | None:
        """Return the extension command with this name; None if there is none that takes so many words."""
        candidates = (commands_of(extension).get(name) for extension in self._program.extensions.values())
        found = next((call for call in candidates if call is not None), None)
        if found is None:
            return None
        try:
            inspect.signature(found).bind(*words)
        except TypeError:
            return None
        return found

    def _status(self, view: Overview) -> str:
        rows = [
            ("name", view.name),
            ("state", view.state),
            ("up for", f"{view.uptime_us / 1e6:.0f} s"),
            ("flows open", view.figures.outstanding),
            ("flows taken", view.received),
            *((f"  {verdict.value}", count) for verdict, count in view.verdicts.items()),
            ("  client left", view.abandoned),
            ("attempts", sum(view.outcomes.values())),
            *((f"  {outcome.name.lower().replace('_', ' ')}", n) for outcome, n in view.outcomes.items()),
        ]
        return format_table(rows)

    def _figures(self, view: Overview) -> str:
        return format_table(list(view.figures.named().items()))

    def _servers(self, view: Overview) -> str:
        head = ("SERVER", "ADDRESS", "STATE", "OUT", "SERVED", "FAILED")
        rows = [
            (row.host, row.dial or "-", row.state, row.in_flight, row.served, row.failed)
            for row in view.servers
        ]
        return format_table([head, *rows])

    def _flows(self, view: Overview) -> str:
        classes = self._program.conf.catalogue.classes
        head = ("FLOW", "CLASS", "AGE", "LEFT", "ON")
        rows = [
            (
                row.id,
                classes[row.class_index].name,
                f"{row.age_us / 1e6:.2f} s",
                f"{row.remaining_us / 1e6:.2f} s",
                ", ".join(row.servers) or "held",
            )
            for row in view.flows
        ]
        return format_table([head, *rows])

    def _fronts(self, view: Overview) -> str:
        return format_table([("FRONT", "CONNECTIONS"), *view.fronts.items()])

    def _sources(self) -> str:
        list_state = "heard" if self._program.router.list_received.is_set() else "as known"
        servers = len(self._program.overview().servers)
        return format_table([("SOURCE", "STATE", "BOXES"), ("box list", list_state, servers)])

    def _log(self, count: str = "20") -> str:
        if not count.isascii() or not count.isdecimal() or int(count) < 1:
            raise CommandError(f"{count!r} is no number of lines")
        return "\n".join(list(self._program.recent.lines)[-int(count) :])


def _show_commands_of(extension: Extension) -> dict[str, ConsoleCommand]:
    return extension.show_commands()


def _other_commands_of(extension: Extension) -> dict[str, ConsoleCommand]:
    return extension.other_commands()


async def _is_live(path: Path) -> bool:
    """Whether a process listens at this socket. One that does not accept in time counts as live but busy."""
    try:
        async with asyncio.timeout(LIVENESS_TIMEOUT_S):
            _, writer = await asyncio.open_unix_connection(str(path))
    except (ConnectionRefusedError, FileNotFoundError):
        return False
    except TimeoutError:
        return True
    writer.close()
    return True


class ConsoleServer:
    """Listens at the console's socket and runs the commands that arrive."""

    def __init__(self, path: Path, program: Program) -> None:
        self.path = path
        self._commands = Commands(program)
        self._server: asyncio.Server | None = None
        self._own_inode = 0  # of the socket that this server has made
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Start to listen, and replace the socket of a process that was killed.

        The umask gives the socket the mode 0600 from the start: at no time can another user open it.

        Raises:
            OSError: the socket is in use or can't be made.
        """
        with contextlib.suppress(OSError):
            if self.path.is_socket() and not await _is_live(self.path):
                self.path.unlink()
        listener = socket.socket(socket.AF_UNIX)
        previous_umask = os.umask(OWNER_ONLY_UMASK)
        try:
            listener.bind(str(self.path))
        except OSError:
            listener.close()
            raise
        finally:
            os.umask(previous_umask)
        self._own_inode = self.path.stat().st_ino
        self._server = await asyncio.start_unix_server(self._serve, sock=listener, limit=LINE_LIMIT)

    async def close(self) -> None:
        """Close all connections and remove the socket."""
        if self._server is not None:
            self._server.close()
            for writer in self._writers:
                writer.close()
            with contextlib.suppress(OSError):
                # Another process may have replaced the socket since; that one stays.
                if self.path.stat().st_ino == self._own_inode:
                    self.path.unlink()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    line = await reader.readline()
                if not line:
                    break
                writer.write(orjson.dumps(self._answer(line), option=orjson.OPT_APPEND_NEWLINE))
                await writer.drain()
        except (OSError, ValueError, TimeoutError):
            pass  # the client has disconnected, was idle for too long or sent a line over the limit
        finally:
            self._writers.discard(writer)
            writer.close()

    def _answer(self, line: bytes) -> dict[str, object]:
        try:
            message = orjson.loads(line)
            command = message.get("command") if isinstance(message, dict) else None
            if not isinstance(command, str):
                raise CommandError("no command")
            return {"ok": True, "text": self._commands.run(command)}
        except orjson.JSONDecodeError:
            return {"ok": False, "text": "not JSON"}
        except CommandError as error:
            return {"ok": False, "text": str(error)}
