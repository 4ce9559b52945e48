"""The dispatcher process: configuration, wiring of the components, extensions, signals, log and console."""
