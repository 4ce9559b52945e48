"""Fakes of external systems, built from their public specifications, for tests, benchmarks and examples.

Each can simulate failures. The program itself does not import them.
"""
