"""Codecs for wire formats: pure functions between bytes and values, without sockets or clocks."""
