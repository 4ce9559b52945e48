"""Fakes of outside systems, from their public specifications, for tests, benchmarks and examples.

Each can be told to fail. The program itself imports none of them.
"""
