"""The ordinary path's cost in counts that a busy machine does not change: benchmarks/counts_per_job.py."""

import json

from site_kit import ROOT

from benchmarks import counts_per_job


def test_a_job_costs_no_more_calls_waits_or_bytes_than_it_did():
    """Guards CPU per job, which on the standing days is time that requests wait: a change that adds a turn
    of the event loop, a socket call or a copy to every job goes above the ceilings written when set."""
    ceilings = json.loads((ROOT / "benchmarks/counts.json").read_text())
    measured = counts_per_job.measure(100)
    assert counts_per_job.over_ceilings(measured["dispatcher"], ceilings) == []
    assert measured["bare"]["socket_calls"] > 0 and measured["bare"]["waits"] > 0
