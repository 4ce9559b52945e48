"""The soak of the router fleet as separate processes; see `benchmarks.process_soak`."""
