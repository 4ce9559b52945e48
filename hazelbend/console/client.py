"""The operator's side of the console: a prompt, or one command for a script."""

from __future__ import annotations

import argparse
import socket
import sys
from pathlib import Path

import orjson

from hazelbend.program.config import ConfigError, console_socket

TIMEOUT = 10.0


class Line:
    """The connection to the program."""

    def __init__(self, path: Path) -> None:
        self._socket = socket.socket(socket.AF_UNIX)
        self._socket.settimeout(TIMEOUT)
        self._socket.connect(str(path))
        self._file = self._socket.makefile("rb")

    def ask(self, command: str) -> tuple[bool, str]:
        self._socket.sendall(orjson.dumps({"command": command}, option=orjson.OPT_APPEND_NEWLINE))
        answer = self._file.readline()
        if not answer:
            raise ConnectionError("the program closed the connection")
        said = orjson.loads(answer)
        return said["ok"], said["text"]


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="hazelbend.console", description="The console of a running hazelbend."
    )
    parser.add_argument("--socket", type=Path, help="the program's socket; else as deploy/console.toml says")
    parser.add_argument(
        "-c", dest="command", action="append", help="run this command and end; may be repeated"
    )
    options = parser.parse_args(arguments)
    try:
        line = Line(options.socket or console_socket())
        if options.command is None:
            return prompt(line)
        for command in options.command:
            good, text = line.ask(command)
            print(text, file=sys.stdout if good else sys.stderr)
            if not good:
                return 1
    except ConfigError as error:
        print(f"hazelbend.console: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"hazelbend.console: the program cannot be reached: {error}", file=sys.stderr)
        return 1
    return 0


def prompt(line: Line) -> int:
    """Read commands until the operator leaves. `shutdown` is asked about once more."""
    from prompt_toolkit import PromptSession
    from prompt_toolkit.completion import NestedCompleter
    from prompt_toolkit.shortcuts import confirm

    shows: dict[str, None] = dict.fromkeys(
        ["status", "figures", "servers", "flows", "fronts", "sources", "names", "waiting", "log"]
    )
    words = {"show": shows, **dict.fromkeys(["drain", "undrain", "cancel", "shutdown", "help", "quit"])}
    session: PromptSession[str] = PromptSession(
        completer=NestedCompleter.from_nested_dict(words), bottom_toolbar="help: the commands   quit: leave"
    )
    while True:
        try:
            command = session.prompt("hazelbend> ").strip()
        except KeyboardInterrupt:
            continue
        except EOFError:
            return 0
        if command in ("quit", "exit"):
            return 0
        if not command or (command == "shutdown" and not confirm("Finish all that was taken, then end?")):
            continue
        _, text = line.ask(command)
        print(text)
