"""Worker selection of a request router: route table, load estimates, choice of workers, retry budget.

Everything here is free of I/O and of clocks: callers pass in the time, in microseconds of a monotonic clock.
"""
