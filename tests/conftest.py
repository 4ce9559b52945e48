"""Configuration of the test suite: parallel processes, and the same Hypothesis examples in every run.

pytest-xdist distributes the whole suite over several processes; a run of single files or tests stays in one
process. `-n 0` or `-n 4` on the command line overrides both.
"""

import ast
import functools
import gc
import os

import pytest
from hypothesis import Phase, settings

MAX_PROCESSES = 6

# Modules without I/O, on a simulated clock or none: their tests may run in any process and in any order.
SIMULATED = {
    "test_cold_fleet",
    "test_control",
    "test_control_faults",
    "test_dns_discovery",
    "test_endpoints",
    "test_estimate",
    "test_fleet_plan",
    "test_leases",
    "test_members",
    "test_overload",
    "test_placement",
    "test_quotas",
    "test_replication",
    "test_rounds",
    "test_rules",
    "test_waiting",
}

# Modules that start real processes, or whose assertions depend on the wall clock or the cost of a request:
# they run one after another in one process, so that they do not slow each other down.
TIMED = {
    "test_client_listener",
    "test_closing",
    "test_cost",
    "test_drain",
    "test_first_byte",
    "test_program",
    "test_reload",
    "test_snmp",
    "test_srv_site",
    "test_system_processes",
    "test_upgrade",
    "test_waiting_site",
}

settings.register_profile(
    "steady",
    derandomize=True,
    deadline=None,
    max_examples=40,
    database=None,
    phases=(Phase.explicit, Phase.generate),  # no shrinking: its time is unbounded
)
settings.load_profile("steady")


def without_collector(parse):
    """Return `parse` such that no finalizer of the garbage collector runs within it.

    On Python 3.11 `ast.parse` raises SystemError if it is called again within itself, as pytest does to show
    the traceback of a finalizer. pytest and Hypothesis call it at any time, to import modules.
    """

    @functools.wraps(parse)
    def parse_without_collector(*arguments, **options):
        was_enabled = gc.isenabled()
        gc.disable()
        try:
            return parse(*arguments, **options)
        finally:
            if was_enabled:
                gc.enable()

    return parse_without_collector


ast.parse = without_collector(ast.parse)


def pytest_xdist_auto_num_workers(config: pytest.Config) -> int:
    """Return the number of worker processes for `-n auto`: several for the whole suite, none otherwise."""
    if config.args_source is not pytest.Config.ArgsSource.TESTPATHS:
        return 0
    return min(MAX_PROCESSES, len(os.sched_getaffinity(0)))


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Assign tests to groups; each group runs in one process, in order. Other modules are their own group."""
    for item in items:
        module = item.path.stem
        if module in TIMED:
            item.add_marker(pytest.mark.xdist_group("timed"))
        elif module not in SIMULATED:
            item.add_marker(pytest.mark.xdist_group(module))
