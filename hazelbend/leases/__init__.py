"""Leases for singleton roles, on the replicated log. Engines without I/O."""
