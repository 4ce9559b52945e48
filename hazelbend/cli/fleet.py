"""Commands `fleet` and `lease`, for a person or a timer on a machine of the fleet.

Each command calls the dispatcher of its own machine, at the address that `deploy/fleet.toml` names.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
from collections.abc import Awaitable, Callable
from enum import IntEnum

import aiohttp
import msgspec

from hazelbend.cli.leader_route import CALL_TIMEOUT_S, LeaderRoute
from hazelbend.cli.lease_run import run_command
from hazelbend.consensus.identity import address_of
from hazelbend.dispatcher.config_table import ConfigError
from hazelbend.dispatcher.deploy_files import fleet_settings
from hazelbend.leases.operations import ForceRelease, Reason
from hazelbend.leases.settings import FleetSettings
from hazelbend.leases.views import FleetView, LeaseView
from hazelbend.transport.peer.peer_links import CALL_ERRORS, PeerLinks

__all__ = ["ExitStatus", "force_release", "main", "run_command", "show_leases", "start", "status"]


class ExitStatus(IntEnum):
    """Of all commands here but `lease run`."""

    OK = 0
    NOTHING = 1  # to show, or a refusal
    INVALID_SETTINGS = 2
    UNREACHABLE = 3


async def status(settings: FleetSettings, links: PeerLinks, *, as_json: bool) -> int:
    """Print members, voters and the leader."""
    view = await links.view(settings.listen, CALL_TIMEOUT_S)
    if as_json:
        print(msgspec.json.encode(view).decode())
        return ExitStatus.OK
    _print_view(view)
    return ExitStatus.OK if view.leader else ExitStatus.NOTHING


def _print_view(view: FleetView) -> None:
    leader = view.leader or "nobody"
    print(f"fleet {view.fleet}, epoch {view.epoch}, term {view.term}: {leader} leads")
    print(
        f"this one: {view.me}, {view.role}, {view.commit_index} entries, "
        f"{view.uncommitted} not known to be agreed on"
    )
    if not view.is_open:
        print("nothing is granted yet: the epoch is new, or was never started (fleet start)")
    for member in view.members:
        votes = "votes" if member.identity in view.voters else ""
        print(f"  {member.identity:50} {member.status:8} {member.seconds_in_status:8.1f} s  {votes}")
    for address, fleet in view.foreign_fleets.items():
        print(f"  {address} is of another fleet, {fleet}, and is not listened to")


async def start(settings: FleetSettings, links: PeerLinks, *, force: bool) -> int:
    """Start a new epoch. `force`: even if somebody leads, as far as this machine's dispatcher knows."""
    try:
        epoch = await links.start_new_epoch(settings.listen, force=force, timeout_s=CALL_TIMEOUT_S)
    except ValueError as error:
        print(f"hazelbend: {error}", file=sys.stderr)
        return ExitStatus.NOTHING
    wait_s = settings.leases.epoch_opening_delay_s
    print(f"epoch {epoch} is started; leases are granted from {wait_s:.1f} s from now on")
    return ExitStatus.OK


async def show_leases(settings: FleetSettings, links: PeerLinks, name: str | None, *, as_json: bool) -> int:
    """Print all leases or the one of this name, as the leader has them.

    If the leader does not answer: as this machine's dispatcher has them.
    """
    view = await links.view(settings.listen, CALL_TIMEOUT_S)
    if view.leader and view.leader != view.me:
        with contextlib.suppress(*CALL_ERRORS):
            view = await links.view(address_of(view.leader), CALL_TIMEOUT_S)
    leases = [lease for lease in view.leases if name in (None, lease.name)]
    if as_json:
        print(msgspec.json.encode({"fresh": view.is_fresh, "leases": leases}).decode())
    else:
        if not view.is_fresh:
            print("as last known here: nobody that leads could be asked", file=sys.stderr)
        for lease in leases:
            _print_lease(lease)
    return ExitStatus.OK if leases or name is None else ExitStatus.NOTHING


def _print_lease(lease: LeaseView) -> None:
    renewed = "" if lease.renewed_s_ago is None else f", renewed {lease.renewed_s_ago:.1f} s ago"
    print(f"{lease.name}: {lease.holder}, token {lease.token}, {lease.ttl_s:g} s{renewed}")
    for position, waiter in enumerate(lease.waiters, 1):
        print(f"  waits, {position}: {waiter}")


async def force_release(settings: FleetSettings, links: PeerLinks, name: str) -> int:
    """Release a lease that another holds."""
    response = await LeaderRoute(settings, links).submit(ForceRelease(name))
    if response is None:
        print("hazelbend: nobody that leads has answered; it may have been done", file=sys.stderr)
        return ExitStatus.UNREACHABLE
    released = response.reason == Reason.RELEASED
    if released:
        print("released. Its holder may act on: only a store that checks tokens refuses it", file=sys.stderr)
    print(response.reason)
    return ExitStatus.OK if released else ExitStatus.NOTHING


def main(command: Callable[[FleetSettings, PeerLinks], Awaitable[int]]) -> int:
    """Run a command with this machine's settings; the exit status."""

    async def run() -> int:
        settings = fleet_settings()
        links = PeerLinks(settings.listen_address[0])
        try:
            return await command(settings, links)
        finally:
            await links.close()

    try:
        return asyncio.run(run())
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        print(f"hazelbend: no answer from this machine's dispatcher: {error!r}", file=sys.stderr)
        return ExitStatus.UNREACHABLE
    except (ConfigError, ValueError) as error:
        print(f"hazelbend: {error}", file=sys.stderr)
        return ExitStatus.INVALID_SETTINGS
