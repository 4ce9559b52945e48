"""Histories of the real router engine before simulated workers, and planted defects that its checks find."""

from __future__ import annotations

import pytest

from benchmarks.router_sim import DEFECTS, BrokenRuleError, planted_defect, run_history

SEARCHED_SEEDS = range(1, 21)

FOUND = {
    "no_recheck": "which drains",
    "executes_again": "(unsafe) was executed 2 times",
    "no_budget": "retries in a window",
    "configuration_is_kept": "by a configuration that was replaced",
}


@pytest.mark.parametrize("seed", range(1, 9))
def test_histories_keep_the_rules(seed):
    history = run_history(seed)
    assert sum(history.statuses.values()) == len(history.clients) > 500
    assert len(history.sends) > len(history.clients) / 2


@pytest.mark.parametrize("defect", sorted(DEFECTS))
def test_each_planted_defect_is_found(defect):
    """Within some seeds, with the rule that it breaks."""
    for seed in SEARCHED_SEEDS:
        try:
            with planted_defect(defect):
                run_history(seed)
        except BrokenRuleError as error:
            assert FOUND[defect] in str(error)
            return
    pytest.fail("not found")
