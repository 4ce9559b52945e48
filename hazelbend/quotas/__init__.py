"""Limits on tenants that all dispatchers of a fleet enforce together. Engines without I/O."""
