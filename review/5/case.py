"""CONFIG: a configuration that no router can read is acknowledged, and never comes into force."""

from __future__ import annotations

import asyncio
from typing import Any

from review.kit2.config import HOST, configuration, route, service
from review.kit2.fleet import Fleet, Record, run_case, wait_until
from review.kit2.worker import Worker

CONFIG_APPLY_S = 2.0  # configApplyMs
RESTART_S = 10.0  # in which a router that was killed is to be ready again; a start takes about 1 s
ENGINE = {
    "capacity": 64,
    "kvCapacity": 441937,
    "kvTokenBytes": 18432,
    "bandwidthMbps": 370000.0,
    "kvTtlS": 5.0,
}


def change(version: int, field: str, value: Any) -> dict[str, Any]:
    """A configuration that adds a route for its version; one field of it has this value."""
    routes = [route("r1", "/one/", "alpha"), route(f"r{version}", f"/v{version}/", "alpha")]
    services = [service("alpha"), service("models", engine=ENGINE)]
    if field == "capacity":
        services[1] = service("models", engine=ENGINE | {field: value})
    else:
        routes[1][field] = value
    return configuration(version, routes, services)


# Three invalid configurations (`bad_config` has count = 3), and the same ones as they should be.
INVALID = (("resume", "false"), ("capacity", "64"), ("gap_aim_ms", "300"))
VALID = (("resume", False), ("capacity", 64), ("gap_aim_ms", 300))


async def served(fleet: Fleet, machine: int, path: str) -> bool:
    return (await fleet.send(machine, HOST, path, [])).status == 200


async def case(record: Record, trouble: bool) -> bool:
    fleet = Fleet(record.note)
    worker = Worker("alpha", fleet.worker_address(0), fleet.controls, record.note)
    held = True
    try:
        await worker.start()
        first = configuration(3, [route("r1", "/one/", "alpha")], [service("alpha")])
        await fleet.start(first)
        await asyncio.sleep(1)
        for index, (field, value) in enumerate(INVALID if trouble else VALID):
            version = fleet.version + 2
            answer = await fleet.put(change(version, field, value))
            record.note("order", version=version, field=field, value=repr(value), status=answer.status)
            if 400 <= answer.status < 500:
                continue  # refused, as an invalid configuration should be
            await asyncio.sleep(CONFIG_APPLY_S + 0.5)
            in_force = [await served(fleet, machine, f"/v{version}/x") for machine in range(3)]
            record.note("in force", version=version, acknowledged=answer.status == 200, routers=in_force)
            if answer.status == 200 and not all(in_force):
                record.note("BROKEN", rule="CONFIG", version=version, what="acknowledged, not in force")
                held = False
            if index == 0:
                # What it leads to: a router that starts again, or is added, has no configuration at all.
                await fleet.kill("router", 0)
                await fleet.start_role("router", 0)
                ready = await wait_until(lambda: fleet.is_ready(0), RESTART_S)
                first_route = await served(fleet, 0, "/one/x")
                record.note("restarted router", ready=ready, serves_first_route=first_route)
        return held
    finally:
        await worker.stop()
        await fleet.close()


if __name__ == "__main__":
    run_case(__file__, case)
