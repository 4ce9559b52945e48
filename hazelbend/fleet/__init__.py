"""What the dispatchers of one fleet agree on among themselves. Pure: told the time, no I/O. Off by default,
and no part of routing: see docs/design/0003-fleet-leases.md."""
