"""Sockets to nameservers, and the driver of the resolver."""
