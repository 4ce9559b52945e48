"""The control plane's sans-I/O engines: configuration, workers, and consensus between control processes."""
