"""Stand-ins and helpers for the review's scripts: the standard library alone, real processes, loopback."""
