"""The command line of the router fleet: `python -m hazelbend.system ROLE`."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from collections.abc import Awaitable
from pathlib import Path
from typing import Protocol

import picologging
from absl import app, flags

from hazelbend.system.settings import ENVIRONMENT, Settings, SettingsError, read_settings

FLAGS = flags.FLAGS
flags.DEFINE_string("settings", None, f"Settings file; without it, the one that {ENVIRONMENT} names.")
flags.DEFINE_enum("log_level", "INFO", ["DEBUG", "INFO", "WARNING", "ERROR"], "Least level that is logged.")

SETTINGS_LOOK = 1.0  # seconds between looks at whether the settings file has changed
LOG_FORMAT = "%(created)f %(levelname)s %(message)s"  # asctime is broken in picologging 0.9.3
USAGE_ERROR, OK = 2, 200
ROLES = ("router", "control")
USAGE = """usage: python -m hazelbend.system [--settings=FILE] COMMAND
  router, control   run this role
  check FILE        all findings in a settings file (YAML) or a configuration (JSON)
  status ADDRESS    what the control process at this address (IP:PORT) knows
  refound ADDRESS   a majority is lost for good: found a new record with what this process holds"""

log = picologging.getLogger("hazelbend")


class Daemon(Protocol):
    """A role's process."""

    def start(self) -> Awaitable[None]:
        """Serve."""

    def close(self) -> Awaitable[None]:
        """End as planned."""

    def reload(self, settings: Settings) -> None:
        """The settings have changed."""


def _daemon(role: str, settings: Settings) -> Daemon:
    """Only what the role uses is imported: a start costs time."""
    if role == "control":
        from hazelbend.system.control_daemon import ControlDaemon

        return ControlDaemon(settings)
    # aiohttp loads the machine's certificates as it is imported, a tenth of a second; no TLS is spoken here.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    from hazelbend.system.router_daemon import RouterDaemon

    return RouterDaemon(settings)


async def _serve(role: str, path: Path, settings: Settings) -> None:
    loop = asyncio.get_running_loop()
    ending, changed = asyncio.Event(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, ending.set)
    loop.add_signal_handler(signal.SIGINT, ending.set)
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    daemon = _daemon(role, settings)
    await daemon.start()
    gc.freeze()
    watching = asyncio.create_task(_watch_settings(daemon, path, changed))
    await ending.wait()
    log.info("%s: ending", role)
    watching.cancel()
    await daemon.close()


async def _watch_settings(daemon: Daemon, path: Path, changed: asyncio.Event) -> None:
    """The file may change with or without a signal."""
    before = path.stat().st_mtime_ns
    while True:
        try:
            async with asyncio.timeout(SETTINGS_LOOK):
                await changed.wait()
        except TimeoutError:
            pass
        signalled = changed.is_set()
        changed.clear()
        try:
            stamp = path.stat().st_mtime_ns
            if stamp == before and not signalled:
                continue
            before = stamp
            daemon.reload(read_settings(path.read_text()))
            log.info("settings: read again")
        except OSError as error:
            log.warning("settings: %s", error)
        except SettingsError as error:
            for finding in error.findings:
                log.error("settings: %s", finding)


def _settings_path() -> Path:
    return Path(FLAGS.settings or os.environ.get(ENVIRONMENT, ""))


def _read(path: Path) -> Settings | None:
    try:
        return read_settings(path.read_text())
    except OSError as error:
        print(f"settings: {error}", file=sys.stderr)
    except SettingsError as error:
        for finding in error.findings:
            print(f"settings: {finding}", file=sys.stderr)
    return None


def _check(path: Path) -> int:
    """Tell all findings of a settings file (YAML) or a configuration (JSON); 1 where there are any."""
    from hazelbend.control.configuration import InvalidConfigurationError, check_configuration

    try:
        if path.suffix == ".json":
            check_configuration(path.read_bytes())
        else:
            read_settings(path.read_text())
    except OSError as error:
        print(f"{path}: {error}", file=sys.stderr)
        return USAGE_ERROR
    except (InvalidConfigurationError, SettingsError) as error:
        for finding in error.findings:
            print(f"{path}: {finding}")
        return 1
    print(f"{path}: nothing found")
    return 0


def _call(address: str, method: str, path: str) -> int:
    """Show what a control process answers; 1 where it refuses or can't be reached."""
    import httpcore

    try:
        with httpcore.ConnectionPool() as pool:
            response = pool.request(method, f"http://{address}{path}")
    except (httpcore.ConnectError, httpcore.NetworkError, httpcore.ProtocolError) as error:
        print(f"{address}: {error}", file=sys.stderr)
        return 1
    print(response.content.decode().rstrip())
    return int(response.status != OK)


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
    return USAGE_ERROR


def _run_role(role: str) -> int:
    path = _settings_path()
    settings = _read(path)
    if settings is None:
        return USAGE_ERROR
    logging.getLogger().setLevel(logging.WARNING)  # of libraries, which log by the standard module
    picologging.basicConfig(level=getattr(picologging, FLAGS.log_level), format=LOG_FORMAT, stream=sys.stderr)
    asyncio.run(_serve(role, path, settings))
    return 0


def run() -> None:
    """Entry point."""
    app.run(_main)
