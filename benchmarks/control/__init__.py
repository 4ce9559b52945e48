"""Simulates a fleet of control processes: real engines on a simulated clock, network and disk."""
