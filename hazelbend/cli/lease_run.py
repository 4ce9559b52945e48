"""Command `lease run`: runs a command while it holds a lease.

The command starts once the lease is held. If the lease is not renewed, the command gets SIGTERM and then
SIGKILL, early enough to end before the lease expires.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import secrets
import signal
import sys
import time
from enum import IntEnum

from hazelbend.cli.leader_route import LeaderRoute
from hazelbend.leases.client import LeaseClient, Stage
from hazelbend.leases.operations import Acquire, Reason
from hazelbend.leases.settings import FleetSettings
from hazelbend.transport.peer.lease_requester import LeaseRequester
from hazelbend.transport.peer.peer_links import PeerLinks

POLL_S = 0.02
STOP_TIMES_PER_TTL = 5  # the stop time is the time from SIGTERM to the expiry of the lease
KILL_TIMES_PER_STOP_TIME = 4  # the kill time is the time from SIGKILL to the expiry of the lease
LEASE_VARIABLE = "HAZELBEND_LEASE"
TOKEN_VARIABLE = "HAZELBEND_TOKEN"
PR_SET_PDEATHSIG = 1  # of <linux/prctl.h>
FORWARDED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
SIGNALLED_STATUS_BASE = 128  # as in a shell: the exit status of a command that a signal ended is 128 + signal
US_PER_S = 1e6


class LeaseRunStatus(IntEnum):
    """Exit statuses if there is none of the command itself. Few commands use these numbers."""

    NOT_HELD = 75  # EX_TEMPFAIL
    LOST = 76


def now_us() -> int:
    """Return the time of the machine's monotonic clock, in microseconds."""
    return time.monotonic_ns() // 1_000


class LeaseRun:
    """One command under one lease."""

    def __init__(
        self, route: LeaderRoute, client: LeaseClient, command: tuple[str, ...], stop_time_us: int
    ) -> None:
        """`stop_time_us`: how long before the lease expires the command gets SIGTERM."""
        self._client = client
        self._command = command
        self._stop_time_us = stop_time_us
        self._requester = LeaseRequester(route.submit, now_us)
        self._process: asyncio.subprocess.Process | None = None
        self._ended: asyncio.Task[int] | None = None  # the command's return code
        self._terminated = False

    async def run(self) -> int:
        """Run the command, and return its exit status or a LeaseRunStatus."""
        loop = asyncio.get_running_loop()
        for number in FORWARDED_SIGNALS:
            loop.add_signal_handler(number, self._forward_signal, number)
        try:
            await self._supervise()
        finally:
            if self._ended is not None and not self._ended.done():
                self._signal(signal.SIGKILL)
                await self._ended
            await self._requester.close()
        return self._exit_status()

    async def _supervise(self) -> None:
        """Start and stop the command, until the request for the lease has ended."""
        while True:
            self._requester.tick(self._client)
            now = now_us()
            if self._client.stage is Stage.ENDED:
                return
            if self._may_start(now):
                await self._start()
            if self._has_ended() and self._client.stage is Stage.HELD:
                self._client.release(now_us())
                continue
            self._stop_in_time(now)
            await asyncio.sleep(POLL_S)

    def _may_start(self, now: int) -> bool:
        return (
            self._process is None
            and self._client.may_act(now)
            and now < self._client.stop_at(self._stop_time_us)
        )

    async def _start(self) -> None:
        variables = {LEASE_VARIABLE: self._client.request.name, TOKEN_VARIABLE: str(self._client.token)}
        self._process = await asyncio.create_subprocess_exec(
            *self._command,
            env=os.environ | variables,
            start_new_session=True,  # in its own process group, so that its children are stopped too
            preexec_fn=_die_with_parent,
        )
        self._ended = asyncio.create_task(self._process.wait())

    def _has_ended(self) -> bool:
        return self._ended is not None and self._ended.done()

    def _stop_in_time(self, now: int) -> None:
        if self._process is None:
            return
        if not self._terminated and now >= self._client.stop_at(self._stop_time_us):
            self._terminated = True
            self._signal(signal.SIGTERM)
        # If this process was suspended for long, both signals are due at once.
        kill_at = self._client.stop_at(self._stop_time_us // KILL_TIMES_PER_STOP_TIME)
        if not self._has_ended() and now >= kill_at:
            self._signal(signal.SIGKILL)

    def _forward_signal(self, number: int) -> None:
        """Forward a signal to the command, whose end releases the lease. Without a command, release now."""
        if self._process is None:
            self._client.release(now_us())
        else:
            self._signal(number)

    def _signal(self, number: int) -> None:
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self._process.pid, number)

    def _exit_status(self) -> int:
        name = self._client.request.name
        if self._ended is None:
            print(f"hazelbend: {name}: not held: {self._client.reason}", file=sys.stderr)
            return LeaseRunStatus.NOT_HELD
        if self._client.reason == Reason.LOST or self._terminated:
            print(f"hazelbend: {name}: the lease was lost; the command was stopped", file=sys.stderr)
            return LeaseRunStatus.LOST
        return_code = self._ended.result()
        return return_code if return_code >= 0 else SIGNALLED_STATUS_BASE - return_code


def _die_with_parent() -> None:
    """In the command's process: request SIGKILL when `lease run` dies.

    Without `lease run`, no process would stop the command before the lease expires.
    """
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


async def run_command(
    settings: FleetSettings,
    links: PeerLinks,
    name: str,
    ttl_s: float,
    wait_s: float,
    command: tuple[str, ...],
) -> int:
    """Run a command under the lease `name`; returns the exit status. `wait_s`: longest wait for the lease."""
    holder = f"{os.uname().nodename}.{os.getpid()}.{secrets.token_hex(4)}"
    request = Acquire(name, holder, 1, round(ttl_s * US_PER_S), round(wait_s * US_PER_S))
    client = LeaseClient(request, settings.leases.limits, now_us())
    stop_time_us = round(ttl_s / STOP_TIMES_PER_TTL * US_PER_S)
    return await LeaseRun(LeaderRoute(settings, links), client, command, stop_time_us).run()
