"""`fleet` and `lease`: what a person, or cron, does on a machine of the fleet. Each asks its own
dispatcher."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import secrets
import signal
import sys
import time
from collections.abc import Awaitable, Callable

import aiohttp
import msgspec

from hazelbend.consensus.identity import address_of
from hazelbend.leases.client import Holder, Stage
from hazelbend.leases.lease_table import Answer, ForceRelease, Operation
from hazelbend.leases.settings import FleetSettings
from hazelbend.program.config import ConfigError, fleet_settings
from hazelbend.transport.peer.fleet_peers import UNANSWERED, Asking, Peers

OK, NOTHING, UNUSABLE, UNREACHABLE = 0, 1, 2, 3
NOT_HELD, LOST = 75, 76  # of `lease run`: EX_TEMPFAIL and the next, which few commands use
PR_SET_PDEATHSIG = 1  # of <linux/prctl.h>
WAIT = 3.0  # seconds for one call
LOOK = 0.02  # seconds between looks at the time while a command runs


def now() -> int:
    return time.monotonic_ns() // 1_000


class Way:
    """To whoever leads: by this machine's dispatcher, and by the others that it knows when that one is
    down."""

    def __init__(self, conf: FleetSettings, peers: Peers) -> None:
        self.doors = [conf.listen, *(each for each in conf.seeds if each != conf.known_as)]
        self.peers = peers
        self._turn = 0

    async def ask(self, operation: Operation) -> Answer | None:
        door = self.doors[self._turn % len(self.doors)]
        answer = await self.peers.ask_leader(door, operation, WAIT)
        if answer is None:
            self._turn += 1  # one that is no voter may not know who leads
        return answer


async def status(conf: FleetSettings, peers: Peers, as_json: bool) -> int:
    view = await peers.view(conf.listen, WAIT)
    if as_json:
        print(msgspec.json.encode(view).decode())
        return OK
    leader = view.leader or "nobody"
    print(f"fleet {view.fleet}, epoch {view.epoch}, term {view.term}: {leader} leads")
    print(f"this one: {view.me}, {view.role}, {view.commit} entries, {view.lag} not known to be agreed on")
    if not view.open:
        print("nothing is granted yet: the epoch is new, or was never started (fleet start)")
    for each in view.members:
        votes = "votes" if each.identity in view.voters else ""
        print(f"  {each.identity:50} {each.status:8} {each.for_s:8.1f} s  {votes}")
    for address, fleet in view.foreign_fleets.items():
        print(f"  {address} is of another fleet, {fleet}, and is not listened to")
    return OK if view.leader else NOTHING


async def start(conf: FleetSettings, peers: Peers, anyway: bool) -> int:
    try:
        epoch = await peers.found(conf.listen, anyway, WAIT)
    except ValueError as error:
        print(f"hazelbend: {error}", file=sys.stderr)
        return NOTHING
    wait = conf.leases.longest_s * (1 + conf.leases.clock_drift)
    print(f"epoch {epoch} is started; leases are granted from {wait:.1f} s from now on")
    return OK


async def show(conf: FleetSettings, peers: Peers, name: str | None, as_json: bool) -> int:
    """As the leader has them, or as the last dispatcher that could be asked."""
    view = await peers.view(conf.listen, WAIT)
    if view.leader and view.leader != view.me:
        with contextlib.suppress(*UNANSWERED):
            view = await peers.view(address_of(view.leader), WAIT)
    found = [each for each in view.leases if name in (None, each.name)]
    if as_json:
        print(msgspec.json.encode({"fresh": view.fresh, "leases": found}).decode())
    else:
        if not view.fresh:
            print("as last known here: nobody that leads could be asked", file=sys.stderr)
        for each in found:
            ago = "" if each.renewed_s_ago is None else f", renewed {each.renewed_s_ago:.1f} s ago"
            print(f"{each.name}: {each.holder}, token {each.token}, {each.ttl_s:g} s{ago}")
            for place, waiter in enumerate(each.waiters, 1):
                print(f"  waits, {place}: {waiter}")
    return OK if found or name is None else NOTHING


async def force(conf: FleetSettings, peers: Peers, name: str) -> int:
    answer = await Way(conf, peers).ask(ForceRelease(name))
    if answer is None:
        print("hazelbend: nobody that leads has answered; it may have been done", file=sys.stderr)
        return UNREACHABLE
    if answer.why == "released":
        print("released. Its holder may act on: only a store that checks tokens refuses it", file=sys.stderr)
    print(answer.why)
    return OK if answer.why == "released" else NOTHING


class Run:
    """COMMAND under a lease: started when it is held, stopped before its time is over."""

    def __init__(self, way: Way, holder: Holder, command: tuple[str, ...], stopping: float) -> None:
        self.holder, self.command = holder, command
        self.stopping = round(stopping * 1e6)
        self.process: asyncio.subprocess.Process | None = None
        self._asking = Asking(way.ask, now)

    async def run(self) -> int:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, self._told, number)
        waiting: asyncio.Task[int] | None = None
        terminated = False
        try:
            while True:
                self._asking.tick(self.holder)
                at = now()
                if self.holder.stage is Stage.ENDED:
                    break
                if (
                    self.process is None
                    and self.holder.may_act(at)
                    and at < self.holder.stop_at(self.stopping)
                ):
                    self.process = await self._begin()
                    waiting = asyncio.create_task(self.process.wait())
                if waiting is not None and waiting.done() and self.holder.stage is Stage.HELD:
                    self.holder.let_go(now())
                    continue
                if self.process is not None and not terminated and at >= self.holder.stop_at(self.stopping):
                    terminated = True
                    self._signal(signal.SIGTERM)
                # A process that was stopped for long finds its time over here, before anything else.
                if (
                    waiting is not None
                    and not waiting.done()
                    and at >= self.holder.until - self.stopping // 4
                ):
                    self._signal(signal.SIGKILL)
                await asyncio.sleep(LOOK)
        finally:
            if waiting is not None and not waiting.done():
                self._signal(signal.SIGKILL)
                await waiting
            await self._asking.close()
        if waiting is None:
            print(f"hazelbend: {self.holder.name}: not held: {self.holder.why}", file=sys.stderr)
            return NOT_HELD
        if self.holder.why == "lost" or terminated:
            print(
                f"hazelbend: {self.holder.name}: the lease was lost; the command was stopped", file=sys.stderr
            )
            return LOST
        status = waiting.result()
        return status if status >= 0 else 128 - status

    async def _begin(self) -> asyncio.subprocess.Process:
        fields = {"HAZELBEND_LEASE": self.holder.name, "HAZELBEND_TOKEN": str(self.holder.token)}
        # A group of its own, so that its children are stopped with it.
        return await asyncio.create_subprocess_exec(
            *self.command, env=os.environ | fields, start_new_session=True, preexec_fn=_die_with_parent
        )

    def _told(self, number: int) -> None:
        """A person, or the system, ends us: so does the command, and then the lease."""
        if self.process is None:
            self.holder.let_go(now())
        else:
            self._signal(number)

    def _signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.process.pid, number)


def _die_with_parent() -> None:
    """In the command, before it begins: it is killed when `lease run` is, as nobody would stop it in time."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


async def run_command(
    conf: FleetSettings, peers: Peers, name: str, ttl: float, wait: float, command: tuple[str, ...]
) -> int:
    holder = Holder(
        name,
        f"{os.uname().nodename}.{os.getpid()}.{secrets.token_hex(4)}",
        1,
        conf.plan().limits,
        now(),
        ttl=round(ttl * 1e6),
        wait=round(wait * 1e6),
    )
    return await Run(Way(conf, peers), holder, command, ttl / 5).run()


def main(act: Callable[[FleetSettings, Peers], Awaitable[int]]) -> int:
    async def go() -> int:
        conf = fleet_settings()
        peers = Peers(conf.address[0])
        try:
            return await act(conf, peers)
        finally:
            await peers.close()

    try:
        return asyncio.run(go())
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        print(f"hazelbend: no answer from this machine's dispatcher: {error!r}", file=sys.stderr)
        return UNREACHABLE
    except (ConfigError, ValueError) as error:
        print(f"hazelbend: {error}", file=sys.stderr)
        return UNUSABLE
