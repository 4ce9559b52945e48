"""The ordinary path's cost in counts: benchmarks/counts_per_job.py."""

import json

from benchmarks import counts_per_job
from tests.support.site_kit import ROOT

LOOKS = 3


def test_a_job_costs_no_more_calls_waits_or_bytes_than_it_did():
    """Guards CPU per job, which on the standing days is time that requests wait: a change that adds a turn
    of the event loop, a socket call or a copy to every job goes above the ceilings written when set.

    A busy machine adds turns too: what comes in one piece by itself comes in two, and timers ring between
    jobs that take longer. It adds them to some looks, a change to each: the least of a few looks counts.
    """
    ceilings = json.loads((ROOT / "benchmarks/counts.json").read_text())
    over = []
    for _ in range(LOOKS):
        measured = counts_per_job.measure(100)
        assert measured["bare"]["socket_calls"] > 0 and measured["bare"]["waits"] > 0
        over.append(counts_per_job.over_ceilings(measured["dispatcher"], ceilings))
        if not over[-1]:
            return
    raise AssertionError(over)
