"""Environment of behave: no hooks, each scenario sets up its own fleet."""
