"""Zone files, settings and complete deployments with SRV names, on loopback, for tests."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from hazelbend.dispatcher.app import App
from hazelbend.dns_discovery.settings import SrvSettings, read_settings
from hazelbend.fakes.nameserver import FakeNameserver
from tests.support.site_kit import ToyServer, running_app

SRV_NAME = "_arama._tcp.konya-1.example.org"
SECOND_US = 1_000_000
SOA = "@ 5 IN SOA ns host 1 3600 600 86400 5\n@ 300 IN NS ns\nns 300 IN A 127.0.0.1\n"


def zone_file_text(
    *targets: tuple[str, int] | tuple[str, int, int] | tuple[str, int, int, int], ttl: int = 5
) -> str:
    """Return a zone file with an SRV record for each (target's first label, port, priority, weight)."""
    text = SOA
    for label, port, *priority_and_weight in targets:
        priority, weight = (*priority_and_weight, *(0, 1)[len(priority_and_weight) :])
        text += f"_arama._tcp.konya-1 {ttl} IN SRV {priority} {weight} {port} {label}.konya-1\n"
    for label in dict.fromkeys(target[0] for target in targets):
        text += f"{label}.konya-1 {ttl} IN A 127.0.0.1\n"
    return text


def settings(count: int = 1, **overrides: Any) -> SrvSettings:
    values = {
        "nameserver": [{"address": f"127.0.0.1:{5300 + number}"} for number in range(count)],
        "name": [{"name": SRV_NAME, "zone": "konya-1", "kind": "big-box"}],
    }
    overrides["budgets"] = {"start_spread_s": 0.0} | overrides.get("budgets", {})
    return read_settings(values | overrides, ("konya-1",), ("big-box",))


def srv_toml(addresses: list[str], names: tuple[str, ...] = (SRV_NAME,), **overrides: str) -> str:
    text = "enabled = true\n"
    for address in addresses:
        text += f'[[nameserver]]\naddress = "{address}"\n'
    for name in names:
        text += f'[[name]]\nname = "{name}"\nzone = "konya-1"\nkind = "big-box"\n'
    tables = {
        "lifetimes": "least_s = 0.2",
        "budgets": "start_spread_s = 0.0\ntimeout_s = 0.2\nrest_s = 0.1\nlongest_rest_s = 0.4\nper_s = 2000",
        "pools": "return_s = 0.3\nlook_s = 0.02",
    }
    for key, lines in (tables | overrides).items():
        text += f"[{key}]\n{lines}\n"
    return text


@asynccontextmanager
async def running_nameservers(count: int, text: str) -> AsyncIterator[list[FakeNameserver]]:
    servers = [FakeNameserver() for _ in range(count)]
    for server in servers:
        server.serve_zone(text)
        await server.start()
    try:
        yield servers
    finally:
        for server in servers:
            await server.stop()


@asynccontextmanager
async def running_srv_app(
    folder: Path,
    server_count: int = 2,
    count: int = 1,
    stomp: str = "",
    listed_count: int = 0,
    ttl: int = 1,
    **options: Any,
) -> AsyncIterator[tuple[App, list[ToyServer], list[FakeNameserver]]]:
    """Run the program with nameservers and toy servers.

    `server_count` toy servers are targets of SRV_NAME (`toy-0`, ...), `listed_count` more are in the endpoint
    list; `count` is the number of nameservers.
    """
    toml = {key: options.pop(key) for key in ("lifetimes", "budgets", "pools", "snapshot") if key in options}
    backends = [ToyServer(f"toy-{number}") for number in range(server_count)]
    ports = [int((await each.listen()).rpartition(":")[2]) for each in backends]
    rows = [(each.name, port) for each, port in zip(backends, ports, strict=True)]
    async with running_nameservers(count, zone_file_text(*rows, ttl=ttl)) as servers:
        (folder / "srv.toml").write_text(srv_toml([each.address for each in servers], **toml))
        async with running_app(folder, server_count=listed_count, stomp=stomp, **options) as (app, _):
            try:
                yield app, backends, servers
            finally:
                for each in backends:
                    await each.close()


async def hosts_accepting_work(app: App) -> set[str]:
    await asyncio.sleep(0)
    return {each.entry.host for each in app.router.table.servers.values() if each.accepts_work}
