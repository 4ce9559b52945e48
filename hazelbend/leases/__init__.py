"""Leases for tasks that one dispatcher of a fleet runs at a time. Engines without I/O."""
