"""How much slower than by itself this machine runs things just now: room for tests that go by a clock."""

import time

SPIN = 0.02  # seconds of CPU that one look takes
LOOKS = 3


def slowdown_factor() -> float:
    """Wall time over CPU time of some work, the worst of a few looks; 1.0 where nothing else runs."""
    worst = 1.0
    for _ in range(LOOKS):
        wall, cpu = time.monotonic(), time.thread_time()
        while time.thread_time() - cpu < SPIN:
            sum(range(500))
        worst = max(worst, (time.monotonic() - wall) / SPIN)
        time.sleep(0)
    return worst
