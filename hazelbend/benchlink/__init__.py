"""The simulator's side: the same decisions on the bench's wire."""
