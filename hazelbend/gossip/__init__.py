"""Membership and failure detection by gossip (SWIM with Lifeguard). Engines without I/O."""
