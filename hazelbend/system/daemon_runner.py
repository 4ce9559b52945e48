"""Runs the daemon of a role until a signal stops it, and reloads the settings file when it changes."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
from collections.abc import Awaitable
from pathlib import Path
from typing import Protocol

import picologging

from hazelbend.system.settings import Settings, SettingsError, read_settings
from hazelbend.transport.background_work import count_loop_errors, start_background_task

log = picologging.getLogger("hazelbend")

SETTINGS_POLL_PERIOD_S = 1.0  # between checks of whether the settings file has changed


class Daemon(Protocol):
    """The daemon of a role."""

    def start(self) -> Awaitable[None]:
        """Start serving."""

    def close(self) -> Awaitable[None]:
        """Drain, then stop."""

    def reload(self, settings: Settings) -> None:
        """Apply those of the changed settings that can be changed at run time."""


async def run_daemon(role: str, path: Path, settings: Settings) -> None:
    """Serve until SIGTERM or SIGINT. SIGHUP, or a change of the settings file, reloads the settings."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    reload_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    count_loop_errors()
    daemon = _create_daemon(role, settings)
    await daemon.start()
    gc.freeze()  # objects created at startup live on: the collector need not traverse them
    reloading = start_background_task("reload", lambda: _reload_on_change(daemon, path, reload_requested))
    await stopping.wait()
    log.info("%s: shutting down", role)
    reloading.cancel()
    await daemon.close()


def _create_daemon(role: str, settings: Settings) -> Daemon:
    """Create the role's daemon. Imports only its modules, since imports take most of the startup time."""
    if role == "control":
        from hazelbend.system.control_daemon import ControlDaemon

        return ControlDaemon(settings)
    # Importing aiohttp loads the system's certificates, which takes 0.1 s. No TLS is used here.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    from hazelbend.system.router_daemon import RouterDaemon

    return RouterDaemon(settings)


class _SettingsFile:
    """The settings file, with the modification time of the content that was last read."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._modified_at = self._last_modified()

    def read_if_changed(self, *, force: bool) -> Settings | None:
        """Return the settings if the file was modified since it was last read, or if `force` is set.

        Raises:
            OSError: the file cannot be read.
            SettingsError: its content is invalid. It is not read again until it is modified.
        """
        modified_at = self._last_modified()
        if modified_at == self._modified_at and not force:
            return None
        self._modified_at = modified_at
        return read_settings(self._path.read_text())

    def _last_modified(self) -> int:
        return self._path.stat().st_mtime_ns


async def _reload_on_change(daemon: Daemon, path: Path, reload_requested: asyncio.Event) -> None:
    file = _SettingsFile(path)
    while True:
        signalled = await _wait_for_signal(reload_requested)
        try:
            settings = file.read_if_changed(force=signalled)
            if settings is not None:
                daemon.reload(settings)
                log.info("settings: reloaded")
        except OSError as error:
            log.warning("settings: not reloaded: %s", error)
        except SettingsError as error:
            for finding in error.findings:
                log.error("settings: not reloaded: %s", finding)


async def _wait_for_signal(reload_requested: asyncio.Event) -> bool:
    """Wait for a signal, at most for the poll period. Returns whether one was received."""
    try:
        async with asyncio.timeout(SETTINGS_POLL_PERIOD_S):
            await reload_requested.wait()
    except TimeoutError:
        pass
    signalled = reload_requested.is_set()
    reload_requested.clear()
    return signalled
