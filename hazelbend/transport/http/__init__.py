"""HTTP listeners and clients."""
