"""The command line of the router fleet: `python -m hazelbend.system COMMAND`.

Exit codes: 0 success; 1 findings, or a call that failed; 2 an invalid command line or invalid settings.
"""

from __future__ import annotations

import asyncio
import logging
import os
import sys
from pathlib import Path

import picologging
from absl import app, flags

from hazelbend.system.settings import SETTINGS_PATH_VARIABLE, Settings, SettingsError, read_settings

FLAGS = flags.FLAGS
flags.DEFINE_string("settings", None, f"Settings file; default: the one that {SETTINGS_PATH_VARIABLE} names.")
flags.DEFINE_enum("log_level", "INFO", ["DEBUG", "INFO", "WARNING", "ERROR"], "Lowest level that is logged.")

LOG_FORMAT = "%(created)f %(levelname)s %(message)s"  # asctime is broken in picologging 0.9.3
EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2
HTTP_OK = 200
ROLES = ("router", "control")
USAGE = """usage: python -m hazelbend.system [--settings=FILE] COMMAND
  router, control   run this role
  check FILE        list all findings in a settings file (YAML) or a configuration (JSON)
  status ADDRESS    show the status of the control process at this address (IP:PORT)
  refound ADDRESS   force a new cluster from this process's state, after quorum was lost for good"""


def run() -> None:
    """Parse the command line and run the command."""
    app.run(_main)


def _main(arguments: list[str]) -> int:
    match arguments[1:]:
        case ["check", path]:
            return _check(Path(path))
        case ["status", address]:
            return _call(address, "GET", "/status")
        case ["refound", address]:
            return _call(address, "POST", "/refound")
        case [role] if role in ROLES:
            return _run_role(role)
    print(USAGE, file=sys.stderr)
    return EXIT_USAGE


def _run_role(role: str) -> int:
    from hazelbend.system.daemon_runner import run_daemon

    path = Path(FLAGS.settings or os.environ.get(SETTINGS_PATH_VARIABLE, ""))
    settings = _read_settings_or_report(path)
    if settings is None:
        return EXIT_USAGE
    logging.getLogger().setLevel(logging.WARNING)  # for libraries, which use the standard module
    picologging.basicConfig(level=getattr(picologging, FLAGS.log_level), format=LOG_FORMAT, stream=sys.stderr)
    asyncio.run(run_daemon(role, path, settings))
    return EXIT_OK


def _read_settings_or_report(path: Path) -> Settings | None:
    try:
        return read_settings(path.read_text())
    except OSError as error:
        print(f"settings: {error}", file=sys.stderr)
    except SettingsError as error:
        for finding in error.findings:
            print(f"settings: {finding}", file=sys.stderr)
    return None


def _check(path: Path) -> int:
    """Print all findings in a settings file (YAML) or a configuration (JSON)."""
    from hazelbend.control.configuration_reader import InvalidConfigurationError, check_configuration

    try:
        if path.suffix == ".json":
            check_configuration(path.read_bytes())
        else:
            read_settings(path.read_text())
    except OSError as error:
        print(f"{path}: {error}", file=sys.stderr)
        return EXIT_USAGE
    except (InvalidConfigurationError, SettingsError) as error:
        for finding in error.findings:
            print(f"{path}: {finding}")
        return EXIT_FAILURE
    print(f"{path}: nothing found")
    return EXIT_OK


def _call(address: str, method: str, path: str) -> int:
    """Call a control process and print its response."""
    import httpcore

    try:
        with httpcore.ConnectionPool() as pool:
            response = pool.request(method, f"http://{address}{path}")
    except (httpcore.ConnectError, httpcore.NetworkError, httpcore.ProtocolError) as error:
        print(f"{address}: {error}", file=sys.stderr)
        return EXIT_FAILURE
    print(response.content.decode().rstrip())
    return EXIT_OK if response.status == HTTP_OK else EXIT_FAILURE
