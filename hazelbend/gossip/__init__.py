"""Membership by gossip (SWIM). Engines without I/O."""
