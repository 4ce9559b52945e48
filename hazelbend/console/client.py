"""The console client: an interactive prompt, or single commands for scripts.

It connects to `hazelbend.dispatcher.console_server` over a Unix socket. Each request and response is one line
with a JSON object.
"""

from __future__ import annotations

import argparse
import socket
import sys
from pathlib import Path

import orjson

from hazelbend.dispatcher.config_table import ConfigError
from hazelbend.dispatcher.deploy_files import console_socket

TIMEOUT_S = 10.0
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_UNUSABLE_SETTINGS = 2
PROMPT = "hazelbend> "
# What the prompt completes; "help" lists all commands.
SHOW_SUBJECTS = ("status", "figures", "servers", "flows", "fronts", "sources", "names", "waiting", "log")
COMMANDS = ("drain", "undrain", "cancel", "shutdown", "help", "quit")
EXIT_COMMANDS = ("quit", "exit")  # of the prompt itself


class ConsoleConnection:
    """A connection to the console socket of a dispatcher."""

    def __init__(self, path: Path) -> None:
        """Connect.

        Raises:
            OSError: no dispatcher listens at this path.
        """
        self._socket = socket.socket(socket.AF_UNIX)
        self._socket.settimeout(TIMEOUT_S)
        self._socket.connect(str(path))
        self._file = self._socket.makefile("rb")

    def run(self, command: str) -> tuple[bool, str]:
        """Run a command. Returns whether it succeeded, and its text.

        Raises:
            OSError: the connection is lost, or the response does not arrive within TIMEOUT_S.
        """
        self._socket.sendall(orjson.dumps({"command": command}, option=orjson.OPT_APPEND_NEWLINE))
        line = self._file.readline()
        if not line:
            raise ConnectionError("the program closed the connection")
        response = orjson.loads(line)
        return response["ok"], response["text"]


def main(arguments: list[str] | None = None) -> int:
    """Run the commands of the command line, or the prompt if there are none. Returns the exit status."""
    options = _parse(arguments)
    try:
        connection = ConsoleConnection(options.socket or console_socket())
        if options.command is None:
            return run_prompt(connection)
        return _run_commands(connection, options.command)
    except ConfigError as error:
        print(f"hazelbend.console: {error}", file=sys.stderr)
        return EXIT_UNUSABLE_SETTINGS
    except OSError as error:
        print(f"hazelbend.console: the program cannot be reached: {error}", file=sys.stderr)
        return EXIT_FAILED


def _parse(arguments: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="hazelbend.console", description="The console of a running hazelbend."
    )
    parser.add_argument(
        "--socket", type=Path, help="the dispatcher's console socket [default: from deploy/console.toml]"
    )
    parser.add_argument(
        "-c", dest="command", action="append", help="run this command and exit; may be repeated"
    )
    return parser.parse_args(arguments)


def _run_commands(connection: ConsoleConnection, commands: list[str]) -> int:
    """Run the commands in order, up to the first that fails. Returns the exit status."""
    for command in commands:
        succeeded, text = connection.run(command)
        print(text, file=sys.stdout if succeeded else sys.stderr)
        if not succeeded:
            return EXIT_FAILED
    return EXIT_OK


def run_prompt(connection: ConsoleConnection) -> int:
    """Read and run commands until the operator quits. Returns the exit status.

    The operator must confirm `shutdown`.
    """
    from prompt_toolkit import PromptSession
    from prompt_toolkit.completion import NestedCompleter
    from prompt_toolkit.shortcuts import confirm

    words = {"show": dict.fromkeys(SHOW_SUBJECTS), **dict.fromkeys(COMMANDS)}
    session: PromptSession[str] = PromptSession(
        completer=NestedCompleter.from_nested_dict(words), bottom_toolbar="help: the commands   quit: leave"
    )
    while True:
        try:
            command = session.prompt(PROMPT).strip()
        except KeyboardInterrupt:
            continue
        except EOFError:
            return EXIT_OK
        if command in EXIT_COMMANDS:
            return EXIT_OK
        if not command:
            continue
        if command == "shutdown" and not confirm("Finish all that was taken, then end?"):
            continue
        _, text = connection.run(command)
        print(text)
