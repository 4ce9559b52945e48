"""The control plane's engines: configuration, workers, and the agreement between control processes."""
