"""Raft: replicated log, elections, persistent state. Engines without I/O."""
