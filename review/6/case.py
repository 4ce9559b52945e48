"""CONFIG: a worker that is cut off from control for 11 s is never used again, though it is back and well."""

from __future__ import annotations

import asyncio

from review.kit2.config import HOST, configuration, route, service
from review.kit2.fleet import CannotRunError, Fleet, Record, run_case
from review.kit2.worker import Worker

FIRST_WORKERS = 5  # and one of the service that is added later: one of six is cut off
CUT_S = 11.0  # the largest `srv_cut` of the site files
CALM_S = 6.0  # contactMs twice
REQUESTS = 30  # on each route, in calm times; the rule asks for 20 or more
MIN_SHARE = 0.25  # "less than a quarter as often"


async def share_served(fleet: Fleet, prefix: str) -> float:
    async def one(number: int) -> bool:
        await asyncio.sleep(0.15 * number)
        return (await fleet.send(number % 3, HOST, f"{prefix}x", [])).status == 200

    return sum(await asyncio.gather(*map(one, range(REQUESTS)))) / REQUESTS


async def case(record: Record, trouble: bool) -> bool:
    fleet = Fleet(record.note)
    workers = [
        Worker("alpha", fleet.worker_address(index), fleet.controls, record.note)
        for index in range(FIRST_WORKERS)
    ]
    later = Worker("beta", fleet.worker_address(FIRST_WORKERS), fleet.controls, record.note)
    try:
        for worker in (*workers, later):
            await worker.start()
        first = route("r1", "/one/", "alpha")
        await fleet.start(configuration(3, [first], [service("alpha"), service("beta")]))
        both = [first, route("r2", "/two/", "beta")]
        await fleet.put(configuration(5, both, [service("alpha"), service("beta")]))
        await asyncio.sleep(3)
        before = await share_served(fleet, "/two/")
        record.note("before", share_of_later_route=before)
        if before < 1:
            raise CannotRunError("the later route isn't served before the cut")
        # The cut begins shortly before the worker's next heartbeat is due.
        acknowledged = later.beats_acknowledged
        while later.beats_acknowledged == acknowledged:
            await asyncio.sleep(0.01)
        await asyncio.sleep(1.0)
        if trouble:
            later.control_cut = True
            record.note("cut", worker=later.instance)
        await asyncio.sleep(CUT_S)
        later.control_cut = False
        acknowledged = later.beats_acknowledged
        record.note("joined", worker=later.instance)
        await asyncio.sleep(CALM_S)
        record.note("calm", heartbeats_acknowledged_since=later.beats_acknowledged - acknowledged)
        if later.beats_acknowledged - acknowledged < 3:
            raise CannotRunError("the worker's heartbeats aren't acknowledged again")
        first_share = await share_served(fleet, "/one/")
        later_share = await share_served(fleet, "/two/")
        record.note("after", share_of_first_route=first_share, share_of_later_route=later_share)
        held = later_share >= MIN_SHARE * first_share
        if not held:
            await asyncio.sleep(25)
            share = await share_served(fleet, "/two/")
            record.note("later still", share_of_later_route=share, heartbeats=later.beats_acknowledged)
            record.note("BROKEN", rule="CONFIG", what="routes added later are not served in calm times")
        return held
    finally:
        for worker in (*workers, later):
            await worker.stop()
        await fleet.close()


if __name__ == "__main__":
    run_case(__file__, case)
