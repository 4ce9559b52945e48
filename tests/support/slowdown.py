"""Measures how much load on this machine slows a process down, for tests with wall-clock timeouts."""

import time

CPU_S_PER_SAMPLE = 0.02
SAMPLES = 3


def slowdown_factor() -> float:
    """Return wall time over CPU time of a busy loop, the largest of a few samples; 1.0 on an idle machine."""
    worst = 1.0
    for _ in range(SAMPLES):
        wall, cpu = time.monotonic(), time.thread_time()
        while time.thread_time() - cpu < CPU_S_PER_SAMPLE:
            sum(range(500))
        worst = max(worst, (time.monotonic() - wall) / CPU_S_PER_SAMPLE)
        time.sleep(0)
    return worst
