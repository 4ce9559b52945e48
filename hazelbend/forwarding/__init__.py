"""The life of a request in a router: one task, from its arrival to its one final answer. It knows no wire."""
