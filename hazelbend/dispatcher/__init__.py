"""The program: configuration, wiring, signals, log, console."""
