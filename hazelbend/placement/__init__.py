"""Worker selection of a request router: route table, load estimates, choice of workers, retry budget.

Nothing here does I/O or reads a clock: callers pass in the time, in microseconds of a monotonic clock.
"""
