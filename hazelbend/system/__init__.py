"""The router fleet's processes: settings, wiring, command line."""
