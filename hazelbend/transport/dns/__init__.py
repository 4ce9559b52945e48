"""The DNS client and what drives the resolver."""
