"""Gossip membership and failure detection (SWIM with Lifeguard): engines without I/O."""
