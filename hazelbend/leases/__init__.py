"""Leases for tasks that at most one dispatcher of a fleet runs at a time. The engines do no I/O."""
