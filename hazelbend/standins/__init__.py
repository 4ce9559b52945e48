"""Stand-ins for outside systems, from their public specifications, for tests, benchmarks and examples. Each
can be told to go wrong. The program itself imports none of them."""
