"""Quotas of tenants that all dispatchers of a fleet enforce together. The engines do no I/O."""
